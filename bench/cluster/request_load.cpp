// Sends a fixed number of requests to a cluster.

#include "request_load.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fmt/core.h>
#include <mutex>
#include <thread>

namespace coltsfootrack::local_cluster
{
namespace
{

double milliseconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

} // namespace

double load_result::quantile_ms(double q) const
{
    if (latencies_ms.empty())
    {
        return 0;
    }
    const auto index = static_cast<std::size_t>(
        q * static_cast<double>(latencies_ms.size() - 1));
    return latencies_ms[index];
}

load_result send_requests(cluster& fleet, const std::string& service,
                          const std::string& key, int count, int threads,
                          int work_ms)
{
    std::vector<std::size_t> targets;
    for (std::size_t i = 0; i < fleet.daemons().size(); ++i)
    {
        if (fleet.daemons()[i].process && fleet.daemons()[i].process->running())
        {
            targets.push_back(i);
        }
    }
    load_result result;
    std::mutex mutex;
    std::atomic<int> next{0};
    const auto work = [&]
    {
        for (;;)
        {
            const int number = next++;
            if (number >= count)
            {
                return;
            }
            const std::string mark = fmt::format("request-{}", number);
            http::request message;
            message.method = "POST";
            message.path = "/v1/services/" + service + "/requests";
            message.headers.add("X-Team-Key", key);
            message.body =
                nlohmann::json({{"work_ms", work_ms}, {"mark", mark}}).dump();
            const auto start = std::chrono::steady_clock::now();
            const http::response answer = fleet.call(
                targets[static_cast<std::size_t>(number) % targets.size()],
                message);
            const double latency_ms = milliseconds_since(start);
            const std::lock_guard<std::mutex> lock(mutex);
            ++result.by_status[answer.status];
            if (answer.status == 200)
            {
                result.latencies_ms.push_back(latency_ms);
                if (answer.body.find(mark + "\"") == std::string::npos)
                {
                    ++result.mismatched;
                }
                continue;
            }
            const auto body =
                nlohmann::json::parse(answer.body, nullptr, false);
            ++result.by_error[body.is_object() ? body.value("error", "none")
                                               : "none"];
        }
    };
    std::vector<std::thread> pool;
    pool.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i)
    {
        pool.emplace_back(work);
    }
    for (std::thread& thread : pool)
    {
        thread.join();
    }
    std::sort(result.latencies_ms.begin(), result.latencies_ms.end());
    return result;
}

} // namespace coltsfootrack::local_cluster
