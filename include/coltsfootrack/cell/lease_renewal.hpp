#ifndef COLTSFOOTRACK_CELL_LEASE_RENEWAL_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_LEASE_RENEWAL_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/fleet/order_outcome.hpp>
#include <coltsfootrack/fleet/worker_report.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::cell
{

// Asks a worker which runs it has and which have ended, and renews its lease.
struct lease_renewal
{
    std::uint64_t epoch = 0;
    // Ends up to this number are stored; the worker may forget them.
    std::uint64_t acknowledged = 0;
    // The new end of the lease on the worker's clock; nullopt leaves it as is.
    std::optional<std::chrono::milliseconds> lease_end;
    // How long the worker may hold its answer until a run ends.
    std::chrono::milliseconds wait{0};
    // The renewal is not sent after this time. Sent late, it could reach the
    // next life of the worker, whose ends have the same numbers.
    base::time_point send_by = base::time_point::max();
    // The worker did not answer the last renewal. The leader calls it itself,
    // and through a peer in the worker's zone if there is one: neither an
    // unresponsive peer nor a full link must be taken for an unresponsive
    // worker.
    bool unresponsive = false;
    // The leader calls the worker itself, and no peer does.
    bool direct = false;
};

// The answer to a lease_renewal.
struct renewal_result
{
    // carried_out, fenced, other_worker, refused, late if it was not sent in
    // time, unhealthy if the worker could not be connected to, or unknown if
    // unanswered.
    fleet::order_outcome outcome = fleet::order_outcome::unknown;
    // Set only with carried_out; the caller sets sent_at.
    fleet::worker_report report;
    // The leader got no answer, nor did a peer in the worker's zone, which said
    // so; or the leader is the only daemon of that zone.
    bool confirmed_unanswered = false;
    // The leader got no answer, and there is no daemon in the worker's zone
    // that could confirm it.
    bool no_daemon_near = false;
};

} // namespace coltsfootrack::cell

#endif
