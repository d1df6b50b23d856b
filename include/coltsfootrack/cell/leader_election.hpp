#ifndef COLTSFOOTRACK_CELL_LEADER_ELECTION_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_LEADER_ELECTION_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/cell/election_options.hpp>
#include <coltsfootrack/cell/leader_row.hpp>
#include <coltsfootrack/wire/cell_status.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace coltsfootrack::cell
{

// Decides when this daemon tries to become the leader.
//
// Safety does not rest on this class: the leader row changes by a conditional
// write, and stores and workers refuse a lower epoch. It only has to be quick,
// and to avoid changes that are not needed. A leader that is lost, stops, or
// cannot reach a store which others reach is followed by the daemon with the
// shortest way to the store, and among those by the largest VM; the others wait
// their turn.
//
// Thread safety: none.
class leader_election
{
public:
    leader_election(base::daemon_id self, std::uint64_t incarnation,
                    std::uint32_t processor_milli,
                    const election_options& options);

    // The row was read or written.
    void on_row(const leader_row& row, base::time_point now);

    // A peer told its status.
    void on_status(const base::daemon_id& peer, const wire::cell_status& status,
                   base::time_point now);

    // The connection to a peer came up or went down.
    void on_link(const base::daemon_id& peer, bool up, base::time_point now);

    // The store answered this daemon after the given delay.
    void on_store_answer(std::chrono::milliseconds delay, base::time_point now);

    // Whether this process acts as the leader. The row may name it without: the
    // answer to its claim was lost, or it has stepped down.
    void set_leading(bool leading);

    // This daemon is being stopped and does not stand any more.
    void stop();

    // The row to write now, on condition of the version of the known row.
    // Nothing while there is a leader or another candidate comes first.
    std::optional<leader_row> next_claim(base::time_point now);

    const std::optional<leader_row>& row() const
    {
        return row_;
    }

    // Whether the row names this process.
    bool row_names_self() const;

    std::optional<std::chrono::milliseconds>
    store_age(base::time_point now) const;

    std::optional<std::chrono::milliseconds>
    leader_age(base::time_point now) const;

    // The mean delay of the store.
    std::chrono::milliseconds store_delay() const;

    // A peer that the store answered lately, for work that it refuses this
    // daemon: one that does not lead, if there is one. `turn` spreads the work
    // over them.
    std::optional<base::daemon_id> peer_with_store(base::time_point now,
                                                   std::uint64_t turn) const;

    // Whether the leader can be reached: itself, or over a connection that is
    // up.
    bool leader_reachable() const;

private:
    struct peer
    {
        bool up = false;
        base::time_point changed_at;
        std::optional<wire::cell_status> status;
        base::time_point status_at;
    };

    bool needs_new_leader(base::time_point now) const;
    bool is_undersized(const wire::cell_status& leader,
                       base::time_point now) const;
    bool seen_by_peer(base::time_point now) const;
    int rank(base::time_point now) const;
    bool ranks_before(const wire::cell_status& status,
                      const base::daemon_id& other) const;

    base::daemon_id self_;
    std::uint64_t incarnation_;
    std::uint32_t processor_milli_;
    election_options options_;
    std::optional<leader_row> row_;
    base::time_point row_at_;
    std::map<base::daemon_id, peer> peers_;
    std::optional<base::time_point> store_at_;
    double store_delay_ms_ = 0;
    std::optional<base::time_point> needed_since_;
    bool leading_ = false;
    bool stopping_ = false;
};

} // namespace coltsfootrack::cell

#endif
