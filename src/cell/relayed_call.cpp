// Makes a call to a worker for the leader.

#include "worker_messages.hpp"

#include <coltsfootrack/cell/worker_relay.hpp>

#include <utility>

namespace coltsfootrack::cell
{

void make_relayed_call(const worker_port& direct, const wire::worker_call& call,
                       std::function<void(wire::worker_answer)> done)
{
    fleet::worker_listing worker;
    worker.worker = call.worker;
    worker.address = call.address;
    const auto order_done =
        [nonce = call.nonce, done](fleet::order_outcome outcome)
    {
        done(answer_of(nonce, outcome));
    };
    switch (call.kind)
    {
    case wire::worker_call_kind::renew:
        direct.renew(worker, renewal_of(call),
                     [nonce = call.nonce,
                      done = std::move(done)](const renewal_result& result)
                     { done(answer_of(nonce, result)); });
        return;
    case wire::worker_call_kind::start:
        direct.start(worker, call.epoch, start_of(call),
                     call.lease_end.value_or(std::chrono::milliseconds(0)),
                     send_by_of(call),
                     [nonce = call.nonce,
                      done = std::move(done)](const fleet::start_result& result)
                     { done(answer_of(nonce, result)); });
        return;
    case wire::worker_call_kind::stop:
        direct.stop(worker, call.epoch, stop_of(call), order_done);
        return;
    case wire::worker_call_kind::pace:
        direct.pace(worker, call.epoch, pace_of(call), order_done);
        return;
    }
}

} // namespace coltsfootrack::cell
