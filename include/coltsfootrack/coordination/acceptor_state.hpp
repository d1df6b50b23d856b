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

// What one daemon knows as a possible acceptor of tickets: whether it may
// accept, what it answers to freshness queries, and when it should change the
// membership.
//
// A ticket counts as attempted from ticket_started until ticket_finished; the
// latter is called only when the outcome is known. After a start of the process
// the state answers ready only after session_confirmed and a read sent after
// it, because a commit of the former process could still take effect.
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

    // The first commit of this incarnation is known to have taken effect.
    void session_confirmed(base::time_point now);

    // A table read sent at `sent` returned this head, membership and the
    // versions of the members' session rows (absent rows: 0).
    void store_read(
        base::time_point sent, std::uint64_t sequence,
        const membership_row& membership,
        const std::map<base::daemon_id, std::uint64_t>& session_versions);

    // A higher sequence became known, for example from a peer.
    void sequence_known(std::uint64_t sequence);

    // The platform's list of entry VMs was answered.
    void list_received(base::time_point sent,
                       const std::vector<listed_daemon>& list,
                       base::time_point now);

    // The daemons that were heard of recently, by heartbeat or session row.
    // Only these are made members, and members not among them are replaced.
    void set_responsive(std::set<base::daemon_id> daemons);

    // Whether this daemon may commit tickets (conditional on the version of
    // the membership row). False while the store has not answered a read sent
    // within timing::max_observation_age: a ticket attempted in a store outage
    // stays in doubt and ends all proofs by rule 3 until the store is back.
    bool may_accept(base::time_point now) const;

    // A ticket is about to be committed; call it just before sending. False if
    // it must not be sent: may_accept is false or the ticket is already open.
    bool ticket_started(std::uint64_t ticket, base::time_point now);

    // The outcome is known: the sequence it was given, or none if it did not
    // and will not take effect.
    void ticket_finished(std::uint64_t ticket,
                         std::optional<std::uint64_t> sequence);

    // The answer to a freshness query.
    acceptor_answer answer() const;

    // A membership change that should be made now, if any. It counts as
    // attempted from the moment it is returned.
    std::optional<membership_proposal> plan(base::time_point now);

    // The proposal took effect with this version.
    void proposal_applied(std::uint64_t id, std::uint64_t version);

    // The proposal did not and will not take effect. A new one is planned only
    // after a read sent after `now`.
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
