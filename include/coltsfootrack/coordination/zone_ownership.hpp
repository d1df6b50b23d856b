#ifndef COLTSFOOTRACK_COORDINATION_ZONE_OWNERSHIP_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ZONE_OWNERSHIP_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/absence_tracker.hpp>
#include <coltsfootrack/coordination/listed_daemon.hpp>
#include <coltsfootrack/coordination/ownership_action.hpp>
#include <coltsfootrack/coordination/ownership_role.hpp>
#include <coltsfootrack/coordination/promise_answer.hpp>
#include <coltsfootrack/coordination/promise_request.hpp>
#include <coltsfootrack/coordination/session_lease.hpp>
#include <coltsfootrack/coordination/timing.hpp>
#include <coltsfootrack/coordination/zone_observation.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::coordination
{

// The leader election of one zone, as seen by one daemon of that zone. The
// owner may act while its session lease is valid or every candidate has
// recently promised not to take over.
//
// The daemon passes in events and calls step() after each of them and at least
// every 100 ms; step() returns promise requests to send and commits to make.
// Before any action on the zone's workers, queue or slices the daemon checks
// may_act(now, lease) with its own session lease.
//
//     for (const ownership_action& action : zone.step(now, lease)) ...
//     if (zone.may_act(now, lease)) send_command(zone.epoch());
//
// A proposal counts as sent from the moment step() returns it. Its outcome is
// unknown until proposal_applied or proposal_rejected; the daemon calls the
// latter only when the commit can no longer take effect. One proposal is open
// at a time. After a rejection, the next proposal waits for an observation that
// was sent after it.
//
// Limits: max_candidates candidates, max_requests open promise requests per
// candidate (the oldest are dropped first).
//
// Thread safety: none.
class zone_ownership
{
public:
    static constexpr std::size_t max_candidates = 4;
    static constexpr std::size_t max_requests = 4;

    // `incarnation` is unique for each process start. `now` is the process
    // start: no takeover is proposed for timing::takeover_wait after it,
    // because the previous process may have granted a promise.
    zone_ownership(base::zone_id zone, base::daemon_id self,
                   std::string incarnation, base::time_point now,
                   timing periods = {});

    // Records that the first commit of this incarnation has taken effect, so
    // that no commit of a previous incarnation can any more. No promise is
    // granted before this call and an observation sent after it.
    void session_confirmed(base::time_point now);

    // Records the result of a table read.
    void observe(const zone_observation& seen, base::time_point now);

    // Records the platform's list of entry VMs, requested at `sent`.
    void list_received(base::time_point sent,
                       const std::vector<listed_daemon>& list,
                       base::time_point now);

    // Decides on another daemon's promise request. The answer must be sent only
    // after this call.
    promise_answer answer(const promise_request& request, base::time_point now);

    // Records a candidate's answer. Answers to dropped requests are ignored.
    void promise_answered(const promise_answer& answer);

    // Records that the proposal took effect; `version` is the sequence of its
    // commit.
    void proposal_applied(std::uint64_t id, std::uint64_t version,
                          base::time_point now);

    // Records that the proposal did not and will not take effect.
    void proposal_rejected(std::uint64_t id, base::time_point now);

    // Records that this daemon's session was fenced: it is an observer until
    // restart().
    void session_fenced(base::time_point now);

    // Continues under a new incarnation, as after a process start.
    void restart(std::string incarnation, base::time_point now);

    // Starts a planned shutdown. An owner stops acting when step() returns the
    // release; may_act stays true until then, so that running commands can
    // complete first. The daemon proposes no takeover any more.
    void begin_shutdown();

    // The actions to carry out now.
    std::vector<ownership_action> step(base::time_point now,
                                       const session_lease& lease);

    // Whether this daemon may act as the owner.
    bool may_act(base::time_point now, const session_lease& lease) const;

    // The time until which this daemon may act: none if it may not act,
    // time_point::max() for an owner without candidates.
    std::optional<base::time_point>
    acting_until(const session_lease& lease) const;

    // The highest epoch seen for the zone; this daemon's while role() is owner.
    std::uint64_t epoch() const;

    ownership_role role() const;

    // The last known owner; empty if none.
    const base::daemon_id& owner() const;

    const base::zone_id& zone() const;

private:
    struct session_watch
    {
        observed_session seen;
        // When a read first showed this version.
        base::time_point since;
        // When a read first showed this incarnation.
        base::time_point incarnation_since;
        // When the daemon was last known to be alive. Unlike `since`, it is
        // reset to the current time after a gap without table reads.
        base::time_point last_heard;
    };

    struct candidate_state
    {
        // Open requests: nonce and time sent.
        std::deque<std::pair<std::uint64_t, base::time_point>> requests;
        // When the latest request granted in the current epoch was sent.
        std::optional<base::time_point> granted;
        std::optional<base::time_point> last_sent;
    };

    bool names_self(const owner_row& row) const;
    bool is_candidate() const;
    bool session_ended(const base::daemon_id& daemon,
                       const std::string& incarnation,
                       base::time_point now) const;
    bool may_take_over(base::time_point now) const;
    std::int64_t takeover_rank(base::time_point now) const;
    bool observed_recently(base::time_point now) const;
    std::vector<base::daemon_id> wanted_candidates(base::time_point now) const;
    void update_sessions(const zone_observation& seen, base::time_point now);
    void apply_row(const owner_row& row, std::uint64_t version);
    void update_required();
    ownership_proposal make_proposal(ownership_change change, owner_row row);
    std::optional<ownership_proposal> plan_takeover(base::time_point now);
    std::optional<ownership_proposal> plan_as_owner(base::time_point now);
    void request_promises(base::time_point now,
                          std::vector<ownership_action>& actions);

    base::zone_id zone_;
    base::daemon_id self_;
    std::string incarnation_;
    timing periods_;
    base::time_point started_;
    std::optional<base::time_point> confirmed_;
    bool row_known_ = false;
    bool promises_allowed_ = false;
    std::uint64_t sequence_ = 0;
    std::uint64_t row_version_ = 0;
    owner_row row_;
    // The highest epoch seen in the row or in a promise request.
    std::uint64_t epoch_ = 0;
    std::optional<base::time_point> last_observed_;
    // Since when the conditions for a takeover have held.
    std::optional<base::time_point> eligible_since_;
    std::map<base::daemon_id, session_watch> sessions_;
    std::vector<listed_daemon> list_;
    absence_tracker absence_;
    std::optional<base::time_point> promised_until_;
    std::optional<ownership_proposal> proposal_;
    std::uint64_t last_proposal_ = 0;
    std::uint64_t last_nonce_ = 0;
    // After a rejection: no proposal before a read sent after this time.
    std::optional<base::time_point> reread_after_;
    // The candidates whose promises the owner needs to act on promises: those
    // of the owner row and of an open proposal.
    std::map<base::daemon_id, candidate_state> required_;
    bool shutting_down_ = false;
    bool fenced_ = false;
};

} // namespace coltsfootrack::coordination

#endif
