#ifndef COLTSFOOTRACK_WIRE_WORKER_CALL_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_WORKER_CALL_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/wire/run_key.hpp>
#include <coltsfootrack/wire/worker_call_kind.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace coltsfootrack::wire
{

// Asks a peer to call a worker on behalf of the leader: to renew its lease, or
// to give it an order.
struct worker_call
{
    std::uint64_t nonce = 0;
    worker_call_kind kind = worker_call_kind::renew;
    base::worker_id worker;
    // A numeric address with a port.
    std::string address;
    // The epoch of the leader, which is the fencing token of the call.
    std::uint64_t epoch = 0;
    // For an order, the run that it concerns.
    run_key run;
    // For a start order.
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    // For a start or a renewal, the end of the lease on the worker's clock.
    std::optional<std::chrono::milliseconds> lease_end;
    // For a renewal, the number of the last end that is stored, and the longest
    // time to wait for a further one.
    std::uint64_t acknowledged = 0;
    std::chrono::milliseconds wait{0};
    // For a pace order, the share of the run's full speed, in percent.
    std::uint8_t pace_percent = 0;
    // The peer must not send the call after this time on its own clock, see
    // cell_status::clock; nullopt for no limit.
    std::optional<std::chrono::milliseconds> send_by;

    // All fields, in order.
    auto as_tuple() const
    {
        return std::tie(nonce, kind, worker, address, epoch, run, payload,
                        checkpoint, ticket, lease_end, acknowledged, wait,
                        pace_percent, send_by);
    }

    friend bool operator==(const worker_call& a, const worker_call& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const worker_call& a, const worker_call& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
