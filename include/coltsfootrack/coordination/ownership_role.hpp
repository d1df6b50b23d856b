#ifndef COLTSFOOTRACK_COORDINATION_OWNERSHIP_ROLE_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_OWNERSHIP_ROLE_HPP_INCLUDED

namespace coltsfootrack::coordination
{

// A daemon's role in its zone, as far as it knows.
enum class ownership_role
{
    // Neither owner nor candidate.
    observer,
    // May take over when the owner's leases have expired.
    candidate,
    // Named by the owner row; may act while a lease is valid.
    owner,
    // Named by the owner row, but has stopped acting: its release for a planned
    // shutdown may take effect.
    releasing
};

} // namespace coltsfootrack::coordination

#endif
