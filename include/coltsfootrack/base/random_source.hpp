#ifndef COLTSFOOTRACK_BASE_RANDOM_SOURCE_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_RANDOM_SOURCE_HPP_INCLUDED

#include <cstdint>
#include <functional>

namespace coltsfootrack::base
{

// Returns the next of a sequence of uniformly distributed 64-bit numbers.
// Decision logic draws random numbers only from such a function.
using random_source = std::function<std::uint64_t()>;

// A deterministic source with the given seed.
random_source seeded_random(std::uint64_t seed);

// A source seeded by the operating system.
random_source system_random();

} // namespace coltsfootrack::base

#endif
