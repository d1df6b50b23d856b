#ifndef COLTSFOOTRACK_COORDINATION_OWNERSHIP_CHANGE_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_OWNERSHIP_CHANGE_HPP_INCLUDED

namespace coltsfootrack::coordination
{

// Why a daemon wants to write `owner/<zone>`.
enum class ownership_change
{
    // Become the owner.
    take_over,
    // The owner adds or removes candidates.
    set_candidates,
    // The owner gives the zone up in a planned shutdown.
    release
};

} // namespace coltsfootrack::coordination

#endif
