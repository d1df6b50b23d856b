// Replays the history of workers and checks it.

#include "fleet_checks.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <functional>

namespace coltsfootrack::local_cluster
{
namespace
{

using nlohmann::json;

base::resources size_of(const json& event)
{
    const json& size = event.at("resources");
    return {size.value("cpu_milli", std::int64_t{0}),
            size.value("memory_mb", std::int64_t{0}),
            size.value("accelerators", std::int64_t{0})};
}

std::string task_of(const json& event)
{
    return event.at("job").get<std::string>() + "/" +
           std::to_string(event.at("index").get<int>());
}

// Visits the events by time. At equal times ends come first, because a worker
// may record an end and the start that follows it with the same time.
void replay(const json& history,
            const std::function<bool(const json&, bool started)>& visit)
{
    std::vector<json> ordered(history.begin(), history.end());
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
    for (const json& event : ordered)
    {
        const auto kind = event.at("event").get<std::string>();
        if (kind != "started" && kind != "ended")
        {
            continue;
        }
        if (!visit(event, kind == "started"))
        {
            return;
        }
    }
}

// Replays the usage by name and describes the first that exceeds its bound.
std::string check_bound(const json& history, const char* name_field,
                        const std::map<std::string, base::resources>& bounds)
{
    std::map<std::string, base::resources> usage;
    std::string violation;
    replay(history,
           [&](const json& event, bool started)
           {
               const auto name = event.at(name_field).get<std::string>();
               const auto bound = bounds.find(name);
               if (bound == bounds.end())
               {
                   return true;
               }
               base::resources& sum = usage[name];
               if (!started)
               {
                   sum -= size_of(event);
                   return true;
               }
               sum += size_of(event);
               if (sum.fits_in(bound->second))
               {
                   return true;
               }
               violation = fmt::format(
                   "{} {} has {} in use of {} at {} ms, task {}", name_field,
                   name, base::to_string(sum), base::to_string(bound->second),
                   event.at("at_ms").get<std::int64_t>(), task_of(event));
               return false;
           });
    return violation;
}

} // namespace

std::string check_capacity(const json& history,
                           const std::map<std::string, base::resources>& sizes)
{
    return check_bound(history, "worker", sizes);
}

std::string check_limits(const json& history,
                         const std::map<std::string, base::resources>& limits)
{
    return check_bound(history, "team", limits);
}

std::string check_exclusive(const json& history)
{
    std::map<std::string, std::string> running_on;
    std::string violation;
    replay(history,
           [&](const json& event, bool started)
           {
               if (!event.value("exclusive", false))
               {
                   return true;
               }
               const std::string task = task_of(event);
               const auto worker = event.at("worker").get<std::string>();
               if (!started)
               {
                   if (running_on[task] == worker)
                   {
                       running_on.erase(task);
                   }
                   return true;
               }
               const auto found = running_on.find(task);
               if (found == running_on.end())
               {
                   running_on[task] = worker;
                   return true;
               }
               violation = fmt::format(
                   "task {} started on {} while it ran on {}, at {} ms", task,
                   worker, found->second,
                   event.at("at_ms").get<std::int64_t>());
               return false;
           });
    return violation;
}

std::map<std::string, base::resources> peak_usage(const json& history)
{
    std::map<std::string, base::resources> usage;
    std::map<std::string, base::resources> peak;
    replay(history,
           [&](const json& event, bool started)
           {
               const auto team = event.at("team").get<std::string>();
               if (started)
               {
                   usage[team] += size_of(event);
                   peak[team] = base::component_max(peak[team], usage[team]);
               }
               else
               {
                   usage[team] -= size_of(event);
               }
               return true;
           });
    return peak;
}

int count_starts(const json& history, const std::string& job)
{
    return static_cast<int>(std::count_if(
        history.begin(), history.end(),
        [&job](const json& event)
        { return event.at("event") == "started" && event.at("job") == job; }));
}

} // namespace coltsfootrack::local_cluster
