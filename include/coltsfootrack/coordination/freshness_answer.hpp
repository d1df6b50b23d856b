#ifndef COLTSFOOTRACK_COORDINATION_FRESHNESS_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_FRESHNESS_ANSWER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/acceptor_answer.hpp>

#include <cstdint>
#include <optional>

namespace coltsfootrack::coordination
{

// A daemon's answer to a freshness query.
struct freshness_answer
{
    base::daemon_id from;
    // The round of the query.
    std::uint64_t round = 0;
    // The configuration sequence in force at the answering daemon.
    std::uint64_t sequence = 0;
    // The age of its latest proof when it answered; none without a proof.
    std::optional<base::duration> proof_age;
    acceptor_answer acceptor;
};

} // namespace coltsfootrack::coordination

#endif
