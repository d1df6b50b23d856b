// Measures the processor time, memory and traffic of the daemons with real
// processes on loopback, for several numbers of workers, daemons, running tasks
// and teams. Prints one line per figure: name value unit bound.
//
// Usage: measure_control PROGRAMS FOLDER [SECONDS]

#include "cluster.hpp"
#include "process_usage.hpp"
#include "sample_ticket.hpp"

#include <algorithm>
#include <cstdlib>
#include <fmt/core.h>
#include <stdexcept>
#include <thread>

namespace
{

using namespace coltsfootrack;
using namespace coltsfootrack::local_cluster;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

// The bounds for one daemon at the design size.
constexpr const char* cpu_bound = "1.4";
constexpr const char* memory_bound = "256";
constexpr const char* traffic_bound = "12";

struct cluster_size
{
    int workers_per_zone;
    int daemons_per_zone;
    int running_tasks;
    int teams;
};

// The usage of all daemons during a measurement.
struct resource_usage
{
    double cpu_max_pct = 0;
    double cpu_mean_pct = 0;
    double rss_max_mb = 0;
    double traffic_max_kb = 0;
    double traffic_mean_kb = 0;
    double store_writes = 0;
    double store_reads = 0;
};

void print(const std::string& name, double value, const char* unit,
           const char* bound = "-")
{
    fmt::print("{} {:.4g} {} {}\n", name, value, unit, bound);
    std::fflush(stdout);
}

double metric(const std::string& text, const std::string& line_start)
{
    const auto found = text.find("\n" + line_start + " ");
    return found == std::string::npos
               ? 0
               : std::strtod(text.c_str() + found + line_start.size() + 2,
                             nullptr);
}

class measurement
{
public:
    measurement(std::string programs, std::string folder, int length_s)
        : programs_(std::move(programs))
        , folder_(std::move(folder))
        , length_s_(length_s)
    {
    }

    void start_cluster(const cluster_size& size)
    {
        cluster_options options;
        options.programs = programs_;
        options.folder = folder_;
        options.daemons_per_zone = size.daemons_per_zone;
        options.workers_per_zone = size.workers_per_zone;
        options.accelerator_workers_per_zone = 0;
        options.services = {"stream"};
        options.runners_per_zone = 2;
        fleet_.reset();
        fleet_ = std::make_unique<cluster>(options);
        if (!fleet_->start())
        {
            throw std::runtime_error("the cluster did not start");
        }
        sample_ticket ticket(1);
        for (int i = 0; i < size.teams; ++i)
        {
            ticket.team(fmt::format("t{}", i), 1 + i % 3,
                        {20000000, 80000000, 800});
        }
        key_ = ticket.key("k0", "t0");
        ticket.workload("long", "t0", "service", {500, 512, 0}, 1, 0)
            .workload("short", "t0", "batch", {250, 256, 0}, 1, 400)
            .workload("urgent", "t0", "batch", {16000, 4096, 0}, 1, 300,
                      {{"urgent", true}})
            .workload("filler", "t0", "batch", {16000, 16384, 0}, 1, 600000)
            .service("stream", "t0", true, 2000);
        post(0, "/v1/tickets", ticket.text());
        wait_sequence(1);
        if (size.running_tasks > 0)
        {
            // One job through a daemon of each zone; owners distribute by load.
            for (int i = 0; i < 3; ++i)
            {
                post(static_cast<std::size_t>(i), "/v1/jobs",
                     nlohmann::json({{"workload", "long"},
                                     {"tasks", size.running_tasks / 3}})
                         .dump());
            }
            if (!cluster::wait_for(
                    [&] { return running() >= size.running_tasks / 3 * 3; },
                    seconds(60)))
            {
                throw std::runtime_error("the tasks did not start");
            }
        }
        // The traffic of the start ends after a few heartbeats.
        std::this_thread::sleep_for(seconds(5));
    }

    resource_usage measure(const std::function<void()>& load)
    {
        const auto before = sample_usage();
        const auto counts = fleet_->platform("GET", "/control/counts", nullptr);
        const auto start = steady::now();
        load();
        const double span =
            std::chrono::duration<double>(steady::now() - start).count();
        const auto after = sample_usage();
        const auto counts_after =
            fleet_->platform("GET", "/control/counts", nullptr);
        resource_usage result;
        for (std::size_t i = 0; i < before.size(); ++i)
        {
            const double cpu = 100 * (after[i].cpu - before[i].cpu) / span;
            const double traffic =
                (after[i].bytes - before[i].bytes) / span / 1024;
            result.cpu_max_pct = std::max(result.cpu_max_pct, cpu);
            result.cpu_mean_pct += cpu / static_cast<double>(before.size());
            result.rss_max_mb = std::max(result.rss_max_mb, after[i].rss);
            result.traffic_max_kb = std::max(result.traffic_max_kb, traffic);
            result.traffic_mean_kb +=
                traffic / static_cast<double>(before.size());
        }
        const auto rate = [&](const char* field)
        {
            return (counts_after.at(field).get<double>() -
                    counts.at(field).get<double>()) /
                   span;
        };
        result.store_writes = rate("commits");
        result.store_reads = rate("reads");
        return result;
    }

    void report(const std::string& label, const resource_usage& value)
    {
        print("control_cpu_pct{" + label + "}", value.cpu_max_pct, "%",
              cpu_bound);
        print("control_cpu_mean_pct{" + label + "}", value.cpu_mean_pct, "%",
              cpu_bound);
        print("control_rss_mb{" + label + "}", value.rss_max_mb, "MB",
              memory_bound);
        print("control_kb_per_s{" + label + "}", value.traffic_max_kb, "KB/s",
              traffic_bound);
        print("control_mean_kb_per_s{" + label + "}", value.traffic_mean_kb,
              "KB/s", traffic_bound);
        print("store_commits_per_s{" + label + "}", value.store_writes, "1/s");
        print("store_reads_per_s{" + label + "}", value.store_reads, "1/s");
    }

    void measure_idle(const cluster_size& size)
    {
        start_cluster(size);
        const resource_usage value = measure(
            [this] { std::this_thread::sleep_for(seconds(length_s_)); });
        report(fmt::format("workers={},daemons={},tasks={},teams={}",
                           size.workers_per_zone * 3, size.daemons_per_zone * 3,
                           size.running_tasks, size.teams),
               value);
    }

    // Starts tasks at the peak rate of the design size.
    void measure_task_starts(int per_second)
    {
        const double before = metric_sum("task_started");
        int sent = 0;
        const resource_usage value = measure(
            [&]
            {
                const auto begin = steady::now();
                while (steady::now() - begin < seconds(length_s_))
                {
                    const int due = static_cast<int>(
                        std::chrono::duration<double>(steady::now() - begin)
                            .count() *
                        per_second);
                    if (sent >= due)
                    {
                        std::this_thread::sleep_for(milliseconds(5));
                        continue;
                    }
                    post(static_cast<std::size_t>(sent) % daemons(), "/v1/jobs",
                         R"({"workload": "short"})");
                    ++sent;
                }
            });
        const double started = metric_sum("task_started") - before;
        const std::string label = fmt::format("starts_per_s={}", per_second);
        report(label, value);
        print("tasks_started_per_s", started / length_s_, "1/s", "41");
        print("store_writes_per_start",
              value.store_writes * length_s_ / std::max(1.0, started), "1",
              "-");
    }

    void measure_config_propagation(int tickets)
    {
        double worst = 0;
        for (int i = 0; i < tickets; ++i)
        {
            sample_ticket ticket(static_cast<std::uint64_t>(100 + i));
            ticket.team("t0", 1 + i % 3, {20000000, 80000000, 800});
            const auto start = steady::now();
            post(static_cast<std::size_t>(i) % daemons(), "/v1/tickets",
                 ticket.text());
            wait_sequence(2 + i);
            worst = std::max(
                worst,
                std::chrono::duration<double>(steady::now() - start).count());
        }
        print("config_everywhere_s", worst, "s", "14");
    }

    void measure_urgent_waits(int count)
    {
        // More than the capacity of the fleet, so that each urgent task
        // preempts.
        post(0, "/v1/jobs", R"({"workload": "filler", "tasks": 200})");
        post(1, "/v1/jobs", R"({"workload": "filler", "tasks": 200})");
        post(2, "/v1/jobs", R"({"workload": "filler", "tasks": 200})");
        std::this_thread::sleep_for(seconds(6));
        std::vector<double> waits;
        for (int i = 0; i < count; ++i)
        {
            const std::string id = fmt::format("urgent-{}", i);
            const auto start = steady::now();
            post(static_cast<std::size_t>(i) % daemons(), "/v1/jobs",
                 nlohmann::json({{"workload", "urgent"}, {"id", id}}).dump());
            cluster::wait_for(
                [&]
                {
                    const auto history = fleet_->worker_history();
                    return std::any_of(history.begin(), history.end(),
                                       [&](const nlohmann::json& event)
                                       { return event.at("job") == id; });
                },
                seconds(20));
            waits.push_back(
                std::chrono::duration<double>(steady::now() - start).count());
        }
        std::sort(waits.begin(), waits.end());
        print("wait_urgent_p50_s", waits[waits.size() / 2], "s", "3.6");
        print("wait_urgent_max_s", waits.back(), "s", "3.6");
    }

    void measure_takeover()
    {
        const int owner = fleet_->owner_of("a1");
        const auto start = steady::now();
        fleet_->daemons()[static_cast<std::size_t>(owner)].process->kill();
        cluster::wait_for([this] { return fleet_->owner_of("a1") >= 0; },
                          seconds(60));
        print("takeover_s",
              std::chrono::duration<double>(steady::now() - start).count(), "s",
              "-");
    }

private:
    struct usage_sample
    {
        double cpu = 0;
        double rss = 0;
        double bytes = 0;
    };

    std::size_t daemons() const
    {
        return fleet_->daemons().size();
    }

    std::string metrics(std::size_t daemon)
    {
        http::request message;
        message.path = "/metrics";
        return fleet_->call(daemon, message).body;
    }

    std::vector<usage_sample> sample_usage()
    {
        std::vector<usage_sample> all;
        for (std::size_t i = 0; i < daemons(); ++i)
        {
            const std::string text = metrics(i);
            const process_usage usage =
                usage_of(fleet_->daemons()[i].process->pid());
            usage_sample value;
            value.cpu = usage.cpu_seconds;
            value.rss = usage.rss_mb;
            value.bytes =
                metric(text, R"(coltsfootrack_value{name="control_bytes"})");
            all.push_back(value);
        }
        return all;
    }

    double metric_sum(const std::string& event)
    {
        double sum = 0;
        for (std::size_t i = 0; i < daemons(); ++i)
        {
            sum += metric(metrics(i), "coltsfootrack_events_total{event=\"" +
                                          event + "\"}");
        }
        return sum;
    }

    int running()
    {
        int sum = 0;
        for (std::size_t i = 0; i < daemons(); ++i)
        {
            http::request message;
            message.path = "/v1/status";
            const auto body = nlohmann::json::parse(
                fleet_->call(i, message).body, nullptr, false);
            if (body.is_object() && body.contains("scheduler"))
            {
                sum += body["scheduler"].value("running_tasks", 0);
            }
        }
        return sum;
    }

    void wait_sequence(int sequence)
    {
        const bool done = cluster::wait_for(
            [&]
            {
                for (std::size_t i = 0; i < daemons(); ++i)
                {
                    http::request message;
                    message.path = "/v1/status";
                    const auto body = nlohmann::json::parse(
                        fleet_->call(i, message).body, nullptr, false);
                    if (!body.is_object() ||
                        body.value("config_sequence", 0) < sequence)
                    {
                        return false;
                    }
                }
                return true;
            },
            seconds(30));
        if (!done)
        {
            throw std::runtime_error(
                "a ticket is not in force at all daemons within 30 s");
        }
    }

    void post(std::size_t daemon, const std::string& path,
              const std::string& body)
    {
        http::request message;
        message.method = "POST";
        message.path = path;
        message.headers.add("X-Team-Key", key_);
        message.body = body;
        const http::response answer = fleet_->call(daemon, message);
        if (answer.status != 200 && answer.status != 202)
        {
            fmt::print(stderr, "request refused: {}\n", answer.body);
        }
    }

    std::string programs_;
    std::string folder_;
    int length_s_;
    std::string key_;
    std::unique_ptr<cluster> fleet_;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
    {
        fmt::print(stderr,
                   "usage: measure_control PROGRAMS FOLDER [SECONDS]\n");
        return 2;
    }
    try
    {
        measurement run(argv[1], argv[2], argc > 3 ? std::atoi(argv[3]) : 10);
        run.measure_idle({8, 1, 0, 10});
        run.measure_idle({32, 1, 0, 10});
        run.measure_idle({96, 1, 0, 10});
        run.measure_idle({8, 2, 0, 10});
        run.measure_idle({8, 4, 0, 10});
        run.measure_idle({32, 1, 300, 10});
        run.measure_idle({32, 1, 900, 10});
        run.measure_idle({32, 1, 0, 100});
        run.measure_task_starts(41);
        run.measure_config_propagation(10);
        run.measure_idle({8, 2, 0, 10});
        run.measure_urgent_waits(10);
        run.measure_takeover();
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "measure_control: {}\n", error.what());
        return 1;
    }
    return 0;
}
