#ifndef COLTSFOOTRACK_BENCH_CLUSTER_SAMPLE_TICKET_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_SAMPLE_TICKET_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/config/generated_key.hpp>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::local_cluster
{

// Builds the JSON of a ticket, one object at a time.
//
//     sample_ticket ticket(1);
//     ticket.team("audio", 3, {64000, 262144, 16});
//     const std::string key = ticket.key("k1", "audio");
//     ticket.workload("restore", "audio", "batch", {4000, 8192, 1}, 8, 1000);
//     cluster.call(0, {"POST", "/v1/tickets", {}, {}, ticket.text()});
class sample_ticket
{
public:
    explicit sample_ticket(std::uint64_t number);

    sample_ticket& team(const std::string& name, int weight,
                        const base::resources& limit);

    // Adds a new key and returns its plain text.
    std::string key(const std::string& name, const std::string& team);

    // Adds the object of an existing key, with the state "withdrawn".
    sample_ticket& withdraw(const nlohmann::json& key_object);

    // Adds a workload; `flags` may contain exclusive, urgent or open.
    sample_ticket& workload(const std::string& name, const std::string& team,
                            const std::string& kind,
                            const base::resources& per_task, int tasks,
                            int run_ms, const nlohmann::json& flags = nullptr);

    sample_ticket& service(const std::string& name, const std::string& team,
                           bool idempotent, int timeout_ms);

    // The last object added.
    const nlohmann::json& last() const
    {
        return value_["objects"].back();
    }

    std::string text() const
    {
        return value_.dump();
    }

private:
    nlohmann::json value_;
};

} // namespace coltsfootrack::local_cluster

#endif
