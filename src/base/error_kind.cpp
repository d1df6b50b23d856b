// The table of the answers to each error kind.

#include <coltsfootrack/base/error_kind.hpp>

#include <absl/strings/cord.h>

namespace coltsfootrack::base
{
namespace
{

constexpr std::string_view payload_url = "coltsfootrack/error_kind";

constexpr execution no = execution::did_not_run;
constexpr execution maybe = execution::unknown;
constexpr execution yes = execution::ran;

// Exit codes of the command-line tool: 2 bad input, 3 not permitted, 4
// conflict, 5 refused for now, 6 outcome unknown, 7 failed.
constexpr std::array<error_answer, error_kind_count> answers = {{
    {error_kind::invalid_settings, "invalid_settings", 400, 2, no, false,
     "Correct the settings named in the message."},
    {error_kind::invalid_ticket, "invalid_ticket", 400, 2, no, false,
     "Correct the ticket; 'coltsfootrack ticket check' lists all errors."},
    {error_kind::invalid_request, "invalid_request", 400, 2, no, false,
     "Correct the field named in the message."},
    {error_kind::body_too_large, "body_too_large", 413, 2, no, false,
     "Send a smaller body."},
    {error_kind::not_found, "not_found", 404, 2, no, false,
     "Check the name; list what exists with 'coltsfootrack status'."},
    {error_kind::key_missing, "key_missing", 401, 3, no, false,
     "Send the team's key in X-Team-Key."},
    {error_kind::key_unknown, "key_unknown", 401, 3, no, false,
     "Ask an operator for a key."},
    {error_kind::key_withdrawn, "key_withdrawn", 403, 3, no, false,
     "Ask an operator for a new key."},
    {error_kind::team_mismatch, "team_mismatch", 403, 3, no, false,
     "Use the key of the team that owns the object."},
    {error_kind::config_stale, "config_stale", 503, 5, no, true,
     "Retry at another daemon; this one cannot prove that the key is valid."},
    {error_kind::ticket_superseded, "ticket_superseded", 409, 4, no, false,
     "A newer ticket is in force; write a new one from the current state."},
    {error_kind::ticket_conflict, "ticket_conflict", 409, 4, no, false,
     "The number is in use with other content; take a new number."},
    {error_kind::already_exists, "already_exists", 409, 4, no, false,
     "Another object has this name; choose a new one."},
    {error_kind::impossible_job, "impossible_job", 422, 2, no, false,
     "No worker or limit can ever hold the job; reduce what it asks for."},
    {error_kind::queue_full, "queue_full", 429, 5, no, true,
     "Wait until queued jobs have started, then retry."},
    {error_kind::limit_reached, "limit_reached", 429, 5, no, true,
     "The team's upper limit is in use; wait or ask for a higher limit."},
    {error_kind::no_capacity, "no_capacity", 503, 5, no, true,
     "Retry later; all workers that could hold the task are in use."},
    {error_kind::no_upstream, "no_upstream", 503, 5, no, true,
     "Retry later; no live runner of the service is known."},
    {error_kind::upstream_full, "upstream_full", 503, 5, no, true,
     "Retry later; all slots of the service are in use."},
    {error_kind::upstream_leaving, "upstream_leaving", 503, 5, no, true,
     "Retry; the chosen runner is shutting down."},
    {error_kind::upstream_unreachable, "upstream_unreachable", 503, 5, no, true,
     "Retry; no connection to the runner could be made."},
    {error_kind::upstream_truncated, "upstream_truncated", 502, 6, maybe, true,
     "Retry an idempotent request; the runner's answer was incomplete."},
    {error_kind::upstream_timeout, "upstream_timeout", 504, 6, maybe, true,
     "Retry an idempotent request; the runner did not answer in time."},
    {error_kind::retry_budget_spent, "retry_budget_spent", 503, 5, no, true,
     "Retry later; the daemon limits retries while upstreams fail."},
    {error_kind::request_in_progress, "request_in_progress", 409, 6, maybe,
     true, "Ask again with the same idempotency key for the outcome."},
    {error_kind::outcome_unknown, "outcome_unknown", 502, 6, maybe, false,
     "Check the effect before sending it under a new idempotency key."},
    {error_kind::store_unavailable, "store_unavailable", 503, 5, no, true,
     "Retry later; the platform's table service does not answer."},
    {error_kind::store_conflict, "store_conflict", 409, 4, no, true,
     "Retry; another writer changed the same rows."},
    {error_kind::store_budget_spent, "store_budget_spent", 503, 5, no, true,
     "Retry later; the daemon's share of the table service is in use."},
    {error_kind::not_owner, "not_owner", 503, 5, no, true,
     "Retry; the zone's owner is changing."},
    {error_kind::fenced, "fenced", 503, 5, no, true,
     "Retry at another daemon; this one has lost its session."},
    {error_kind::overloaded, "overloaded", 503, 5, no, true,
     "Retry later or at another daemon."},
    {error_kind::draining, "draining", 503, 5, no, true,
     "Retry at another daemon; this one is shutting down."},
    {error_kind::cancelled, "cancelled", 409, 4, no, false,
     "The job was cancelled; submit it again if it is still needed."},
    {error_kind::deadline_passed, "deadline_passed", 504, 5, no, true,
     "Retry with a longer deadline."},
    {error_kind::peer_protocol, "peer_protocol", 502, 7, no, false,
     "Check that all daemons run compatible versions."},
    {error_kind::worker_unreachable, "worker_unreachable", 503, 7, maybe, true,
     "The scheduler retries by itself; check the worker."},
    {error_kind::task_failed, "task_failed", 500, 7, yes, false,
     "Read the task's own output; the job gives the last reason."},
    {error_kind::internal, "internal", 500, 7, maybe, false,
     "Report the message; it is a fault of the scheduler."},
}};

constexpr bool in_order()
{
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        if (static_cast<std::size_t>(answers[i].kind) != i)
        {
            return false;
        }
    }
    return true;
}

static_assert(in_order(), "one row per kind, in the order of the enumeration");

absl::StatusCode code_of(const error_answer& answer)
{
    switch (answer.http_status)
    {
    case 400:
    case 413:
    case 422:
        return absl::StatusCode::kInvalidArgument;
    case 401:
        return absl::StatusCode::kUnauthenticated;
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 429:
        return absl::StatusCode::kResourceExhausted;
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kInternal;
    }
}

} // namespace

const std::array<error_answer, error_kind_count>& error_answers()
{
    return answers;
}

const error_answer& answer_of(error_kind kind)
{
    return answers[static_cast<std::size_t>(kind)];
}

absl::Status make_error(error_kind kind, std::string_view detail)
{
    const error_answer& answer = answer_of(kind);
    absl::Status status(code_of(answer),
                        absl::string_view(detail.data(), detail.size()));
    status.SetPayload(
        absl::string_view(payload_url.data(), payload_url.size()),
        absl::Cord(absl::string_view(answer.name.data(), answer.name.size())));
    return status;
}

error_kind kind_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(
        absl::string_view(payload_url.data(), payload_url.size()));
    return payload ? kind_named(std::string(*payload)) : error_kind::internal;
}

error_kind kind_named(std::string_view name)
{
    for (const error_answer& answer : answers)
    {
        if (answer.name == name)
        {
            return answer.kind;
        }
    }
    return error_kind::internal;
}

} // namespace coltsfootrack::base
