#ifndef COLTSFOOTRACK_CELL_LEASE_RENEWAL_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_LEASE_RENEWAL_HPP_INCLUDED

#include <coltsfootrack/fleet/order_outcome.hpp>
#include <coltsfootrack/fleet/worker_report.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::cell
{

// Asks a worker what runs and has ended there, and renews the lease of what
// runs.
struct lease_renewal
{
    std::uint64_t epoch = 0;
    // Ends up to this number are stored and may be forgotten.
    std::uint64_t acknowledged = 0;
    // The new end of the lease on the worker's clock; nothing leaves it.
    std::optional<std::chrono::milliseconds> lease_end;
    // The answer waits this long for an end.
    std::chrono::milliseconds wait{0};
    // The leader asks itself, not through a peer: what does not answer then is
    // the worker.
    bool direct = false;
};

// The answer to a lease_renewal.
struct renewal_result
{
    // carried_out, fenced, other_worker, refused, or unknown without answer.
    fleet::order_outcome outcome = fleet::order_outcome::unknown;
    // With carried_out only; sent_at is set by the caller.
    fleet::worker_report report;
};

} // namespace coltsfootrack::cell

#endif
