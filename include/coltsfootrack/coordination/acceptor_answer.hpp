#ifndef COLTSFOOTRACK_COORDINATION_ACCEPTOR_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ACCEPTOR_ANSWER_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::coordination
{

// What a daemon says about its own acceptance of tickets.
struct acceptor_answer
{
    // False until the daemon has fenced its former incarnation and read the
    // table after that; the other fields are then meaningless.
    bool ready = false;
    // The highest sequence that it accepted or knows.
    std::uint64_t sequence = 0;
    std::uint64_t membership_version = 0;
    // A ticket or a membership change was attempted and its outcome is not
    // known.
    bool in_doubt = false;
};

} // namespace coltsfootrack::coordination

#endif
