// Runs a cell of real processes with the stand-in of the users' platform under
// a steady load, and prints the processor usage of the daemons and the delays
// of jobs.
//
//     measure_cell --workers 350 --jobs 40 --tasks 10 --task-ms 700 --seconds
//     10

#include "process_usage.hpp"
#include "standins/cluster/cell_cluster.hpp"
#include "standins/support/arguments.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/core.h>
#include <map>
#include <thread>

namespace coltsfootrack::soak
{
namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

struct load
{
    int jobs_per_second = 0;
    int tasks = 0;
    int task_ms = 0;
    std::chrono::seconds length{0};
};

class measurement
{
public:
    measurement(const cluster_options& options, const load& wanted)
        : load_(wanted)
        , cluster_(options)
    {
    }

    int run()
    {
        if (!cluster_.wait_ready(milliseconds(20000)))
        {
            fmt::print("the daemons are not ready in time\n");
            return EXIT_FAILURE;
        }
        std::this_thread::sleep_for(milliseconds(2000));
        for (int i = 0; i < cluster_.daemons(); ++i)
        {
            fmt::print("daemon {} pid {}\n", i, cluster_.daemon(i).pid());
        }
        std::fflush(stdout);
        submit_all();
        wait_for_all();
        print();
        return EXIT_SUCCESS;
    }

private:
    void submit_all()
    {
        std::vector<double> before;
        before.reserve(static_cast<std::size_t>(cluster_.daemons()));
        for (int i = 0; i < cluster_.daemons(); ++i)
        {
            before.push_back(
                local_cluster::usage_of(cluster_.daemon(i).pid()).cpu_seconds);
        }
        submitted_job job;
        job.payload = std::to_string(load_.task_ms) + " 0";
        job.max_attempts = 3;
        submitted_step step;
        step.tasks = load_.tasks;
        step.cpu_milli = 3000;
        job.steps = {step};
        const auto start = steady::now();
        const auto interval = std::chrono::duration_cast<steady::duration>(
            std::chrono::duration<double>(1.0 / load_.jobs_per_second));
        for (auto next = start; next < start + load_.length; next += interval)
        {
            std::this_thread::sleep_until(next);
            const std::string id = random_id(random_);
            submitted_at_[id] = steady::now();
            const auto status = cluster_.submit(
                static_cast<int>(submitted_at_.size()) % cluster_.daemons(), id,
                job);
            if (status != 200)
            {
                submitted_at_.erase(id);
                ++refused_;
            }
            collect_events();
        }
        const double seconds =
            std::chrono::duration<double>(steady::now() - start).count();
        for (int i = 0; i < cluster_.daemons(); ++i)
        {
            const double used =
                local_cluster::usage_of(cluster_.daemon(i).pid()).cpu_seconds -
                before[static_cast<std::size_t>(i)];
            cpu_shares_.push_back(used / seconds);
        }
    }

    // Records the delay of each job whose last task has ended at its worker.
    void collect_events()
    {
        for (const auto& event : cluster_.take_events())
        {
            if (event.value("kind", std::string()) != "end")
            {
                continue;
            }
            const auto task = event.value("task", std::string());
            const std::string id = task.substr(0, task.find('.'));
            if (++ended_tasks_[id] == load_.tasks &&
                submitted_at_.count(id) != 0)
            {
                delays_ms_.push_back(std::chrono::duration<double, std::milli>(
                                         steady::now() - submitted_at_[id])
                                         .count() -
                                     load_.task_ms);
            }
        }
    }

    void wait_for_all()
    {
        const auto end = steady::now() + std::chrono::seconds(10);
        while (delays_ms_.size() < submitted_at_.size() && steady::now() < end)
        {
            std::this_thread::sleep_for(milliseconds(20));
            collect_events();
        }
    }

    void print()
    {
        std::sort(delays_ms_.begin(), delays_ms_.end());
        const auto quantile = [this](double q)
        {
            return delays_ms_.empty()
                       ? 0.0
                       : delays_ms_[static_cast<std::size_t>(
                             q * static_cast<double>(delays_ms_.size() - 1))];
        };
        fmt::print("jobs {} refused {} finished {}\n", submitted_at_.size(),
                   refused_, delays_ms_.size());
        fmt::print("time beyond the task p50 {:.0f} ms p90 {:.0f} ms p99 "
                   "{:.0f} ms\n",
                   quantile(0.5), quantile(0.9), quantile(0.99));
        for (std::size_t i = 0; i < cpu_shares_.size(); ++i)
        {
            fmt::print("daemon {} {:.3f} of a core\n", i, cpu_shares_[i]);
        }
    }

    load load_;
    cell_cluster cluster_;
    std::mt19937_64 random_{1};
    std::map<std::string, steady::time_point> submitted_at_;
    std::map<std::string, int> ended_tasks_;
    std::vector<double> delays_ms_;
    std::vector<double> cpu_shares_;
    int refused_ = 0;
};

} // namespace
} // namespace coltsfootrack::soak

int main(int argc, char** argv)
{
    using namespace coltsfootrack;
    const standins::arguments options(argc, argv,
                                      {{"build", "build"},
                                       {"logs", "build/measure-cell"},
                                       {"daemons", "3"},
                                       {"workers", "350"},
                                       {"jobs", "40"},
                                       {"tasks", "10"},
                                       {"task-ms", "700"},
                                       {"seconds", "10"}});
    soak::cluster_options cluster;
    cluster.build_folder = options.text("build");
    cluster.log_folder = options.text("logs");
    cluster.daemons = static_cast<int>(options.number("daemons"));
    cluster.workers = static_cast<int>(options.number("workers"));
    cluster.worker_cpu_milli = 32000;
    soak::load load;
    load.jobs_per_second = static_cast<int>(options.number("jobs"));
    load.tasks = static_cast<int>(options.number("tasks"));
    load.task_ms = static_cast<int>(options.number("task-ms"));
    load.length = std::chrono::seconds(options.number("seconds"));
    return soak::measurement(cluster, load).run();
}
