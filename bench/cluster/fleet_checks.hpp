#ifndef COLTSFOOTRACK_BENCH_CLUSTER_FLEET_CHECKS_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_FLEET_CHECKS_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coltsfootrack::local_cluster
{

// Naive statements of the invariants, checked over the facts that the workers
// recorded. They share no code with the product: each check replays all facts
// in the order of their times.
//
// A fact has "at_ms" (one clock for all workers of a machine), "worker",
// "event" ("started" or "ended"), "job", "index", "token", "team",
// "exclusive" and "resources".

// The first time at which a worker ran more than its capacity, in words, or
// nothing.
std::string check_capacity(const nlohmann::json& facts,
                           const std::map<std::string, base::resources>& sizes);

// The first exclusive task that ran in two places at once, or nothing.
std::string check_exclusive(const nlohmann::json& facts);

// The first time at which a team had more running than its limit, or nothing.
std::string check_limits(const nlohmann::json& facts,
                         const std::map<std::string, base::resources>& limits);

// The largest use of each team at any time.
std::map<std::string, base::resources> peak_use(const nlohmann::json& facts);

// The number of "started" facts of a job.
int count_starts(const nlohmann::json& facts, const std::string& job);

} // namespace coltsfootrack::local_cluster

#endif
