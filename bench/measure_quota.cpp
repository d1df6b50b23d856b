// Compares quota slices with one central counter, in simulated time: how much
// of a team's limit is unused in one zone while another zone waits, how long
// tasks wait for it, and how many transfers are committed. Rows are read as by
// the daemon's quota agent. Prints "name value unit bound".

#include <coltsfootrack/base/manual_clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/coordination/quota_ledger.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <fmt/core.h>
#include <string>
#include <vector>

namespace
{

using namespace coltsfootrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int zones = 6;
constexpr std::int64_t limit_cores = 96;
constexpr milliseconds step(200);
constexpr seconds run_time(20);
// How long one zone gets half of all arrivals.
constexpr seconds hot_zone_period(120);
constexpr seconds simulated_time(3600);

base::resources cores(std::int64_t count)
{
    return {count * 1000, count * 1024, 0};
}

// One zone: arrival times of waiting and end times of running one-core tasks.
struct zone_load
{
    std::deque<base::time_point> waiting;
    std::deque<base::time_point> running;
};

struct result
{
    double stranded_mean_pct = 0;
    double stranded_p99_pct = 0;
    double wait_mean_s = 0;
    double wait_p99_s = 0;
    double transfers_per_s = 0;
};

class simulation
{
public:
    // With `central` all zones share one counter instead of slices.
    simulation(double load, bool central, std::uint64_t seed)
        : load_(load)
        , central_(central)
        , random_(base::seeded_random(seed))
        , zones_(zones)
    {
        for (int i = 0; i < zones; ++i)
        {
            ledgers_.emplace_back(base::team_id("t"),
                                  base::zone_id(fmt::format("z{}", i)), zones);
            ledgers_.back().limit_changed(cores(limit_cores), 1, clock_.now());
        }
    }

    result run()
    {
        const auto end = clock_.now() + simulated_time;
        while (clock_.now() < end)
        {
            for (int i = 0; i < zones; ++i)
            {
                advance_zone(i);
            }
            record_stranded();
            clock_.advance(step);
        }
        return summary();
    }

private:
    double uniform()
    {
        return static_cast<double>(random_() >> 11U) * 0x1.0p-53;
    }

    // Arrivals of one step; half of all go to the hot zone.
    int arrivals(int zone)
    {
        const auto hot =
            clock_.now().time_since_epoch() / hot_zone_period % zones;
        const double part = zone == hot ? 0.5 : 0.5 / (zones - 1);
        const double mean = load_ * limit_cores /
                            std::chrono::duration<double>(run_time).count() *
                            std::chrono::duration<double>(step).count() * part;
        // A Poisson number by Knuth's algorithm; the mean is below 1.
        int count = 0;
        for (double product = uniform(); product > std::exp(-mean);
             product *= uniform())
        {
            ++count;
        }
        return count;
    }

    std::int64_t total_running() const
    {
        std::int64_t sum = 0;
        for (const zone_load& zone : zones_)
        {
            sum += static_cast<std::int64_t>(zone.running.size());
        }
        return sum;
    }

    void advance_zone(int index)
    {
        const auto now = clock_.now();
        zone_load& zone = zones_[static_cast<std::size_t>(index)];
        while (!zone.running.empty() && zone.running.front() <= now)
        {
            zone.running.pop_front();
        }
        for (int i = arrivals(index); i > 0; --i)
        {
            zone.waiting.push_back(now);
        }
        if (!central_)
        {
            update_slice(index, zone);
        }
        const std::int64_t usable =
            central_
                ? limit_cores - total_running() +
                      static_cast<std::int64_t>(zone.running.size())
                : ledgers_[static_cast<std::size_t>(index)].usable().cpu_milli /
                      1000;
        while (!zone.waiting.empty() &&
               static_cast<std::int64_t>(zone.running.size()) < usable)
        {
            waits_.push_back(
                std::chrono::duration<double>(now - zone.waiting.front())
                    .count());
            zone.waiting.pop_front();
            zone.running.push_back(now + run_time);
        }
    }

    void update_slice(int index, const zone_load& zone)
    {
        const auto now = clock_.now();
        coordination::quota_ledger& ledger =
            ledgers_[static_cast<std::size_t>(index)];
        // A zone with waiting tasks reads the row every 2 s.
        const bool due = now.time_since_epoch() % seconds(2) == seconds(0);
        if (ledger.needs_read() || (due && !zone.waiting.empty()))
        {
            ledger.row_read(row_);
        }
        ledger.set_demand(cores(static_cast<std::int64_t>(zone.running.size())),
                          cores(static_cast<std::int64_t>(zone.waiting.size())),
                          now);
        const auto proposal = ledger.plan(now);
        if (!proposal)
        {
            return;
        }
        if (proposal->row_version != row_.version)
        {
            ledger.proposal_rejected(proposal->id);
            return;
        }
        row_.slices = proposal->slices;
        ledger.proposal_applied(proposal->id, ++row_.version);
        ++transfers_;
    }

    // Records the tasks that could start under the limit but not under the
    // slices.
    void record_stranded()
    {
        std::int64_t waiting = 0;
        for (const zone_load& zone : zones_)
        {
            waiting += static_cast<std::int64_t>(zone.waiting.size());
        }
        const std::int64_t free = limit_cores - total_running();
        stranded_.push_back(100.0 *
                            static_cast<double>(std::min(waiting, free)) /
                            static_cast<double>(limit_cores));
    }

    static double mean(const std::vector<double>& values)
    {
        double sum = 0;
        for (const double value : values)
        {
            sum += value;
        }
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
    }

    static double p99(std::vector<double> values)
    {
        if (values.empty())
        {
            return 0;
        }
        std::sort(values.begin(), values.end());
        return values[values.size() * 99 / 100];
    }

    result summary() const
    {
        return {mean(stranded_), p99(stranded_), mean(waits_), p99(waits_),
                static_cast<double>(transfers_) /
                    std::chrono::duration<double>(simulated_time).count()};
    }

    double load_;
    bool central_;
    base::random_source random_;
    base::manual_clock clock_;
    std::vector<zone_load> zones_;
    std::vector<coordination::quota_ledger> ledgers_;
    coordination::quota_row row_;
    std::vector<double> stranded_;
    std::vector<double> waits_;
    std::uint64_t transfers_ = 0;
};

void print(const std::string& name, double value, const char* unit)
{
    fmt::print("{} {:.4g} {} -\n", name, value, unit);
}

} // namespace

int main()
{
    for (const int percent : {50, 80, 95})
    {
        const double load = percent / 100.0;
        const result slices = simulation(load, false, 1).run();
        const result central = simulation(load, true, 1).run();
        const std::string label = fmt::format("_{}", percent);
        print("quota_stranded_mean" + label, slices.stranded_mean_pct,
              "percent");
        print("quota_stranded_p99" + label, slices.stranded_p99_pct, "percent");
        print("quota_wait_mean" + label, slices.wait_mean_s, "s");
        print("quota_wait_p99" + label, slices.wait_p99_s, "s");
        print("quota_wait_mean_central" + label, central.wait_mean_s, "s");
        print("quota_wait_p99_central" + label, central.wait_p99_s, "s");
        print("quota_transfers" + label, slices.transfers_per_s, "1/s");
    }
    return 0;
}
