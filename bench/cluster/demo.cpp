// The demonstration: a small cluster on loopback runs a service, a batch job, a
// gang, urgent work on a full fleet and requests through all daemons, and
// withdraws a key. It prints a table, and fails if an expectation does not
// hold.

#include "cluster.hpp"
#include "fleet_checks.hpp"
#include "request_load.hpp"
#include "sample_ticket.hpp"

#include <csignal>
#include <fmt/core.h>
#include <stdexcept>

namespace
{

using namespace coltsfootrack;
using namespace coltsfootrack::local_cluster;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

const std::map<std::string, base::resources> limits = {
    {"audio", {400000, 1600000, 24}},
    {"catalogue", {900000, 3600000, 48}},
    {"boxes", {300000, 1200000, 24}}};

class demonstration
{
public:
    explicit demonstration(const cluster_options& options)
        : fleet_(options)
    {
    }

    int run()
    {
        expect(fleet_.start(), "each zone has an acting owner");
        apply_configuration();
        run_jobs();
        serve_requests();
        start_urgent_work();
        withdraw_key();
        check_history();
        stop_daemons();
        fmt::print("\n{}\n", failures_ == 0 ? "all as expected"
                                            : "some expectations failed");
        return failures_ == 0 ? 0 : 1;
    }

private:
    void expect(bool holds, const std::string& what)
    {
        fmt::print("{:<8}{}\n", holds ? "ok" : "FAILED", what);
        std::fflush(stdout);
        failures_ += holds ? 0 : 1;
    }

    http::response post(std::size_t daemon, const std::string& path,
                        const std::string& key, const nlohmann::json& body)
    {
        http::request message;
        message.method = "POST";
        message.path = path;
        message.headers.add("X-Team-Key", key);
        message.body = body.dump();
        return fleet_.call(daemon, message);
    }

    bool all_at_sequence(int sequence)
    {
        for (std::size_t i = 0; i < fleet_.daemons().size(); ++i)
        {
            http::request message;
            message.path = "/v1/status";
            const auto body = nlohmann::json::parse(
                fleet_.call(i, message).body, nullptr, false);
            if (!body.is_object() ||
                body.value("config_sequence", 0) < sequence)
            {
                return false;
            }
        }
        return true;
    }

    void apply_configuration()
    {
        sample_ticket ticket(1);
        ticket.team("audio", 3, limits.at("audio"))
            .team("catalogue", 1, limits.at("catalogue"))
            .team("boxes", 2, limits.at("boxes"));
        audio_key_ = ticket.key("audio-1", "audio");
        catalogue_key_ = ticket.key("catalogue-1", "catalogue");
        boxes_key_ = ticket.key("boxes-1", "boxes");
        boxes_object_ = ticket.last();
        ticket.workload("live-mixer", "audio", "service", {2000, 4096, 0}, 4, 0)
            .workload("restoration", "audio", "batch", {4000, 16384, 2}, 8,
                      1500, {{"exclusive", true}})
            .workload("box-plan", "boxes", "gang", {8000, 16384, 0}, 9, 1500,
                      {{"exclusive", true}})
            .workload("loudness", "catalogue", "batch", {8000, 16384, 0}, 24,
                      600000)
            .workload("publish", "audio", "batch", {16000, 16384, 0}, 1, 500,
                      {{"urgent", true}})
            .service("stream", "audio", true, 3000);
        const auto start = steady::now();
        http::request message;
        message.method = "POST";
        message.path = "/v1/tickets";
        message.body = ticket.text();
        expect(fleet_.call(2, message).status == 200,
               "a ticket is accepted through a daemon");
        expect(cluster::wait_for([this] { return all_at_sequence(1); },
                                 seconds(14)),
               "the ticket is in force at all daemons");
        in_force_ms_ = elapsed_ms(start);
    }

    std::string submit(std::size_t daemon, const std::string& workload,
                       const std::string& key, const std::string& id)
    {
        const http::response answer =
            post(daemon, "/v1/jobs", key, {{"workload", workload}, {"id", id}});
        expect(answer.status == 202,
               fmt::format("job {} is accepted by {}{}", id,
                           fleet_.daemons()[daemon].id,
                           answer.status == 202 ? "" : ": " + answer.body));
        return id;
    }

    nlohmann::json job(const std::string& id)
    {
        http::request message;
        message.path = "/v1/jobs/" + id;
        return nlohmann::json::parse(fleet_.call(0, message).body, nullptr,
                                     false);
    }

    bool finished(const std::string& id)
    {
        return cluster::wait_for(
            [&]
            {
                const nlohmann::json value = job(id);
                return value.is_object() &&
                       value.value("state", "") == "finished";
            },
            seconds(40));
    }

    int running(const std::string& id)
    {
        const auto history = fleet_.worker_history();
        int count = 0;
        for (const auto& event : history)
        {
            if (event.at("job") == id)
            {
                count += event.at("event") == "started" ? 1 : 0;
                count -= event.at("event") == "ended" ? 1 : 0;
            }
        }
        return count;
    }

    void run_jobs()
    {
        submit(0, "live-mixer", audio_key_, "mixer");
        submit(1, "restoration", audio_key_, "restore-1");
        submit(2, "box-plan", boxes_key_, "plan-1");
        expect(cluster::wait_for([this] { return running("mixer") == 4; },
                                 seconds(30)),
               "the service runs with 4 tasks");
        expect(finished("restore-1"), "the batch job is finished");
        expect(finished("plan-1"), "the gang is finished");
        expect(count_starts(fleet_.worker_history(), "plan-1") == 9,
               "the gang's 9 tasks started once each");
        const http::response refused =
            post(0, "/v1/jobs", boxes_key_, {{"workload", "restoration"}});
        expect(refused.status == 403, "a key of another team is refused");
    }

    void serve_requests()
    {
        load_ = send_requests(fleet_, "stream", audio_key_, 3000, 24, 2);
        expect(load_.by_status[200] == 3000 && load_.mismatched == 0,
               fmt::format("3000 requests are answered, each with its own "
                           "answer ({} answered)",
                           load_.by_status[200]));
    }

    void start_urgent_work()
    {
        for (int i = 0; i < 6; ++i)
        {
            submit(static_cast<std::size_t>(i) % 3, "loudness", catalogue_key_,
                   fmt::format("fill-{}", i));
        }
        cluster::wait_for(
            [this]
            {
                int sum = 0;
                for (int i = 0; i < 6; ++i)
                {
                    sum += running(fmt::format("fill-{}", i));
                }
                filler_tasks_ = sum;
                return sum >= 64;
            },
            seconds(20));
        const auto start = steady::now();
        submit(1, "publish", audio_key_, "urgent-1");
        expect(cluster::wait_for(
                   [this] {
                       return count_starts(fleet_.worker_history(),
                                           "urgent-1") == 1;
                   },
                   seconds(20)),
               "urgent work starts on the full fleet");
        urgent_ms_ = elapsed_ms(start);
    }

    void withdraw_key()
    {
        sample_ticket ticket(2);
        ticket.withdraw(boxes_object_);
        http::request message;
        message.method = "POST";
        message.path = "/v1/tickets";
        message.body = ticket.text();
        const auto start = steady::now();
        expect(fleet_.call(0, message).status == 200,
               "the ticket that withdraws a key is accepted");
        const bool refused = cluster::wait_for(
            [this]
            {
                for (std::size_t i = 0; i < fleet_.daemons().size(); ++i)
                {
                    if (post(i, "/v1/jobs", boxes_key_,
                             {{"workload", "box-plan"}, {"tasks", 9}})
                            .status != 403)
                    {
                        return false;
                    }
                }
                return true;
            },
            seconds(14));
        withdrawn_ms_ = elapsed_ms(start);
        expect(refused, "the withdrawn key is refused by all daemons");
    }

    void check_history()
    {
        std::map<std::string, base::resources> sizes;
        for (const auto& vm : fleet_.vms())
        {
            sizes[vm.at("name")] = {vm.at("cpu_milli"), vm.at("memory_mb"),
                                    vm.at("accelerators")};
        }
        const auto history = fleet_.worker_history();
        const std::string capacity = check_capacity(history, sizes);
        expect(capacity.empty(), "no VM ran more than its capacity" +
                                     (capacity.empty() ? "" : ": " + capacity));
        const std::string exclusive = check_exclusive(history);
        expect(exclusive.empty(),
               "no exclusive task ran on two workers at once" +
                   (exclusive.empty() ? "" : ": " + exclusive));
        const std::string limit = check_limits(history, limits);
        expect(limit.empty(), "no team was over its limit" +
                                  (limit.empty() ? "" : ": " + limit));
        print_table(history);
    }

    void print_table(const nlohmann::json& history)
    {
        int started = 0;
        for (const auto& event : history)
        {
            started += event.at("event") == "started" ? 1 : 0;
        }
        fmt::print("\n{:<34}{:>12}\n", "figure", "value");
        fmt::print("{:<34}{:>12}\n", "tasks started", started);
        fmt::print("{:<34}{:>12}\n", "tasks that filled the fleet",
                   filler_tasks_);
        fmt::print("{:<34}{:>12.1f}\n", "request p50 ms",
                   load_.quantile_ms(0.5));
        fmt::print("{:<34}{:>12.1f}\n", "request p99 ms",
                   load_.quantile_ms(0.99));
        fmt::print("{:<34}{:>12}\n", "ticket in force everywhere ms",
                   in_force_ms_);
        fmt::print("{:<34}{:>12}\n", "withdrawn key refused everywhere ms",
                   withdrawn_ms_);
        fmt::print("{:<34}{:>12}\n", "urgent start on filled fleet ms",
                   urgent_ms_);
        for (const auto& [team, usage] : peak_usage(history))
        {
            fmt::print("{:<34}{:>12}\n", "peak cores of team " + team,
                       usage.cpu_milli / 1000);
        }
        print_refusals();
    }

    void print_refusals()
    {
        std::map<std::string, double> refusals;
        for (std::size_t i = 0; i < fleet_.daemons().size(); ++i)
        {
            http::request message;
            message.path = "/metrics";
            const std::string text = fleet_.call(i, message).body;
            const std::string name = "coltsfootrack_refusals_total{reason=\"";
            for (auto at = text.find(name); at != std::string::npos;
                 at = text.find(name, at + 1))
            {
                const auto start = at + name.size();
                const auto end = text.find('"', start);
                const double value =
                    std::strtod(text.c_str() + end + 2, nullptr);
                if (value > 0)
                {
                    refusals[text.substr(start, end - start)] += value;
                }
            }
        }
        for (const auto& [reason, count] : refusals)
        {
            fmt::print("{:<34}{:>12}\n", "refused: " + reason, count);
        }
    }

    void stop_daemons()
    {
        bool clean = true;
        for (auto& node : fleet_.daemons())
        {
            node.process->send_signal(SIGTERM);
        }
        for (auto& node : fleet_.daemons())
        {
            const auto status = node.process->wait(seconds(30));
            clean = clean && status && *status == 0;
        }
        expect(clean, "all daemons end on SIGTERM with status 0");
    }

    static long elapsed_ms(steady::time_point start)
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - start)
            .count();
    }

    cluster fleet_;
    int failures_ = 0;
    int filler_tasks_ = 0;
    std::string audio_key_;
    std::string catalogue_key_;
    std::string boxes_key_;
    nlohmann::json boxes_object_;
    load_result load_;
    long in_force_ms_ = 0;
    long withdrawn_ms_ = 0;
    long urgent_ms_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    cluster_options options;
    options.programs = argc > 1 ? argv[1] : ".";
    options.folder = argc > 2 ? argv[2] : "demo-run";
    try
    {
        return demonstration(options).run();
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "demo: {}\n", error.what());
        return 1;
    }
}
