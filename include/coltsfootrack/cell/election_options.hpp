#ifndef COLTSFOOTRACK_CELL_ELECTION_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_ELECTION_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <cstdint>

namespace coltsfootrack::cell
{

// When a leader counts as lost, and which daemon succeeds it. The values follow
// from the status period of 250 ms and the target of a first start within 3 s
// of a silent loss.
struct election_options
{
    using milliseconds = std::chrono::milliseconds;

    // A leader counts as lost without a status for this long: four were missed.
    milliseconds status_timeout{1200};
    // It counts as lost when its connection has been down for this long.
    milliseconds link_grace{200};
    // A leader without an answer from the store for this long is replaced by a
    // daemon that has had one within fresh_store_age.
    milliseconds store_unresponsive_timeout{1500};
    milliseconds fresh_store_age{700};
    // The leader counts as alive if a peer heard from it within this time.
    milliseconds indirect_status_age{700};
    // A peer whose last status is older is not a candidate.
    milliseconds candidate_status_age{900};
    // A daemon that the store refuses relays work to peers that the store
    // answered within this time, which is a little longer than a read of
    // changes waits.
    milliseconds relay_store_age{1800};
    // A leader is replaced by a VM that is this many times as large, once it
    // has led for undersized_after: a leader's load grows with the number of
    // workers, while a change of leader costs a tenth of a second without
    // starts.
    std::uint32_t undersized_factor = 2;
    milliseconds undersized_after{1500};
    // A candidate waits this long for each higher-ranked one.
    milliseconds rank_delay{200};
    // Store delays are compared in steps of this size, so that daemons of one
    // region count as equal.
    milliseconds delay_step{10};
};

} // namespace coltsfootrack::cell

#endif
