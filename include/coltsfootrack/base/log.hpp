#ifndef COLTSFOOTRACK_BASE_LOG_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_LOG_HPP_INCLUDED

#include <coltsfootrack/base/log_level.hpp>

#include <fmt/core.h>
#include <functional>
#include <string>
#include <string_view>

namespace coltsfootrack::base
{

// Writes one line to standard error: time of day, level, part of the program,
// message. Lines below the level set by set_log_level are discarded.
//
// Thread safety: may be called from any thread; lines do not interleave.
void write_log(log_level level, std::string_view part,
               std::string_view message);

// Receives all lines instead of standard error, for example to add them to a
// log_queue; an empty function restores standard error. It may be called from
// any thread and must not log.
using log_writer =
    std::function<void(log_level, std::string_view part, std::string_view)>;
void set_log_writer(log_writer writer);

// The line of a message in key=value form, with its newline:
//
//     time=2026-09-13T18:39:30.063Z level=info part=store
//         event="Commit failed" conflict=a
//
// (on one line). The event is the message up to its first full stop; the
// details follow it unchanged.
std::string structured_line(log_level level, std::string_view part,
                            std::string_view message);

// Sets the lowest level that is written; the default is info.
void set_log_level(log_level level);

// Formats and writes a log line. Details are key=value pairs after a short
// sentence:
//
//     log(log_level::info, "store", "Commit failed. conflict={}", key);
template <class... Args>
void log(log_level level, std::string_view part,
         fmt::format_string<Args...> format, Args&&... args)
{
    write_log(level, part, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace coltsfootrack::base

#endif
