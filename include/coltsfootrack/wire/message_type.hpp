#ifndef COLTSFOOTRACK_WIRE_MESSAGE_TYPE_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_MESSAGE_TYPE_HPP_INCLUDED

#include <coltsfootrack/wire/message.hpp>

#include <cstddef>
#include <string_view>

namespace coltsfootrack::wire
{

// The types of message, for counters and log lines.
enum class message_type
{
    hello,
    heartbeat,
    promise_request,
    promise_answer,
    freshness_query,
    freshness_answer,
    config_notice,
    job_notice,
    usage_report,
    cell_status,
    catalogue_copy,
    job_copy,
    cancel_notice,
    state_query,
    state_answer,
    ticket_query,
    ticket_answer,
    relay_request,
    relay_answer,
    catalogue_request,
    worker_call,
    worker_answer
};

// The number of types; worker_answer is the last one.
constexpr std::size_t message_type_count =
    static_cast<std::size_t>(message_type::worker_answer) + 1;

// The type of a message.
message_type type_of(const message& value);

// The fixed name in logs and metric labels, for example "heartbeat".
std::string_view name_of(message_type type);

} // namespace coltsfootrack::wire

#endif
