// The names of the message types.

#include <coltsfootrack/wire/message_type.hpp>

#include <array>
#include <type_traits>
#include <variant>

namespace coltsfootrack::wire
{
namespace
{

constexpr std::array<std::string_view, message_type_count> names = {
    "hello",          "heartbeat",         "promise_request",
    "promise_answer", "freshness_query",   "freshness_answer",
    "config_notice",  "job_notice",        "usage_report",
    "cell_status",    "catalogue_copy",    "job_copy",
    "cancel_notice",  "state_query",       "state_answer",
    "ticket_query",   "ticket_answer",     "relay_request",
    "relay_answer",   "catalogue_request", "worker_call",
    "worker_answer"};

static_assert(std::variant_size_v<message> == message_type_count);
static_assert(std::is_same_v<std::variant_alternative_t<
                                 std::size_t(message_type::heartbeat), message>,
                             heartbeat>);
static_assert(
    std::is_same_v<std::variant_alternative_t<
                       std::size_t(message_type::usage_report), message>,
                   usage_report>);
static_assert(
    std::is_same_v<std::variant_alternative_t<
                       std::size_t(message_type::worker_answer), message>,
                   worker_answer>);

} // namespace

message_type type_of(const message& value)
{
    return static_cast<message_type>(value.index());
}

std::string_view name_of(message_type type)
{
    return names[static_cast<std::size_t>(type)];
}

} // namespace coltsfootrack::wire
