#ifndef COLTSFOOTRACK_WIRE_WORKER_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_WORKER_ANSWER_HPP_INCLUDED

#include <coltsfootrack/wire/reported_end.hpp>
#include <coltsfootrack/wire/reported_run.hpp>

#include <chrono>
#include <cstdint>
#include <tuple>
#include <vector>

namespace coltsfootrack::wire
{

// Answers a worker_call.
struct worker_answer
{
    std::uint64_t nonce = 0;
    // False if the peer certainly did not make the call.
    bool taken = false;
    // A fleet::order_outcome.
    std::uint8_t outcome = 0;
    // For a renewal that was carried out, the worker's report; see
    // fleet::worker_report.
    std::int64_t life = 0;
    std::chrono::milliseconds clock{0};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    bool all_ends = false;

    // All fields, in order.
    auto as_tuple() const
    {
        return std::tie(nonce, taken, outcome, life, clock, running, ended,
                        all_ends);
    }

    friend bool operator==(const worker_answer& a, const worker_answer& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const worker_answer& a, const worker_answer& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
