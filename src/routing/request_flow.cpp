// Chooses the next step of a request by the rules in the header.

#include <coltsfootrack/routing/request_flow.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::routing
{
namespace
{

// Pauses between polls for a free slot double at most three times: a slot is
// free after one request time, and polling the router sends nothing.
constexpr std::uint32_t max_poll_doublings = 3;

// The number of refusals as full after which the request waits.
constexpr std::uint32_t max_full_since_wait = 3;

base::error_kind error_of_refusal(attempt_outcome outcome)
{
    return outcome == attempt_outcome::refused_leaving
               ? base::error_kind::upstream_leaving
               : base::error_kind::upstream_unreachable;
}

} // namespace

request_flow::request_flow(request_traits traits, backoff pauses,
                           retry_budget& budget, base::random_source random)
    : traits_(traits)
    , backoff_(pauses)
    , budget_(&budget)
    , random_(std::move(random))
{
}

request_step request_flow::start(base::time_point now)
{
    if (state_ != state::created)
    {
        return invalid_event();
    }
    if (now >= traits_.deadline)
    {
        return finish(base::error_kind::deadline_passed);
    }
    if (traits_.needs_claim)
    {
        state_ = state::claiming;
        return claim_step();
    }
    return try_to_send(now);
}

request_step request_flow::claim_succeeded(base::time_point now)
{
    return state_ == state::claiming ? try_to_send(now) : invalid_event();
}

request_step request_flow::claim_failed(base::error_kind reason,
                                        base::time_point /*now*/)
{
    return state_ == state::claiming ? finish(reason) : invalid_event();
}

request_step request_flow::no_runner(base::error_kind reason,
                                     base::time_point now)
{
    if (state_ != state::sending)
    {
        return invalid_event();
    }
    last_refusal_ = reason;
    if (reason == base::error_kind::no_upstream)
    {
        return finish(reason);
    }
    return poll(now);
}

request_step request_flow::attempt_ended(attempt_outcome outcome,
                                         base::time_point now)
{
    if (state_ != state::sending)
    {
        return invalid_event();
    }
    ++attempts_;
    if (outcome == attempt_outcome::complete)
    {
        return finish(std::nullopt);
    }
    if (outcome == attempt_outcome::refused_full)
    {
        return retry_after_full(now);
    }
    ++failures_;
    budgeted_ = false;
    if (proves_not_run(outcome))
    {
        last_refusal_ = error_of_refusal(outcome);
    }
    else if (traits_.idempotent)
    {
        unproved_ = outcome == attempt_outcome::timed_out
                        ? base::error_kind::upstream_timeout
                        : base::error_kind::upstream_truncated;
    }
    else
    {
        unproved_ = base::error_kind::outcome_unknown;
        return finish(unproved_);
    }
    if (now >= traits_.deadline || failures_ >= traits_.max_attempts)
    {
        return finish(last_refusal_);
    }
    if (!budget_->take(now))
    {
        return finish(base::error_kind::retry_budget_spent);
    }
    budgeted_ = true;
    if (outcome == attempt_outcome::refused_leaving)
    {
        return try_to_send(now);
    }
    return pause(backoff_.next(retry_pauses_++, random_), now);
}

request_step request_flow::retry_after_full(base::time_point now)
{
    last_refusal_ = base::error_kind::upstream_full;
    if (++full_since_wait_ < max_full_since_wait)
    {
        return try_to_send(now);
    }
    return poll(now);
}

request_step request_flow::poll(base::time_point now)
{
    const std::uint32_t n = std::min(polls_++, max_poll_doublings);
    return pause(backoff_.next(n, random_), now);
}

request_step request_flow::wait_ended(base::time_point now)
{
    return state_ == state::waiting ? try_to_send(now) : invalid_event();
}

request_step request_flow::deadline_passed(base::time_point /*now*/)
{
    if (state_ == state::sending)
    {
        ++attempts_;
        unproved_ = traits_.idempotent ? base::error_kind::upstream_timeout
                                       : base::error_kind::outcome_unknown;
    }
    return finish(last_refusal_);
}

std::uint32_t request_flow::attempts() const
{
    return attempts_;
}

bool request_flow::proved_not_run() const
{
    const bool answered = state_ == state::ended && !final_.error;
    return !answered && !unproved_ && state_ != state::sending;
}

request_step request_flow::try_to_send(base::time_point now)
{
    if (now >= traits_.deadline)
    {
        return finish(last_refusal_);
    }
    if (!budgeted_)
    {
        budget_->count_request(now);
        budgeted_ = true;
    }
    state_ = state::sending;
    return send_step();
}

request_step request_flow::pause(base::duration span, base::time_point now)
{
    // A wait until the deadline or beyond would only delay the error.
    if (now >= traits_.deadline || span >= traits_.deadline - now)
    {
        return finish(last_refusal_);
    }
    full_since_wait_ = 0;
    state_ = state::waiting;
    return wait_step{now + span};
}

request_step request_flow::finish(std::optional<base::error_kind> error)
{
    if (state_ != state::ended)
    {
        state_ = state::ended;
        // A refusal of the last attempt proves nothing about earlier ones.
        final_.error = error && unproved_ ? unproved_ : error;
        final_.ran = final_.error ? base::answer_of(*final_.error).ran
                                  : base::execution::ran;
    }
    return final_;
}

request_step request_flow::invalid_event()
{
    if (state_ != state::ended)
    {
        unproved_ = base::error_kind::internal;
    }
    return finish(base::error_kind::internal);
}

} // namespace coltsfootrack::routing
