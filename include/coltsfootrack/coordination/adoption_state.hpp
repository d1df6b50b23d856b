#ifndef COLTSFOOTRACK_COORDINATION_ADOPTION_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ADOPTION_STATE_HPP_INCLUDED

namespace coltsfootrack::coordination
{

// What the owner knows about a worker since it took the zone over.
enum class adoption_state
{
    // It may still run unreported tasks of the previous owner.
    pending,
    // It has accepted the current epoch and reported its tasks.
    adopted,
    // It did not answer, and its lease from the previous owner has expired.
    lapsed
};

} // namespace coltsfootrack::coordination

#endif
