#ifndef COLTSFOOTRACK_ROUTING_BACKOFF_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_BACKOFF_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/random_source.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::routing
{

// Exponential backoff with a cap and jitter, so that requests that failed
// together are not retried together.
//
// Thread safety: immutable; next may be called from any thread if the random
// source may.
class backoff
{
public:
    // The cap must not be below the first pause.
    explicit backoff(base::duration first = std::chrono::milliseconds(5),
                     base::duration cap = std::chrono::milliseconds(500));

    // The pause before retry n, counted from 0: uniform between half of
    // min(first * 2^n, cap) and all of it.
    base::duration next(std::uint32_t n,
                        const base::random_source& random) const;

private:
    base::duration first_;
    base::duration cap_;
};

} // namespace coltsfootrack::routing

#endif
