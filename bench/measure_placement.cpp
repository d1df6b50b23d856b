// Measures placement and prints lines "name value unit bound". A bound comes
// from the requirements; "-" means that none is stated.

#include <coltsfootrack/placement/scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/core.h>
#include <malloc.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace coltsfootrack;
using namespace coltsfootrack::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::resources plain{32000, 131072, 0};
constexpr base::resources accelerator{32000, 65536, 8};
constexpr base::resources unlimited{1000000000, 1000000000, 1000000};

void print(const std::string& name, double value, const char* unit,
           const char* bound = "-")
{
    fmt::print("{} {:.3f} {} {}\n", name, value, unit, bound);
}

std::string numbered(char prefix, int number)
{
    return fmt::format("{}{:05}", prefix, number);
}

base::resources capacity_of(int worker)
{
    // 94 of 670 workers hold the 750 accelerators.
    return worker % 7 == 0 ? accelerator : plain;
}

// A zone in simulated time whose workers carry out all actions.
struct simulated_zone
{
    scheduler placement;
    base::time_point now{seconds(1000)};
    std::map<base::task_id, action> running;
    std::multimap<base::time_point, action> stops;

    simulated_zone(int workers, int teams,
                   const scheduler_options& options = {})
        : placement(options, base::seeded_random(1))
    {
        std::vector<team_policy> policies;
        policies.reserve(static_cast<std::size_t>(teams));
        for (int i = 0; i < teams; ++i)
        {
            policies.push_back(
                {base::team_id(numbered('t', i)), 1 + i % 4, unlimited});
        }
        placement.set_teams(policies);
        for (const team_policy& policy : policies)
        {
            placement.set_quota(policy.id, unlimited);
        }
        for (int i = 0; i < workers; ++i)
        {
            placement.add_worker({base::worker_id(numbered('w', i)),
                                  base::rack_id(numbered('r', i / 5)),
                                  capacity_of(i)});
        }
    }

    job_spec job(int number, int team, const base::resources& size) const
    {
        job_spec spec;
        spec.id = base::job_id(numbered('j', number));
        spec.team = base::team_id(numbered('t', team));
        spec.task_size = size;
        spec.run_time = seconds(60);
        return spec;
    }

    void submit(const job_spec& spec)
    {
        if (!placement.submit(spec, now).ok())
        {
            fmt::print(stderr, "measure: a job was refused\n");
            std::exit(1);
        }
    }

    std::vector<action> step(std::size_t most)
    {
        std::vector<action> decided = placement.step(now, most);
        for (const action& next : decided)
        {
            if (next.type == action_type::start)
            {
                running[next.task] = next;
            }
            else if (next.type == action_type::stop)
            {
                stops.emplace(now + next.grace, next);
            }
        }
        return decided;
    }

    // Confirms the stops whose grace has passed.
    void confirm()
    {
        while (!stops.empty() && stops.begin()->first <= now)
        {
            const action& ended = stops.begin()->second;
            running.erase(ended.task);
            placement.report_stopped(ended.task, ended.token, now);
            stops.erase(stops.begin());
        }
    }

    void finish(const base::task_id& task)
    {
        placement.report_finished(task, running.at(task).token, now);
        running.erase(task);
    }
};

base::resources random_size(std::mt19937& random)
{
    if (random() % 4 == 0)
    {
        return {2000, 4096, 1 + static_cast<std::int64_t>(random() % 3)};
    }
    return {1000 * (1 + static_cast<std::int64_t>(random() % 12)),
            2048 * (1 + static_cast<std::int64_t>(random() % 20)), 0};
}

double quantile(std::vector<double>& values, double part)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0
                          : values[static_cast<std::size_t>(
                                part * static_cast<double>(values.size() - 1))];
}

// A full fleet with a queue: one task ends, one decision is made.
void measure_decisions(int workers)
{
    std::mt19937 random(5);
    simulated_zone zone(workers, 100);
    int jobs = 0;
    const auto refill = [&]
    {
        while (zone.placement.counters().waiting_jobs < 400)
        {
            for (int i = 0; i < 100; ++i, ++jobs)
            {
                zone.submit(zone.job(jobs, jobs % 100, random_size(random)));
            }
            zone.step(100000);
        }
    };
    refill();
    std::vector<double> times;
    for (int i = 0; i < 4000; ++i)
    {
        if (i % 200 == 0)
        {
            refill();
        }
        auto ended = zone.running.begin();
        std::advance(ended, random() % zone.running.size());
        const base::task_id task = ended->first;
        const std::string token = ended->second.token;
        zone.now += milliseconds(25);
        zone.running.erase(ended);
        const auto start = std::chrono::steady_clock::now();
        zone.placement.report_finished(task, token, zone.now);
        const std::vector<action> decided = zone.step(1);
        times.push_back(std::chrono::duration<double, std::micro>(
                            std::chrono::steady_clock::now() - start)
                            .count());
        zone.step(1000);
        zone.confirm();
    }
    const std::string suffix = "_" + std::to_string(workers);
    print("decision_p50_us" + suffix, quantile(times, 0.5), "us");
    print("decision_p99_us" + suffix, quantile(times, 0.99), "us", "1000");
}

// The number of workers that a packing rule needs for a list of tasks.
double packing(const std::vector<base::resources>& tasks, int rule)
{
    std::mt19937 random(9);
    std::vector<base::resources> free;
    for (const base::resources& task : tasks)
    {
        std::vector<std::size_t> fits;
        // FIFO considers only the newest worker.
        std::size_t first = rule == 2 && !free.empty() ? free.size() - 1 : 0;
        for (std::size_t i = first; i < free.size(); ++i)
        {
            if (task.fits_in(free[i]))
            {
                fits.push_back(i);
            }
        }
        std::size_t chosen = free.size();
        if (!fits.empty())
        {
            chosen = rule == 1 ? fits[random() % fits.size()] : fits[0];
        }
        if (rule == 3 && !fits.empty())
        {
            // The naive rule takes the emptiest worker.
            chosen = *std::max_element(
                fits.begin(), fits.end(),
                [&](std::size_t a, std::size_t b)
                { return free[a].cpu_milli < free[b].cpu_milli; });
        }
        if (chosen == free.size())
        {
            free.push_back(plain);
        }
        free[chosen] -= task;
    }
    return static_cast<double>(free.size());
}

void measure_packing()
{
    std::mt19937 random(11);
    std::vector<base::resources> tasks;
    base::resources sum;
    for (int i = 0; i < 2300; ++i)
    {
        tasks.push_back({500 * (1 + static_cast<std::int64_t>(random() % 24)),
                         1024 * (1 + static_cast<std::int64_t>(random() % 48)),
                         0});
        sum += tasks.back();
    }
    // The least number of workers that the sum of each resource allows.
    const double lower_bound =
        std::max(static_cast<double>(sum.cpu_milli) / plain.cpu_milli,
                 static_cast<double>(sum.memory_mb) / plain.memory_mb);
    // Workers are added only when no queued job can start.
    simulated_zone zone(0, 1);
    int workers = 0;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        zone.submit(zone.job(static_cast<int>(i), 0, tasks[i]));
        while (zone.step(10).empty())
        {
            zone.placement.add_worker(
                {base::worker_id(numbered('w', workers++)), base::rack_id("r"),
                 plain});
        }
    }
    print("packing_ratio", workers / lower_bound, "ratio");
    print("packing_ratio_first_fit", packing(tasks, 0) / lower_bound, "ratio");
    print("packing_ratio_random", packing(tasks, 1) / lower_bound, "ratio");
    print("packing_ratio_fifo", packing(tasks, 2) / lower_bound, "ratio");
    print("packing_ratio_naive", packing(tasks, 3) / lower_bound, "ratio");
}

// All teams always have work; shares are averaged after a warm-up.
void measure_shares()
{
    constexpr int teams = 20;
    std::mt19937 random(13);
    simulated_zone zone(48, teams);
    std::vector<double> shares(teams, 0);
    std::vector<int> waiting(teams, 0);
    std::multimap<base::time_point, base::task_id> ends;
    int jobs = 0;
    int samples = 0;
    for (int second = 0; second < 400; ++second)
    {
        for (const team_counters& team : zone.placement.counters().teams)
        {
            const int number = std::atoi(team.team.text().c_str() + 1);
            for (std::size_t i = team.waiting_jobs; i < 20; ++i)
            {
                zone.submit(zone.job(
                    jobs++, number,
                    {1000 * (1 + static_cast<std::int64_t>(random() % 4)), 2048,
                     0}));
            }
        }
        for (const action& decided : zone.step(100000))
        {
            if (decided.type == action_type::start)
            {
                ends.emplace(zone.now + seconds(5 + random() % 20),
                             decided.task);
            }
        }
        zone.now += seconds(1);
        while (!ends.empty() && ends.begin()->first <= zone.now)
        {
            zone.finish(ends.begin()->second);
            ends.erase(ends.begin());
        }
        if (second >= 100)
        {
            ++samples;
            for (const team_counters& team : zone.placement.counters().teams)
            {
                shares[static_cast<std::size_t>(
                    std::atoi(team.team.text().c_str() + 1))] +=
                    static_cast<double>(team.used.cpu_milli);
            }
        }
    }
    double total = 0;
    double weights = 0;
    for (int i = 0; i < teams; ++i)
    {
        total += shares[static_cast<std::size_t>(i)];
        weights += 1 + i % 4;
    }
    double largest = 0;
    for (int i = 0; i < teams; ++i)
    {
        const double fair = total * (1 + i % 4) / weights;
        largest = std::max(
            largest,
            std::abs(shares[static_cast<std::size_t>(i)] - fair) / fair);
    }
    print("share_error_max", 100 * largest, "percent");
}

// Urgent tasks on a fleet full of batch work, with or without a cancellation
// wave at the same time. Messages take 100 ms each way.
void measure_urgent(bool wave)
{
    simulated_zone zone(670, 100);
    int jobs = 0;
    for (int i = 0; i < 670 * 4; ++i, ++jobs)
    {
        job_spec spec = zone.job(jobs, jobs % 100, {8000, 16384, 0});
        spec.run_time = seconds(3600);
        zone.submit(spec);
    }
    while (!zone.step(1000).empty())
    {
    }
    const int queued = jobs;
    for (int i = 0; i < 4000; ++i, ++jobs)
    {
        zone.submit(zone.job(jobs, jobs % 100, {8000, 16384, 0}));
    }
    zone.step(1000);
    std::map<std::string, base::time_point> submitted;
    std::vector<double> waits;
    double longest_step = 0;
    for (int tick = 0; tick < 200; ++tick)
    {
        if (tick < 150 && tick % 2 == 0)
        {
            job_spec spec = zone.job(jobs++, tick % 100, {6000, 12288, 0});
            spec.urgent = true;
            zone.submit(spec);
            submitted[spec.id.text()] = zone.now;
        }
        if (wave && tick == 20)
        {
            for (int i = queued / 2; i < queued + 4000; ++i)
            {
                (void)zone.placement.cancel(base::job_id(numbered('j', i)));
            }
        }
        do
        {
            const auto start = std::chrono::steady_clock::now();
            const std::vector<action> decided = zone.step(100);
            longest_step = std::max(
                longest_step, std::chrono::duration<double, std::milli>(
                                  std::chrono::steady_clock::now() - start)
                                  .count());
            for (const action& next : decided)
            {
                const auto found = submitted.find(next.task.job.text());
                if (next.type == action_type::start && found != submitted.end())
                {
                    waits.push_back(
                        std::chrono::duration<double>(zone.now - found->second)
                            .count() +
                        0.2);
                    submitted.erase(found);
                }
            }
        } while (zone.placement.has_more());
        zone.now += milliseconds(100);
        zone.confirm();
    }
    const std::string suffix = wave ? "_cancellation_wave" : "";
    print("wait_urgent_p99_s" + suffix, quantile(waits, 0.99), "s", "3.6");
    print("urgent_not_started" + suffix, static_cast<double>(submitted.size()),
          "jobs", "0");
    print("step_max_ms" + suffix, longest_step, "ms");
}

double allocated()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void measure_memory()
{
    double before = allocated();
    simulated_zone zone(670, 100);
    print("memory_per_worker", (allocated() - before) / 670, "bytes");
    for (int i = 0; i < 2300; ++i)
    {
        zone.submit(zone.job(i, i % 100, {2000, 4096, 0}));
    }
    before = allocated();
    std::size_t started = 0;
    do
    {
        started += zone.placement.step(zone.now, 100000).size();
    } while (zone.placement.has_more());
    print("memory_per_started_task",
          (allocated() - before) / static_cast<double>(started), "bytes");
    before = allocated();
    for (int i = 0; i < 10000; ++i)
    {
        zone.submit(zone.job(10000 + i, i % 100, {32000, 131072, 0}));
    }
    print("memory_per_queued_job", (allocated() - before) / 10000, "bytes");
}

} // namespace

int main()
{
    for (const int workers : {48, 170, 335, 670, 1340})
    {
        measure_decisions(workers);
    }
    measure_packing();
    measure_shares();
    measure_urgent(false);
    measure_urgent(true);
    measure_memory();
    return 0;
}
