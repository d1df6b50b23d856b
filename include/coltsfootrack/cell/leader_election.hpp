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
// Safety does not depend on this class: the leader row changes by a conditional
// write, and stores and workers refuse a lower epoch. The class only has to be
// quick and to avoid needless changes. A leader that is lost, is stopping, or
// cannot reach a store that others reach is succeeded by the daemon with the
// lowest store delay, and among equal ones by the largest VM. Lower-ranked
// candidates wait.
//
// Thread safety: none.
class leader_election
{
public:
    leader_election(base::daemon_id self, std::uint64_t incarnation,
                    std::uint32_t processor_milli,
                    const election_options& options);

    // The leader row was read or written.
    void on_row(const leader_row& row, base::time_point now);

    // A peer sent its status.
    void on_status(const base::daemon_id& peer, const wire::cell_status& status,
                   base::time_point now);

    // The connection to a peer came up or went down.
    void on_link(const base::daemon_id& peer, bool up, base::time_point now);

    // The store answered this daemon after the given delay.
    void on_store_answer(std::chrono::milliseconds delay, base::time_point now);

    // Whether this process acts as the leader. It may not although the row
    // names it: the answer to its claim was lost, or it has stepped down.
    void set_leading(bool leading);

    // This daemon is being stopped and makes no more claims.
    void stop();

    // Whether stop() was called.
    bool stopping() const
    {
        return stopping_;
    }

    // The row to write now, if the stored row still has the known version.
    // nullopt while there is a leader or another candidate comes first.
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

    // The moving average of the store delay.
    std::chrono::milliseconds store_delay() const;

    // A peer that the store answered recently, for work that the store refuses
    // from this daemon; the leader only if there is no other. `turn` spreads
    // the work over the peers.
    std::optional<base::daemon_id> peer_with_store(base::time_point now,
                                                   std::uint64_t turn) const;

    // Whether this daemon is the leader or has a connection to it.
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
