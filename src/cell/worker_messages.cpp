// Converts calls to workers to messages between daemons and back.

#include "worker_messages.hpp"

#include <coltsfootrack/cell/peer_time.hpp>

#include <algorithm>

namespace coltsfootrack::cell
{
namespace
{

// Stands for a clock of 0 in messages, where 0 is none.
constexpr std::chrono::milliseconds first_clock{1};

wire::run_key key_of(const jobs::task_key& task, std::uint64_t run)
{
    return {task.step.job, task.step.occurrence, task.step.step, task.index,
            run};
}

jobs::task_key task_of(const wire::run_key& key)
{
    return {{key.job, key.occurrence, key.step}, key.task};
}

wire::worker_call order_call(wire::worker_call_kind kind, std::uint64_t epoch,
                             const jobs::task_key& task, std::uint64_t run)
{
    wire::worker_call call;
    call.kind = kind;
    call.epoch = epoch;
    call.run = key_of(task, run);
    return call;
}

} // namespace

wire::worker_call call_of(const lease_renewal& renewal)
{
    wire::worker_call call;
    call.kind = wire::worker_call_kind::renew;
    call.epoch = renewal.epoch;
    call.acknowledged = renewal.acknowledged;
    call.lease_end = renewal.lease_end;
    call.wait = renewal.wait;
    return call;
}

wire::worker_call call_of(std::uint64_t epoch, const fleet::start_order& order,
                          std::chrono::milliseconds lease_end)
{
    wire::worker_call call =
        order_call(wire::worker_call_kind::start, epoch, order.task, order.run);
    call.payload = order.payload;
    call.checkpoint = order.checkpoint;
    call.ticket = order.ticket;
    call.lease_end = lease_end;
    return call;
}

wire::worker_call call_of(std::uint64_t epoch, const fleet::stop_order& order)
{
    return order_call(wire::worker_call_kind::stop, epoch, order.task,
                      order.run);
}

wire::worker_call call_of(std::uint64_t epoch, const fleet::pace_order& order)
{
    wire::worker_call call =
        order_call(wire::worker_call_kind::pace, epoch, order.task, order.run);
    call.pace_percent = static_cast<std::uint8_t>(order.percent);
    return call;
}

base::time_point send_by_of(const wire::worker_call& call)
{
    return call.send_by ? from_peer_time(*call.send_by)
                        : base::time_point::max();
}

lease_renewal renewal_of(const wire::worker_call& call)
{
    lease_renewal renewal;
    renewal.epoch = call.epoch;
    renewal.acknowledged = call.acknowledged;
    renewal.lease_end = call.lease_end;
    renewal.wait = call.wait;
    renewal.send_by = send_by_of(call);
    return renewal;
}

fleet::start_order start_of(const wire::worker_call& call)
{
    fleet::start_order order;
    order.worker = call.worker;
    order.task = task_of(call.run);
    order.run = call.run.run;
    order.payload = call.payload;
    order.checkpoint = call.checkpoint;
    order.ticket = call.ticket;
    return order;
}

fleet::stop_order stop_of(const wire::worker_call& call)
{
    return {call.worker, task_of(call.run), call.run.run};
}

fleet::pace_order pace_of(const wire::worker_call& call)
{
    return {call.worker, task_of(call.run), call.run.run, call.pace_percent};
}

wire::worker_answer answer_of(std::uint64_t nonce, fleet::order_outcome outcome)
{
    wire::worker_answer answer;
    answer.nonce = nonce;
    answer.taken = true;
    answer.outcome = static_cast<std::uint8_t>(outcome);
    return answer;
}

wire::worker_answer answer_of(std::uint64_t nonce,
                              const fleet::start_result& result)
{
    wire::worker_answer answer = answer_of(nonce, result.outcome);
    // 0 stands for no clock.
    answer.clock = result.clock ? std::max(*result.clock, first_clock)
                                : std::chrono::milliseconds(0);
    return answer;
}

wire::worker_answer answer_of(std::uint64_t nonce, const renewal_result& result)
{
    wire::worker_answer answer = answer_of(nonce, result.outcome);
    answer.life = result.report.life;
    answer.clock = result.report.clock;
    answer.all_ends = result.report.all_ends;
    answer.running.reserve(result.report.running.size());
    for (const fleet::listed_run& run : result.report.running)
    {
        answer.running.push_back(
            {key_of(run.task, run.run), run.checkpoint, run.percent, run.load});
    }
    answer.ended.reserve(result.report.ended.size());
    for (const fleet::run_end& end : result.report.ended)
    {
        answer.ended.push_back({end.number, key_of(end.task, end.run),
                                static_cast<std::uint8_t>(end.kind),
                                end.checkpoint});
    }
    return answer;
}

fleet::order_outcome outcome_of(const wire::worker_answer& answer)
{
    constexpr auto last =
        static_cast<std::uint8_t>(fleet::order_outcome::unknown);
    return answer.outcome <= last
               ? static_cast<fleet::order_outcome>(answer.outcome)
               : fleet::order_outcome::unknown;
}

fleet::start_result start_result_of(const wire::worker_answer& answer)
{
    fleet::start_result result;
    result.outcome = outcome_of(answer);
    if (answer.clock.count() > 0)
    {
        result.clock = answer.clock;
    }
    return result;
}

renewal_result renewal_of(const wire::worker_answer& answer)
{
    constexpr auto last_kind =
        static_cast<std::uint8_t>(fleet::end_kind::alone);
    renewal_result result;
    result.outcome = outcome_of(answer);
    result.report.life = answer.life;
    result.report.clock = answer.clock;
    result.report.all_ends = answer.all_ends;
    result.report.running.reserve(answer.running.size());
    for (const wire::reported_run& run : answer.running)
    {
        result.report.running.push_back({task_of(run.run), run.run.run,
                                         run.checkpoint, run.percent,
                                         run.load});
    }
    result.report.ended.reserve(answer.ended.size());
    for (const wire::reported_end& end : answer.ended)
    {
        if (end.kind > last_kind)
        {
            result.outcome = fleet::order_outcome::unknown;
            return result;
        }
        result.report.ended.push_back(
            {end.number, task_of(end.run), end.run.run,
             static_cast<fleet::end_kind>(end.kind), end.checkpoint});
    }
    return result;
}

} // namespace coltsfootrack::cell
