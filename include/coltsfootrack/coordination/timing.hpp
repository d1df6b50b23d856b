#ifndef COLTSFOOTRACK_COORDINATION_TIMING_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_TIMING_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>

namespace coltsfootrack::coordination
{

// The periods of leases, promises and proofs. All daemons of a deployment must
// use the same values. With the defaults, the successor of a killed owner acts
// within 9 s.
//
// The clock of each VM may drift by 1% in either direction. A period for which
// one VM waits until another VM's lease has expired is therefore longer than
// the lease by more than 2%.
struct timing
{
    // How long a daemon may act after it started a successful commit or sent a
    // granted promise request.
    base::duration lease = std::chrono::seconds(6);
    // How long a daemon waits until another one's lease has expired: before a
    // takeover, after it granted a promise and after its own start.
    base::duration takeover_wait = std::chrono::seconds(7);
    // The interval between promise requests to one candidate.
    base::duration promise_interval = std::chrono::seconds(2);
    // The delay per rank among the daemons that may take over, so that usually
    // only the one with the lowest id sends the commit.
    base::duration takeover_stagger = std::chrono::milliseconds(500);
    // How long a VM must be missing from the VM list to count as stopped.
    base::duration absence_timeout = std::chrono::seconds(30);
    // The longest interval between two VM lists that counts as continuous
    // absence.
    base::duration max_list_interval = std::chrono::seconds(10);
    // The maximum age of a table read on which a takeover, a ticket or a change
    // of candidates or acceptors may be based.
    base::duration max_observation_age = std::chrono::seconds(3);
    // A daemon becomes a candidate only if its session row changed within this
    // period.
    base::duration candidate_admit_window = std::chrono::seconds(10);
    // A candidate whose session row has not changed for this period is removed.
    base::duration candidate_silence_timeout = std::chrono::seconds(20);
    // A worker's lease, and the margin after which it has surely expired.
    base::duration worker_lease = std::chrono::seconds(30);
    base::duration worker_lease_margin = std::chrono::seconds(2);
    // The age from which a configuration proof no longer counts. Below the
    // guaranteed 8 s, because a clock that runs 1% slow measures 8 s as 7.92 s.
    base::duration max_proof_age = std::chrono::milliseconds(7900);
    // How long a part of a slice must be unused before it is returned.
    base::duration slice_idle_timeout = std::chrono::seconds(5);
    // How long the other zones have to lower their slices after a limit was
    // lowered (14 s until it is in force and 10 s of grace for preempted
    // tasks). After that this zone shrinks further to make up for what they
    // keep.
    base::duration shrink_timeout = std::chrono::seconds(24);
};

} // namespace coltsfootrack::coordination

#endif
