#ifndef COLTSFOOTRACK_COORDINATION_OWNERSHIP_ACTION_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_OWNERSHIP_ACTION_HPP_INCLUDED

#include <coltsfootrack/coordination/ownership_proposal.hpp>
#include <coltsfootrack/coordination/promise_dispatch.hpp>

#include <variant>

namespace coltsfootrack::coordination
{

// An action that zone_ownership asks its daemon to carry out.
using ownership_action = std::variant<promise_dispatch, ownership_proposal>;

} // namespace coltsfootrack::coordination

#endif
