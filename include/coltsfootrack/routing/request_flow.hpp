#ifndef COLTSFOOTRACK_ROUTING_REQUEST_FLOW_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_REQUEST_FLOW_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/routing/attempt_outcome.hpp>
#include <coltsfootrack/routing/backoff.hpp>
#include <coltsfootrack/routing/request_step.hpp>
#include <coltsfootrack/routing/request_traits.hpp>
#include <coltsfootrack/routing/retry_budget.hpp>

#include <cstdint>
#include <optional>

namespace coltsfootrack::routing
{

// The state machine of one request over all its attempts.
//
//     request_flow flow(traits, backoff(), budget, random);
//     request_step step = flow.start(now);
//     while (!std::holds_alternative<final_step>(step))
//     {
//         ... do the step, then step = flow.<event>(..., now) ...
//     }
//
// Rules:
// - Nothing is sent before a needed claim has succeeded.
// - A request that is not idempotent is retried only if every attempt so far
//   is proved not to have run.
// - A retry after a failure takes a token of the retry budget and counts
//   towards max_attempts; it follows a jittered pause, except when the runner
//   refused as leaving.
// - A retry after a refusal as full takes no token: at 90% load a third to a
//   half of the attempts are refused on a healthy service, and the router then
//   avoids that runner for a while. After three such refusals without a wait,
//   the request waits for a short pause.
// - Waiting for a free slot takes no token, since nothing is sent.
// - "Did not run" is stated only if every attempt is proved not to have run.
// - After the final step every event returns the same final step, so that late
//   events change nothing.
//
// Each event answers the step before it. An event that does not fit that step
// is an error of the caller: the flow ends with the error internal and unknown
// execution.
//
// Thread safety: none; one thread at a time. The budget is shared and must
// outlive the flow.
class request_flow
{
public:
    request_flow(request_traits traits, backoff pauses, retry_budget& budget,
                 base::random_source random);

    // The first step.
    request_step start(base::time_point now);

    // The idempotency row was claimed.
    request_step claim_succeeded(base::time_point now);

    // The row was not claimed, for the given reason, and nothing was sent.
    request_step claim_failed(base::error_kind reason, base::time_point now);

    // The router found no runner: no_upstream, upstream_unreachable or
    // upstream_full. Waits and polls the router until the deadline, except for
    // no_upstream. Runners that were excluded after earlier attempts may be
    // allowed again after the wait.
    request_step no_runner(base::error_kind reason, base::time_point now);

    // The attempt of the last send_step has ended.
    request_step attempt_ended(attempt_outcome outcome, base::time_point now);

    // The time of the last wait_step has come, or a slot became free earlier.
    request_step wait_ended(base::time_point now);

    // The deadline has passed, during any step. An attempt in flight counts as
    // timed out.
    request_step deadline_passed(base::time_point now);

    // The number of attempts that ended or were in flight at the end.
    std::uint32_t attempts() const;

    // Whether every attempt so far is proved not to have run. After a final
    // step with an error, the row claimed for the request is released if so and
    // marked unknown if not. If the deadline passed during the claim, its
    // commit may still take effect; the row is then released once the outcome
    // of the commit is known.
    bool proved_not_run() const;

private:
    enum class state
    {
        created,
        claiming,
        sending,
        waiting,
        ended
    };

    request_step try_to_send(base::time_point now);
    request_step retry_after_full(base::time_point now);
    request_step poll(base::time_point now);
    request_step pause(base::duration span, base::time_point now);
    request_step finish(std::optional<base::error_kind> error);
    request_step invalid_event();

    request_traits traits_;
    backoff backoff_;
    retry_budget* budget_;
    base::random_source random_;
    state state_ = state::created;
    std::uint32_t attempts_ = 0;
    std::uint32_t retry_pauses_ = 0;
    std::uint32_t polls_ = 0;
    // Attempts that were not refused as full.
    std::uint32_t failures_ = 0;
    // Refusals as full since the last wait ended.
    std::uint32_t full_since_wait_ = 0;
    // Whether the retry budget covers the next attempt: as a counted request or
    // by a token.
    bool budgeted_ = false;
    // The error of the last attempt that may have run.
    std::optional<base::error_kind> unproved_;
    // Why the request has no answer yet; the final error at the deadline if
    // nothing ran.
    base::error_kind last_refusal_ = base::error_kind::deadline_passed;
    final_step final_;
};

} // namespace coltsfootrack::routing

#endif
