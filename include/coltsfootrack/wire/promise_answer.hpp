#ifndef COLTSFOOTRACK_WIRE_PROMISE_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PROMISE_ANSWER_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>

namespace coltsfootrack::wire
{

// A candidate's answer to a promise_request.
struct promise_answer
{
    base::zone_id zone;
    // The epoch of the request, or the higher one that the candidate knows.
    std::uint64_t epoch = 0;
    bool granted = false;
    std::uint64_t nonce = 0;

    friend bool operator==(const promise_answer& a, const promise_answer& b)
    {
        return a.zone == b.zone && a.epoch == b.epoch &&
               a.granted == b.granted && a.nonce == b.nonce;
    }

    friend bool operator!=(const promise_answer& a, const promise_answer& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
