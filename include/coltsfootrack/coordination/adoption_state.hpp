#ifndef COLTSFOOTRACK_COORDINATION_ADOPTION_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ADOPTION_STATE_HPP_INCLUDED

namespace coltsfootrack::coordination
{

// What is known about a worker since the zone was taken over.
enum class adoption_state
{
    // It may still run tasks of the former owner.
    pending,
    // It answered to the present epoch and reported what it runs.
    adopted,
    // Its lease from the former owner has certainly ended.
    lapsed
};

} // namespace coltsfootrack::coordination

#endif
