// A soak test of a large cell whose leader is short of processor time: the
// leader is stopped and continued in short slices, so that it gets a set share
// of a core. There is no other fault, so each listed end counts as observed,
// however late the leader reads it.
//
// The seed determines the load; the options set the share and the slices.
// Neither determines the timing of processes, so reproducing a failure may take
// several runs of its seed.

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

// How long the last runs may take to end and to be listed. The checks do not
// depend on it: work that is unfinished after that is not checked.
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
        checker_.set_listed_ends_observed(true);
    }

    int run()
    {
        if (!cluster_.wait_ready(milliseconds(20000)))
        {
            fmt::print("seed {}: the daemons are not ready in time\n",
                       options_.seed);
            return EXIT_FAILURE;
        }
        std::this_thread::sleep_for(milliseconds(2000));
        const auto start = steady::now();
        const auto burst_start = start + length_ / 4;
        auto limiter = std::async(std::launch::async,
                                  [this, burst_start] { starve(burst_start); });
        auto next = start;
        while (next < start + length_)
        {
            std::this_thread::sleep_until(next);
            submit_job();
            collect_events(1);
            const bool in_burst =
                next >= burst_start && next < burst_start + burst_length;
            next += std::chrono::duration_cast<steady::duration>(
                std::chrono::duration<double>(
                    1.0 / (jobs_per_second * (in_burst ? burst_factor : 1.0))));
        }
        limiter.wait();
        std::this_thread::sleep_for(settle_time);
        collect_events(50);
        return report();
    }

private:
    int between(int low, int high)
    {
        return low + static_cast<int>(random_() %
                                      static_cast<std::uint64_t>(high - low));
    }

    // The stand-in may not accept connections while the cell is overloaded; it
    // keeps the events until a later call.
    void collect_events(int tries)
    {
        for (int i = 1;; ++i)
        {
            try
            {
                checker_.apply(cluster_.take_events());
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

    void submit_job()
    {
        const std::string id = random_id(random_);
        submitted_job& job = checker_.job(id);
        // One job in 20 is long.
        const int task_ms =
            between(0, 20) == 0 ? between(3000, 8000) : between(300, 1800);
        job.payload = fmt::format("{} 0", task_ms);
        job.max_attempts = 3;
        for (int i = between(1, 3); i > 0; --i)
        {
            submitted_step step;
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

    // The daemon that has used the most processor time.
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

    // Lets the leader run only for its share of each slice, from the burst on.
    void starve(steady::time_point burst_start)
    {
        std::this_thread::sleep_until(burst_start);
        auto& daemon = cluster_.daemon(leader());
        const auto share = slice_ * share_percent_ / 100;
        while (steady::now() < burst_start + starved_)
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
        for (const std::string& violation : checker_.violations())
        {
            fmt::print("seed {} BROKEN: {}\n", options_.seed, violation);
        }
        const bool passed = checker_.violations().empty();
        fmt::print("seed {}: {} share={} jobs={} accepted={} starts={} "
                   "broken={}\n",
                   options_.seed, passed ? "ok" : "FAILED", share_percent_,
                   calls_.size(), accepted, checker_.starts(),
                   checker_.violations().size());
        return passed ? EXIT_SUCCESS : EXIT_FAILURE;
    }

    cluster_options options_;
    std::mt19937_64 random_;
    cell_cluster cluster_;
    history_checker checker_;
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
