#ifndef COLTSFOOTRACK_BENCH_CLUSTER_FLEET_CHECKS_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_FLEET_CHECKS_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coltsfootrack::local_cluster
{

// Simple checks of the invariants over the history of the workers. They share
// no code with the product: each check replays all events in the order of their
// times.
//
// An event has "at_ms" (one clock for all workers of a machine), "worker",
// "event" ("started" or "ended"), "job", "index", "token", "team",
// "exclusive" and "resources".

// Describes the first start that exceeds the capacity of a worker; "" if there
// is none.
std::string check_capacity(const nlohmann::json& history,
                           const std::map<std::string, base::resources>& sizes);

// Describes the first start of an exclusive task while it already runs; "" if
// there is none.
std::string check_exclusive(const nlohmann::json& history);

// Describes the first start that exceeds the limit of a team; "" if there is
// none.
std::string check_limits(const nlohmann::json& history,
                         const std::map<std::string, base::resources>& limits);

// The highest usage of each team at any time.
std::map<std::string, base::resources>
peak_usage(const nlohmann::json& history);

// The number of "started" events of a job.
int count_starts(const nlohmann::json& history, const std::string& job);

} // namespace coltsfootrack::local_cluster

#endif
