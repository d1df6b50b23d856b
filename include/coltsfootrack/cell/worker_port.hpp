#ifndef COLTSFOOTRACK_CELL_WORKER_PORT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_WORKER_PORT_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/cell/lease_renewal.hpp>
#include <coltsfootrack/fleet/order.hpp>
#include <coltsfootrack/fleet/order_outcome.hpp>
#include <coltsfootrack/fleet/start_result.hpp>
#include <coltsfootrack/fleet/worker_listing.hpp>

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace coltsfootrack::cell
{

// The calls to workers that a cell makes. Each carries the epoch of the leader
// as its fencing token, and invokes its callback within a bounded time, on any
// thread.
struct worker_port
{
    using order_callback = std::function<void(fleet::order_outcome)>;
    using start_callback = std::function<void(fleet::start_result)>;

    std::function<void(const fleet::worker_listing&, const lease_renewal&,
                       std::function<void(renewal_result)>)>
        renew;

    // `lease_end` is on the worker's clock. An order that could not be sent by
    // `send_by` is not sent any more, and is late.
    std::function<void(const fleet::worker_listing&, std::uint64_t epoch,
                       const fleet::start_order&,
                       std::chrono::milliseconds lease_end,
                       base::time_point send_by, start_callback)>
        start;

    std::function<void(const fleet::worker_listing&, std::uint64_t epoch,
                       const fleet::stop_order&, order_callback)>
        stop;

    std::function<void(const fleet::worker_listing&, std::uint64_t epoch,
                       const fleet::pace_order&, order_callback)>
        pace;

    // The table that lists the workers, and the parser of its rows, which
    // returns an error for a row that describes no worker.
    std::string list_table;
    std::function<absl::StatusOr<fleet::worker_listing>(
        const std::string& key, const std::string& value)>
        read_listing;
};

} // namespace coltsfootrack::cell

#endif
