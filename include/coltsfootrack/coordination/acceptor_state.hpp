#ifndef COLTSFOOTRACK_COORDINATION_ACCEPTOR_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ACCEPTOR_STATE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/absence_tracker.hpp>
#include <coltsfootrack/coordination/acceptor_answer.hpp>
#include <coltsfootrack/coordination/listed_daemon.hpp>
#include <coltsfootrack/coordination/membership_proposal.hpp>
#include <coltsfootrack/coordination/membership_row.hpp>
#include <coltsfootrack/coordination/timing.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfootrack::coordination
{

// The state of one daemon as a possible acceptor of tickets: whether it may
// accept, how it answers freshness queries, and when it should change the
// membership.
//
// A ticket is in doubt from ticket_started until ticket_finished; the latter is
// called only when the outcome is known. After a process start the daemon is
// ready only once session_confirmed was called and a read sent after it has
// returned, because a commit of the previous process could still take effect.
//
// Limits: max_members members, max_tickets tickets in doubt.
//
// Thread safety: none.
class acceptor_state
{
public:
    static constexpr std::size_t max_members = 3;
    static constexpr std::size_t max_tickets = 64;

    explicit acceptor_state(base::daemon_id self, timing periods = {});

    // Records that the first commit of this incarnation has taken effect.
    void session_confirmed(base::time_point now);

    // Records a table read sent at `sent`: the configuration head, the
    // membership and the versions of the members' session rows (0 if absent).
    void store_read(
        base::time_point sent, std::uint64_t sequence,
        const membership_row& membership,
        const std::map<base::daemon_id, std::uint64_t>& session_versions);

    // Records a configuration sequence learned elsewhere, such as from a peer.
    void sequence_known(std::uint64_t sequence);

    // Records the platform's list of entry VMs, requested at `sent`.
    void list_received(base::time_point sent,
                       const std::vector<listed_daemon>& list,
                       base::time_point now);

    // Sets the daemons with a recent heartbeat or session row. Only these
    // become members, and members not among them are replaced.
    void set_responsive(std::set<base::daemon_id> daemons);

    // Whether this daemon may commit tickets (conditional on the version of
    // the membership row). False unless a read sent within
    // timing::max_observation_age has returned: a ticket attempted in a store
    // outage stays in doubt and blocks all proofs by rule 3 of config_freshness
    // until the store is back.
    bool may_accept(base::time_point now) const;

    // Records a ticket just before its commit is sent. Returns false if it must
    // not be sent: may_accept is false or the ticket is already in doubt.
    bool ticket_started(std::uint64_t ticket, base::time_point now);

    // Records the outcome of a ticket: its sequence, or none if it did not and
    // will not take effect.
    void ticket_finished(std::uint64_t ticket,
                         std::optional<std::uint64_t> sequence);

    // The part of the answer to a freshness query that concerns acceptance.
    acceptor_answer answer() const;

    // The membership change to commit now, if any. It is in doubt from the
    // moment it is returned.
    std::optional<membership_proposal> plan(base::time_point now);

    // Records that the proposal took effect with this row version.
    void proposal_applied(std::uint64_t id, std::uint64_t version);

    // Records that the proposal did not and will not take effect. The next one
    // is planned only after a read sent at or after `now`.
    void proposal_rejected(std::uint64_t id, base::time_point now);

    bool is_member() const;
    const membership_row& membership() const;

private:
    bool read_recently(base::time_point now) const;
    bool all_members_gone() const;
    std::vector<base::daemon_id> wanted_members() const;

    base::daemon_id self_;
    timing periods_;
    std::optional<base::time_point> confirmed_;
    bool ready_ = false;
    std::optional<base::time_point> last_read_;
    std::uint64_t sequence_ = 0;
    membership_row membership_;
    std::map<base::daemon_id, std::uint64_t> session_versions_;
    std::vector<listed_daemon> list_;
    std::set<base::daemon_id> responsive_;
    absence_tracker absence_;
    std::set<std::uint64_t> in_doubt_;
    std::optional<membership_proposal> proposal_;
    std::uint64_t last_proposal_ = 0;
    std::optional<base::time_point> reread_after_;
};

} // namespace coltsfootrack::coordination

#endif
