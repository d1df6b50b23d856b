// Formatting and output of log lines.

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

std::atomic<log_level> min_level{log_level::info};
std::mutex output_mutex;

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

// Read without a lock, so it may change only while no other thread logs.
log_writer& writer()
{
    static log_writer value;
    return value;
}

std::string time_text()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::time_t seconds = millis / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    return fmt::format("{}.{:03}Z", date.data(), millis % 1000);
}

std::string_view level_name(log_level level)
{
    return level_names[static_cast<std::size_t>(level)];
}

} // namespace

void set_log_writer(log_writer value)
{
    writer() = std::move(value);
}

std::string structured_line(log_level level, std::string_view part,
                            std::string_view message)
{
    const std::size_t stop = message.find(". ");
    std::string_view event = message.substr(0, stop);
    if (stop == std::string_view::npos && !event.empty() && event.back() == '.')
    {
        event.remove_suffix(1);
    }
    const std::string_view details = stop == std::string_view::npos
                                         ? std::string_view()
                                         : message.substr(stop + 2);
    return fmt::format("time={} level={} part={} event=\"{}\"{}{}\n",
                       time_text(), level_name(level), part, event,
                       details.empty() ? "" : " ", details);
}

void set_log_level(log_level level)
{
    min_level = level;
}

void write_log(log_level level, std::string_view part, std::string_view message)
{
    if (level < min_level.load())
    {
        return;
    }
    if (writer())
    {
        writer()(level, part, message);
        return;
    }
    const std::string time = time_text();
    const std::lock_guard<std::mutex> lock(output_mutex);
    fmt::print(stderr, "{} {} {}: {}\n", time, level_name(level), part,
               message);
}

} // namespace coltsfootrack::base
