#ifndef COLTSFOOTRACK_ROUTING_RETRY_BUDGET_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_RETRY_BUDGET_OPTIONS_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::routing
{

// Options of retry_budget.
struct retry_budget_options
{
    // Retries allowed per thousand requests.
    std::uint32_t permille = 100;
    // Retries allowed per second, so that a service with little traffic may
    // retry at all.
    std::uint32_t min_per_second = 2;
    // The maximum number of tokens in the bucket.
    std::uint32_t capacity = 20;
};

} // namespace coltsfootrack::routing

#endif
