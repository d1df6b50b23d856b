#ifndef COLTSFOOTRACK_BASE_ERROR_KIND_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_ERROR_KIND_HPP_INCLUDED

#include <coltsfootrack/base/execution.hpp>

#include <absl/status/status.h>
#include <array>
#include <cstddef>
#include <string_view>

namespace coltsfootrack::base
{

// All error kinds. Each refusal and each retry names one of them, in the answer
// to the caller, in the log and in the metrics.
enum class error_kind
{
    invalid_settings,
    invalid_ticket,
    invalid_request,
    body_too_large,
    not_found,
    key_missing,
    key_unknown,
    key_withdrawn,
    team_mismatch,
    config_stale,
    ticket_superseded,
    ticket_conflict,
    already_exists,
    impossible_job,
    queue_full,
    limit_reached,
    no_capacity,
    no_upstream,
    upstream_full,
    upstream_leaving,
    upstream_unreachable,
    upstream_truncated,
    upstream_timeout,
    retry_budget_spent,
    request_in_progress,
    outcome_unknown,
    store_unavailable,
    store_conflict,
    store_budget_spent,
    not_owner,
    fenced,
    overloaded,
    draining,
    cancelled,
    deadline_passed,
    peer_protocol,
    worker_unreachable,
    task_failed,
    internal
};

// The number of kinds; error_kind::internal is the last one.
constexpr std::size_t error_kind_count =
    static_cast<std::size_t>(error_kind::internal) + 1;

// How a daemon and the command-line tool report one kind of error.
struct error_answer
{
    error_kind kind;
    // The fixed name in answers, logs and metric labels.
    std::string_view name;
    // The HTTP status in answers to callers and operators.
    int http_status;
    // The exit status of the command-line tool.
    int exit_code;
    // Whether the requested work ran. A daemon may answer did_not_run only for
    // the kinds that say so here.
    execution ran;
    // Whether the caller may send the same request again.
    bool retryable;
    // What the caller should do next.
    std::string_view advice;
};

// The answers of all kinds, in the order of the enumeration.
const std::array<error_answer, error_kind_count>& error_answers();

// The answer of one kind.
const error_answer& answer_of(error_kind kind);

// A status of the given kind. The detail names the field or object concerned
// and must not contain a key.
absl::Status make_error(error_kind kind, std::string_view detail);

// The kind of a status made by make_error; internal for any other error.
error_kind kind_of(const absl::Status& status);

// The kind with the given name, or internal if there is none.
error_kind kind_named(std::string_view name);

} // namespace coltsfootrack::base

#endif
