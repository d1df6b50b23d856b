// Naive checks over recorded facts.

#include "fleet_checks.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <functional>

namespace coltsfootrack::local_cluster
{
namespace
{

using nlohmann::json;

base::resources size_of(const json& fact)
{
    const json& size = fact.at("resources");
    return {size.value("cpu_milli", std::int64_t{0}),
            size.value("memory_mb", std::int64_t{0}),
            size.value("accelerators", std::int64_t{0})};
}

std::string task_of(const json& fact)
{
    return fact.at("job").get<std::string>() + "/" +
           std::to_string(fact.at("index").get<int>());
}

// Visits the facts by time; at equal times ends come first, because one
// worker records an end and the start that follows it with the same time.
void replay(const json& facts,
            const std::function<bool(const json&, bool started)>& visit)
{
    std::vector<json> ordered(facts.begin(), facts.end());
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const json& a, const json& b)
                     {
                         const auto left = a.at("at_ms").get<std::int64_t>();
                         const auto right = b.at("at_ms").get<std::int64_t>();
                         if (left != right)
                         {
                             return left < right;
                         }
                         return a.at("event") == "ended" &&
                                b.at("event") != "ended";
                     });
    for (const json& fact : ordered)
    {
        const auto event = fact.at("event").get<std::string>();
        if (event != "started" && event != "ended")
        {
            continue;
        }
        if (!visit(fact, event == "started"))
        {
            return;
        }
    }
}

// Replays the use of each name and reports the first one above its bound.
std::string check_bound(const json& facts, const char* name_field,
                        const std::map<std::string, base::resources>& bounds)
{
    std::map<std::string, base::resources> use;
    std::string violation;
    replay(facts,
           [&](const json& fact, bool started)
           {
               const auto name = fact.at(name_field).get<std::string>();
               const auto bound = bounds.find(name);
               if (bound == bounds.end())
               {
                   return true;
               }
               base::resources& sum = use[name];
               if (!started)
               {
                   sum -= size_of(fact);
                   return true;
               }
               sum += size_of(fact);
               if (sum.fits_in(bound->second))
               {
                   return true;
               }
               violation = fmt::format(
                   "{} {} has {} in use of {} at {} ms, task {}", name_field,
                   name, base::to_string(sum), base::to_string(bound->second),
                   fact.at("at_ms").get<std::int64_t>(), task_of(fact));
               return false;
           });
    return violation;
}

} // namespace

std::string check_capacity(const json& facts,
                           const std::map<std::string, base::resources>& sizes)
{
    return check_bound(facts, "worker", sizes);
}

std::string check_limits(const json& facts,
                         const std::map<std::string, base::resources>& limits)
{
    return check_bound(facts, "team", limits);
}

std::string check_exclusive(const json& facts)
{
    std::map<std::string, std::string> places;
    std::string violation;
    replay(facts,
           [&](const json& fact, bool started)
           {
               if (!fact.value("exclusive", false))
               {
                   return true;
               }
               const std::string task = task_of(fact);
               const auto worker = fact.at("worker").get<std::string>();
               if (!started)
               {
                   if (places[task] == worker)
                   {
                       places.erase(task);
                   }
                   return true;
               }
               const auto known = places.find(task);
               if (known == places.end())
               {
                   places[task] = worker;
                   return true;
               }
               violation = fmt::format(
                   "task {} started on {} while it ran on {}, at {} ms", task,
                   worker, known->second, fact.at("at_ms").get<std::int64_t>());
               return false;
           });
    return violation;
}

std::map<std::string, base::resources> peak_use(const json& facts)
{
    std::map<std::string, base::resources> use;
    std::map<std::string, base::resources> peak;
    replay(facts,
           [&](const json& fact, bool started)
           {
               const auto team = fact.at("team").get<std::string>();
               if (started)
               {
                   use[team] += size_of(fact);
                   peak[team] = base::component_max(peak[team], use[team]);
               }
               else
               {
                   use[team] -= size_of(fact);
               }
               return true;
           });
    return peak;
}

int count_starts(const json& facts, const std::string& job)
{
    return static_cast<int>(std::count_if(
        facts.begin(), facts.end(),
        [&job](const json& fact)
        { return fact.at("event") == "started" && fact.at("job") == job; }));
}

} // namespace coltsfootrack::local_cluster
