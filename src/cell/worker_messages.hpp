#ifndef COLTSFOOTRACK_SRC_CELL_WORKER_MESSAGES_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_CELL_WORKER_MESSAGES_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/cell/lease_renewal.hpp>
#include <coltsfootrack/fleet/order.hpp>
#include <coltsfootrack/fleet/order_outcome.hpp>
#include <coltsfootrack/fleet/start_result.hpp>
#include <coltsfootrack/wire/worker_answer.hpp>
#include <coltsfootrack/wire/worker_call.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::cell
{

// The message for a call to a worker; the sender sets the nonce, the worker and
// its address.
wire::worker_call call_of(const lease_renewal& renewal);
wire::worker_call call_of(std::uint64_t epoch, const fleet::start_order& order,
                          std::chrono::milliseconds lease_end);
wire::worker_call call_of(std::uint64_t epoch, const fleet::stop_order& order);
wire::worker_call call_of(std::uint64_t epoch, const fleet::pace_order& order);

// Until when this daemon may send the call that a message asks for.
base::time_point send_by_of(const wire::worker_call& call);

// The call that a message describes.
lease_renewal renewal_of(const wire::worker_call& call);
fleet::start_order start_of(const wire::worker_call& call);
fleet::stop_order stop_of(const wire::worker_call& call);
fleet::pace_order pace_of(const wire::worker_call& call);

// Convert the result of a call to a message and back. An outcome with an
// unexpected number becomes order_outcome::unknown.
wire::worker_answer answer_of(std::uint64_t nonce,
                              fleet::order_outcome outcome);
wire::worker_answer answer_of(std::uint64_t nonce,
                              const fleet::start_result& result);
wire::worker_answer answer_of(std::uint64_t nonce,
                              const renewal_result& result);
fleet::order_outcome outcome_of(const wire::worker_answer& answer);
fleet::start_result start_result_of(const wire::worker_answer& answer);
renewal_result renewal_of(const wire::worker_answer& answer);

} // namespace coltsfootrack::cell

#endif
