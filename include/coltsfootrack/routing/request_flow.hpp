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

// The decisions for one request over all its attempts.
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
// - A request that is not idempotent is sent again only if every attempt so
//   far proved that it did not run.
// - Sending again after a failure takes a token of the retry budget and counts
//   towards max_attempts; it follows a jittered pause, except after a refusal
//   as leaving.
// - Sending again after a refusal as full takes none: at 90% load a third to a
//   half of the sendings are refused on a healthy service, and each refusal
//   keeps the runner out of the router's view for a while. After three refusals
//   without a wait the request waits for a short pause.
// - Waiting for a free slot takes no token, since nothing is sent.
// - "Did not run" is stated only if every attempt proved it.
// - After the final step every event returns the same final step, so that late
//   events change nothing.
//
// Each event is for the step before it. An event that does not belong to the
// last step is a fault of the caller: the flow ends with kind internal, and
// the execution is unknown.
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

    // The idempotency row is claimed.
    request_step claim_succeeded(base::time_point now);

    // The row was not claimed, for the given reason, and nothing was sent.
    request_step claim_failed(base::error_kind reason, base::time_point now);

    // The router found no runner: no_upstream, upstream_unreachable or
    // upstream_full. Waits and asks again until the deadline, except for
    // no_upstream. Runners that were excluded for former attempts may be
    // allowed again after the wait.
    request_step no_runner(base::error_kind reason, base::time_point now);

    // The attempt of the last send_step has ended.
    request_step attempt_ended(attempt_outcome outcome, base::time_point now);

    // The time of the last wait_step has come, or a slot has become free
    // before.
    request_step wait_ended(base::time_point now);

    // The deadline has passed, during any step. An attempt in flight counts as
    // sent and not answered.
    request_step deadline_passed(base::time_point now);

    // Attempts that ended or were in flight at the end.
    std::uint32_t attempts() const;

    // Whether every attempt so far is proved not to have run. After the final
    // step a row that was claimed for the request is released if so, and kept
    // as unknown if not, unless the final step has no error. If the deadline
    // passed during the claim, its commit may still take effect; the row is
    // released when the outcome of the commit is known.
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
    request_step after_full(base::time_point now);
    request_step poll(base::time_point now);
    request_step pause(base::duration span, base::time_point now);
    request_step finish(std::optional<base::error_kind> error);
    request_step misuse();

    request_traits traits_;
    backoff pauses_;
    retry_budget* budget_;
    base::random_source random_;
    state state_ = state::created;
    std::uint32_t attempts_ = 0;
    std::uint32_t pauses_made_ = 0;
    std::uint32_t polls_made_ = 0;
    // Attempts that were not refused as full.
    std::uint32_t failures_ = 0;
    // Refusals as full since the last wait.
    std::uint32_t full_since_wait_ = 0;
    // Whether the next sending is paid for, by count_request or by a token.
    bool paid_ = false;
    // The kind of the last attempt that is not proved not to have run.
    std::optional<base::error_kind> unproved_;
    // Why the request is not answered yet, if nothing ran: stated when the
    // deadline passes.
    base::error_kind last_refusal_ = base::error_kind::deadline_passed;
    final_step final_;
};

} // namespace coltsfootrack::routing

#endif
