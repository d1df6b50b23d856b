// A large cell whose leader is short of processor: the soak stops and continues
// the daemon in short slices, so that it gets a stated share of a core. No
// other fault is near, so each listed end counts, however late the leader reads
// it.
//
// The load follows from the seed, the share and the slices from the options;
// the timing of processes follows from neither, so a seed that failed may need
// several runs.

#include "process_usage.hpp"
#include "standins/cluster/cell_cluster.hpp"
#include "standins/support/arguments.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fmt/core.h>
#include <future>
#include <stdexcept>
#include <thread>

namespace coltsfootrack::soak
{
namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// The load of the deployment in docs/incidents/2026-12-tasks-run-twice.md.
constexpr int jobs_per_second = 40;
constexpr double burst_factor = 1.6;
constexpr milliseconds burst_length{4000};
constexpr int tasks_per_step = 10;

// How long the last runs may take to end and to be listed. Rules do not depend
// on it: work that is open after that is not judged.
constexpr milliseconds settle_time{8000};

class starved_run
{
public:
    starved_run(const cluster_options& options, std::chrono::seconds length,
                int share_percent, milliseconds slice, milliseconds starved)
        : options_(options)
        , random_(options.seed)
        , cluster_(options)
        , checker_(options.worker_cpu_milli)
        , length_(length)
        , share_percent_(share_percent)
        , slice_(slice)
        , starved_(starved)
    {
        checker_.count_listed_ends(true);
    }

    int run()
    {
        if (!cluster_.wait_ready(milliseconds(20000)))
        {
            fmt::print("seed {}: the daemons do not come up\n", options_.seed);
            return EXIT_FAILURE;
        }
        std::this_thread::sleep_for(milliseconds(2000));
        const auto start = steady::now();
        const auto burst = start + length_ / 4;
        auto limiter =
            std::async(std::launch::async, [this, burst] { starve(burst); });
        auto next = start;
        while (next < start + length_)
        {
            std::this_thread::sleep_until(next);
            submit_one();
            take_facts(1);
            const bool more = next >= burst && next < burst + burst_length;
            next += std::chrono::duration_cast<steady::duration>(
                std::chrono::duration<double>(
                    1.0 / (jobs_per_second * (more ? burst_factor : 1.0))));
        }
        limiter.wait();
        std::this_thread::sleep_for(settle_time);
        take_facts(50);
        return report();
    }

private:
    int between(int low, int high)
    {
        return low + static_cast<int>(random_() %
                                      static_cast<std::uint64_t>(high - low));
    }

    // An overloaded cell keeps the stand-in from accepting connections; the
    // facts stay there until a later call.
    void take_facts(int tries)
    {
        for (int i = 1;; ++i)
        {
            try
            {
                checker_.apply(cluster_.facts());
                return;
            }
            catch (const std::runtime_error&)
            {
                if (i >= tries && tries > 1)
                {
                    throw;
                }
                if (i >= tries)
                {
                    return;
                }
                std::this_thread::sleep_for(milliseconds(200));
            }
        }
    }

    void submit_one()
    {
        const std::string id = random_id(random_);
        known_job& job = checker_.job(id);
        // One job in twenty is long.
        const int task_ms =
            between(0, 20) == 0 ? between(3000, 8000) : between(300, 1800);
        job.payload = fmt::format("{} 0", task_ms);
        job.max_attempts = 3;
        for (int i = between(1, 3); i > 0; --i)
        {
            known_step step;
            step.tasks = tasks_per_step;
            step.cpu_milli = 1000;
            if (!job.steps.empty())
            {
                step.after = {static_cast<int>(job.steps.size()) - 1};
            }
            job.steps.push_back(step);
        }
        const int daemon = between(0, cluster_.daemons());
        calls_.push_back(
            std::async(std::launch::async, [this, daemon, id, job]
                       { return cluster_.submit(daemon, id, job) == 200; }));
    }

    // The daemon that has used most processor.
    int leader()
    {
        std::vector<double> used;
        used.reserve(static_cast<std::size_t>(cluster_.daemons()));
        for (int i = 0; i < cluster_.daemons(); ++i)
        {
            used.push_back(
                local_cluster::usage_of(cluster_.daemon(i).pid()).cpu_seconds);
        }
        return static_cast<int>(std::max_element(used.begin(), used.end()) -
                                used.begin());
    }

    // Lets the leader run for its share of each slice through the burst.
    void starve(steady::time_point burst)
    {
        std::this_thread::sleep_until(burst);
        auto& daemon = cluster_.daemon(leader());
        const auto share = slice_ * share_percent_ / 100;
        while (steady::now() < burst + starved_)
        {
            daemon.send_signal(SIGSTOP);
            std::this_thread::sleep_for(slice_ - share);
            daemon.send_signal(SIGCONT);
            std::this_thread::sleep_for(share);
        }
    }

    int report()
    {
        const auto accepted =
            std::count_if(calls_.begin(), calls_.end(),
                          [](auto& call) { return call.get(); });
        for (const std::string& fault : checker_.faults())
        {
            fmt::print("seed {} BROKEN: {}\n", options_.seed, fault);
        }
        const bool good = checker_.faults().empty();
        fmt::print("seed {}: {} share={} jobs={} accepted={} starts={} "
                   "broken={}\n",
                   options_.seed, good ? "ok" : "FAILED", share_percent_,
                   calls_.size(), accepted, checker_.starts(),
                   checker_.faults().size());
        return good ? EXIT_SUCCESS : EXIT_FAILURE;
    }

    cluster_options options_;
    std::mt19937_64 random_;
    cell_cluster cluster_;
    fact_checker checker_;
    std::chrono::seconds length_;
    int share_percent_;
    milliseconds slice_;
    milliseconds starved_;
    std::vector<std::future<bool>> calls_;
};

} // namespace
} // namespace coltsfootrack::soak

int main(int argc, char** argv)
{
    using namespace coltsfootrack;
    const standins::arguments given(argc, argv,
                                    {{"seed", "1"},
                                     {"seconds", "12"},
                                     {"daemons", "5"},
                                     {"workers", "300"},
                                     {"share", "5"},
                                     {"slice-ms", "60"},
                                     {"starved-ms", "9000"},
                                     {"build", "build"},
                                     {"logs", "build/soak/starved"}});
    soak::cluster_options options;
    options.seed = static_cast<std::uint64_t>(given.number("seed"));
    options.daemons = static_cast<int>(given.number("daemons"));
    options.workers = static_cast<int>(given.number("workers"));
    options.worker_cpu_milli = 8000;
    options.build_folder = given.text("build");
    options.log_folder =
        given.text("logs") + "/" + std::to_string(options.seed);
    return soak::starved_run(
               options, std::chrono::seconds(given.number("seconds")),
               static_cast<int>(given.number("share")),
               std::chrono::milliseconds(given.number("slice-ms")),
               std::chrono::milliseconds(given.number("starved-ms")))
        .run();
}
