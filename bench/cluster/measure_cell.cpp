// Runs a cell of real processes against the stand-in of the users' platform
// under a steady load, and prints what the leader costs and how long jobs take.
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
    measurement(const cluster_options& options, const load& asked)
        : load_(asked)
        , cluster_(options)
    {
    }

    int run()
    {
        if (!cluster_.wait_ready(milliseconds(20000)))
        {
            fmt::print("the daemons do not come up\n");
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
        const auto pause = std::chrono::duration_cast<steady::duration>(
            std::chrono::duration<double>(1.0 / load_.jobs_per_second));
        for (auto next = start; next < start + load_.length; next += pause)
        {
            std::this_thread::sleep_until(next);
            const std::string id = random_id(random_);
            sent_[id] = steady::now();
            const auto status = cluster_.submit(
                static_cast<int>(sent_.size()) % cluster_.daemons(), id, job);
            if (status != 200)
            {
                sent_.erase(id);
                ++refused_;
            }
            take_facts();
        }
        const double seconds =
            std::chrono::duration<double>(steady::now() - start).count();
        for (int i = 0; i < cluster_.daemons(); ++i)
        {
            const double used =
                local_cluster::usage_of(cluster_.daemon(i).pid()).cpu_seconds -
                before[static_cast<std::size_t>(i)];
            shares_.push_back(used / seconds);
        }
    }

    // Notes when the last task of each job ended at its worker.
    void take_facts()
    {
        for (const auto& fact : cluster_.take_events())
        {
            if (fact.value("kind", std::string()) != "end")
            {
                continue;
            }
            const auto task = fact.value("task", std::string());
            const std::string id = task.substr(0, task.find('.'));
            if (++ended_[id] == load_.tasks && sent_.count(id) != 0)
            {
                delays_.push_back(std::chrono::duration<double, std::milli>(
                                      steady::now() - sent_[id])
                                      .count() -
                                  load_.task_ms);
            }
        }
    }

    void wait_for_all()
    {
        const auto end = steady::now() + std::chrono::seconds(10);
        while (delays_.size() < sent_.size() && steady::now() < end)
        {
            std::this_thread::sleep_for(milliseconds(20));
            take_facts();
        }
    }

    void print()
    {
        std::sort(delays_.begin(), delays_.end());
        const auto at = [this](double part)
        {
            return delays_.empty()
                       ? 0.0
                       : delays_[static_cast<std::size_t>(
                             part * static_cast<double>(delays_.size() - 1))];
        };
        fmt::print("jobs {} refused {} finished {}\n", sent_.size(), refused_,
                   delays_.size());
        fmt::print("time beyond the task p50 {:.0f} ms p90 {:.0f} ms p99 "
                   "{:.0f} ms\n",
                   at(0.5), at(0.9), at(0.99));
        for (std::size_t i = 0; i < shares_.size(); ++i)
        {
            fmt::print("daemon {} {:.3f} of a core\n", i, shares_[i]);
        }
    }

    load load_;
    cell_cluster cluster_;
    std::mt19937_64 random_{1};
    std::map<std::string, steady::time_point> sent_;
    std::map<std::string, int> ended_;
    std::vector<double> delays_;
    std::vector<double> shares_;
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
    soak::load asked;
    asked.jobs_per_second = static_cast<int>(options.number("jobs"));
    asked.tasks = static_cast<int>(options.number("tasks"));
    asked.task_ms = static_cast<int>(options.number("task-ms"));
    asked.length = std::chrono::seconds(options.number("seconds"));
    return soak::measurement(cluster, asked).run();
}
