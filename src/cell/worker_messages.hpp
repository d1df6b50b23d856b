#ifndef COLTSFOOTRACK_SRC_CELL_WORKER_MESSAGES_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_CELL_WORKER_MESSAGES_HPP_INCLUDED

#include <coltsfootrack/cell/lease_renewal.hpp>
#include <coltsfootrack/fleet/order.hpp>
#include <coltsfootrack/fleet/order_outcome.hpp>
#include <coltsfootrack/wire/worker_answer.hpp>
#include <coltsfootrack/wire/worker_call.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::cell
{

// The message for a call to a worker; the nonce, the worker and its address
// are left to the sender.
wire::worker_call call_of(const lease_renewal& renewal);
wire::worker_call call_of(std::uint64_t epoch, const fleet::start_order& order,
                          std::chrono::milliseconds lease_end);
wire::worker_call call_of(std::uint64_t epoch, const fleet::stop_order& order);
wire::worker_call call_of(std::uint64_t epoch, const fleet::pace_order& order);

// The call that a message asks for.
lease_renewal renewal_of(const wire::worker_call& call);
fleet::start_order start_of(const wire::worker_call& call);
fleet::stop_order stop_of(const wire::worker_call& call);
fleet::pace_order pace_of(const wire::worker_call& call);

// The message for what became of a call, and back. An outcome that is not
// known here counts as unknown.
wire::worker_answer answer_of(std::uint64_t nonce,
                              fleet::order_outcome outcome);
wire::worker_answer answer_of(std::uint64_t nonce,
                              const renewal_result& result);
fleet::order_outcome outcome_of(const wire::worker_answer& answer);
renewal_result renewal_of(const wire::worker_answer& answer);

} // namespace coltsfootrack::cell

#endif
