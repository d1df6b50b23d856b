#ifndef COLTSFOOTRACK_ROUTING_RETRY_BUDGET_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_RETRY_BUDGET_OPTIONS_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::routing
{

// Settings of retry_budget.
struct retry_budget_options
{
    // Retries for each thousand requests.
    std::uint32_t permille = 100;
    // Retries for each second, so that a quiet service may retry at all.
    std::uint32_t min_per_second = 2;
    // The most tokens that can be saved up.
    std::uint32_t capacity = 20;
};

} // namespace coltsfootrack::routing

#endif
