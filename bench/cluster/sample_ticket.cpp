// Builds tickets for demonstrations, measurements and system tests.

#include "sample_ticket.hpp"

#include <coltsfootrack/base/random_source.hpp>

#include <stdexcept>

namespace coltsfootrack::local_cluster
{
namespace
{

nlohmann::json to_json(const base::resources& value)
{
    return {{"cpu_milli", value.cpu_milli},
            {"memory_mb", value.memory_mb},
            {"accelerators", value.accelerators}};
}

} // namespace

sample_ticket::sample_ticket(std::uint64_t number)
    : value_({{"number", number},
              {"author", "operator"},
              {"objects", nlohmann::json::array()}})
{
}

sample_ticket& sample_ticket::team(const std::string& name, int weight,
                                   const base::resources& limit)
{
    value_["objects"].push_back({{"type", "team"},
                                 {"name", name},
                                 {"weight", weight},
                                 {"limit", to_json(limit)}});
    return *this;
}

std::string sample_ticket::key(const std::string& name, const std::string& team)
{
    const auto new_key =
        config::generate_key(name, base::team_id(team), base::system_random());
    if (!new_key.ok())
    {
        throw std::runtime_error(std::string(new_key.status().message()));
    }
    value_["objects"].push_back({{"type", "key"},
                                 {"name", name},
                                 {"team", team},
                                 {"hash", new_key->object.hash},
                                 {"salt", new_key->object.salt},
                                 {"state", "granted"}});
    return new_key->plaintext;
}

sample_ticket& sample_ticket::withdraw(const nlohmann::json& key_object)
{
    nlohmann::json object = key_object;
    object["state"] = "withdrawn";
    value_["objects"].push_back(std::move(object));
    return *this;
}

sample_ticket& sample_ticket::workload(const std::string& name,
                                       const std::string& team,
                                       const std::string& kind,
                                       const base::resources& per_task,
                                       int tasks, int run_ms,
                                       const nlohmann::json& flags)
{
    nlohmann::json object = {{"type", "workload"},
                             {"name", name},
                             {"team", team},
                             {"kind", kind},
                             {"per_task", to_json(per_task)},
                             {"tasks", tasks}};
    if (kind != "service")
    {
        object["run_ms"] = run_ms;
    }
    if (flags.is_object())
    {
        object.update(flags);
    }
    value_["objects"].push_back(std::move(object));
    return *this;
}

sample_ticket& sample_ticket::service(const std::string& name,
                                      const std::string& team, bool idempotent,
                                      int timeout_ms)
{
    value_["objects"].push_back({{"type", "service"},
                                 {"name", name},
                                 {"teams", nlohmann::json::array({team})},
                                 {"idempotent", idempotent},
                                 {"timeout_ms", timeout_ms},
                                 {"body_limit_bytes", 65536}});
    return *this;
}

} // namespace coltsfootrack::local_cluster
