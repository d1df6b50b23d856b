#ifndef COLTSFOOTRACK_COORDINATION_PROMISE_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_PROMISE_ANSWER_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>

namespace coltsfootrack::coordination
{

// A candidate's answer to a promise_request; epoch and nonce are those of the
// request.
struct promise_answer
{
    base::zone_id zone;
    base::daemon_id candidate;
    std::uint64_t epoch = 0;
    std::uint64_t nonce = 0;
    bool granted = false;
};

} // namespace coltsfootrack::coordination

#endif
