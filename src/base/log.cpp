// Log lines on standard error.

#include <coltsfootrack/base/log.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>

namespace coltsfootrack::base
{
namespace
{

std::atomic<log_level> lowest_level{log_level::info};
std::mutex output_mutex;

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

} // namespace

void set_log_level(log_level level)
{
    lowest_level = level;
}

void write_log(log_level level, std::string_view part, std::string_view message)
{
    if (level < lowest_level.load())
    {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::time_t seconds = millis / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::lock_guard<std::mutex> lock(output_mutex);
    fmt::print(stderr, "{}.{:03}Z {} {}: {}\n", date.data(), millis % 1000,
               level_names[static_cast<std::size_t>(level)], part, message);
}

} // namespace coltsfootrack::base
