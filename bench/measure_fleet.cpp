// Measures one scheduling round of a fleet, by the number of workers and of
// steps that wait for room.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <benchmark/benchmark.h>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::time_point start{std::chrono::seconds(100)};

// A full service with waiting steps. Each holds tickets for half of the 30
// workers that a request names.
std::unique_ptr<fleet> full_fleet(int workers, int waiting)
{
    base::set_log_level(base::log_level::error);
    auto made = std::make_unique<fleet>(fleet_options(), start);
    auto value = std::make_shared<catalogue>();
    queue_policy queue;
    queue.name = "q";
    queue.service = base::service_id("service");
    queue.max_attempts = 3;
    ticket_policy policy;
    policy.valid_for = std::chrono::hours(1);
    queue.tickets = policy;
    value->queues["q"] = queue;
    made->set_catalogue(value);
    std::vector<base::worker_id> all;
    for (int i = 0; i < workers; ++i)
    {
        worker_listing listing;
        listing.worker = base::worker_id("i-" + std::to_string(1000000 + i));
        listing.service = queue.service;
        listing.capacity = {32000, 128000, 0};
        listing.labels = {"a", "r" + std::to_string(i / 5)};
        made->list_worker(listing, start);
        worker_report report;
        report.life = 1;
        report.sent_at = start;
        made->on_report(listing.worker, report, start);
        all.push_back(listing.worker);
    }
    std::size_t first = 0;
    const auto add = [&](const std::string& name, int tasks, std::int64_t cpu,
                         std::size_t named, std::size_t granted_each)
    {
        std::vector<base::worker_id> asked;
        std::vector<ticket_grant> grants;
        for (std::size_t i = 0; i < named; ++i)
        {
            asked.push_back(all[(first + i) % all.size()]);
            if (i % granted_each == 0)
            {
                grants.push_back({asked.back(), "ticket"});
            }
        }
        first += named;
        jobs::job_submission job;
        job.queue = "q";
        job.submitted = std::chrono::system_clock::time_point();
        jobs::step_spec step;
        step.tasks = tasks;
        step.need = {cpu, 1000, 0};
        step.estimate = milliseconds(700);
        job.spec.steps = {step};
        const base::job_id id(name);
        made->add_job(id, job, {}, false, start,
                      std::chrono::system_clock::time_point());
        made->on_tickets({id, 0, 0}, asked, grants,
                         start + std::chrono::hours(1));
    };
    add("full", workers * 10, 3000, all.size(), 1);
    ticket_request_allowance allowance;
    made->run_round(start, std::chrono::system_clock::time_point(), allowance);
    for (int i = 0; i < waiting; ++i)
    {
        add("waiting" + std::to_string(i), 6, 5000, 30, 2);
    }
    return made;
}

void decide(benchmark::State& state)
{
    const auto made = full_fleet(static_cast<int>(state.range(0)),
                                 static_cast<int>(state.range(1)));
    ticket_request_allowance allowance;
    base::time_point now = start;
    for (auto unused : state)
    {
        static_cast<void>(unused);
        now += milliseconds(1);
        benchmark::DoNotOptimize(made->run_round(
            now, std::chrono::system_clock::time_point(), allowance));
    }
}

BENCHMARK(decide)
    ->ArgNames({"workers", "waiting"})
    ->Args({35, 10})
    ->Args({35, 60})
    ->Args({35, 240})
    ->Args({350, 60})
    ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace coltsfootrack::fleet

BENCHMARK_MAIN();
