#ifndef COLTSFOOTRACK_COORDINATION_ACCEPTOR_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ACCEPTOR_ANSWER_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::coordination
{

// A daemon's report on its own acceptance of tickets.
struct acceptor_answer
{
    // False until the daemon has fenced its previous incarnation and read the
    // table after that; until then the other fields are meaningless.
    bool ready = false;
    // The highest sequence that it has accepted or knows of.
    std::uint64_t sequence = 0;
    std::uint64_t membership_version = 0;
    // The outcome of an attempted ticket or membership change is unknown.
    bool in_doubt = false;
};

} // namespace coltsfootrack::coordination

#endif
