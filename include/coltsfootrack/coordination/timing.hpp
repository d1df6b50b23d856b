#ifndef COLTSFOOTRACK_COORDINATION_TIMING_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_TIMING_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>

namespace coltsfootrack::coordination
{

// The periods of leases, promises and proofs. All daemons of a deployment must
// use the same values; the defaults are those of the design page.
//
// Clocks of two VMs may drift by 1% in either direction. A period that one VM
// waits for another VM's lease to end therefore has a margin of more than 2%.
struct timing
{
    // How long a daemon may act after the start of a commit or of a promise
    // request.
    base::duration lease = std::chrono::seconds(6);
    // How long a daemon waits for the lease of another one: before a takeover,
    // after a granted promise and after its own start.
    base::duration takeover_wait = std::chrono::seconds(7);
    // The interval between promise requests to one candidate.
    base::duration promise_interval = std::chrono::seconds(2);
    // Delay per rank among the daemons that may take over, so that usually
    // only the lowest id sends the commit.
    base::duration takeover_stagger = std::chrono::milliseconds(500);
    // How long the VM list must show a VM as gone before it counts as stopped.
    base::duration absence_timeout = std::chrono::seconds(30);
    // The longest interval between two VM lists that still shows continuous
    // absence.
    base::duration max_list_interval = std::chrono::seconds(10);
    // The oldest table read on which a takeover, a ticket or a change of
    // candidates or acceptors is based.
    base::duration max_observation_age = std::chrono::seconds(3);
    // A daemon whose session row changed within this period can be made a
    // candidate.
    base::duration candidate_admit_window = std::chrono::seconds(10);
    // A candidate whose session row has not changed for this period is removed.
    base::duration candidate_silence_timeout = std::chrono::seconds(20);
    // A worker's lease, and the margin after which it has certainly ended.
    base::duration worker_lease = std::chrono::seconds(30);
    base::duration worker_lease_margin = std::chrono::seconds(2);
    // The age at which a configuration proof stops counting. It is below the
    // promised 8 s because a clock that runs 1% slow measures 8 s as 7.92 s.
    base::duration max_proof_age = std::chrono::milliseconds(7900);
    // How long a slice must have been unused before it is returned.
    base::duration slice_idle_timeout = std::chrono::seconds(5);
    // How long the other zones have to lower their slices after a limit was
    // lowered, before this zone absorbs what they keep (14 s to be in force
    // and 10 s grace for preempted tasks).
    base::duration shrink_timeout = std::chrono::seconds(24);
};

} // namespace coltsfootrack::coordination

#endif
