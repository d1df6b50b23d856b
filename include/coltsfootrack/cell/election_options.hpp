#ifndef COLTSFOOTRACK_CELL_ELECTION_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_ELECTION_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <cstdint>

namespace coltsfootrack::cell
{

// When a leader counts as lost, and who follows it. The figures rest on the
// status period of 250 ms and the aim of a first start within 3 s of a silent
// loss.
struct election_options
{
    using milliseconds = std::chrono::milliseconds;

    // Without a status for this long the leader is lost: four are missing.
    milliseconds status_timeout{1200};
    // With a broken connection it is lost after this.
    milliseconds link_grace{200};
    // A leader without an answer of the store for this long hands over to a
    // daemon that has had one within fresh_store_age.
    milliseconds store_timeout{1500};
    milliseconds fresh_store_age{700};
    // A peer that heard from the leader within this time vouches for it.
    milliseconds indirect_status_age{700};
    // A peer whose status is older does not count as a candidate.
    milliseconds candidate_status_age{900};
    // A peer that the store answered within this time takes work for one that
    // it refuses: a little more than a read of changes waits.
    milliseconds relay_store_age{1800};
    // A leader hands over to a VM that is this many times as large, once it has
    // led for some time: the work of a leader grows with the workers, and a
    // change costs a tenth of a second without starts.
    std::uint32_t undersized_factor = 2;
    milliseconds undersized_after{1500};
    // Each better candidate gets this long to go first.
    milliseconds rank_delay{200};
    // Delays of the store are compared in steps of this, so that daemons of one
    // region count as equal.
    milliseconds delay_step{10};
};

} // namespace coltsfootrack::cell

#endif
