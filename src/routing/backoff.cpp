// Computes the pauses without overflow for any number of retries.

#include <coltsfootrack/routing/backoff.hpp>

#include <algorithm>

namespace coltsfootrack::routing
{

backoff::backoff(base::duration first, base::duration cap)
    : first_(std::max(first, base::duration(1)))
    , cap_(std::max(cap, first_))
{
}

base::duration backoff::next(std::uint32_t n,
                             const base::random_source& random) const
{
    base::duration pause = first_;
    for (std::uint32_t i = 0; i < n && pause < cap_; ++i)
    {
        // Cannot overflow: a pause above half of the cap becomes the cap.
        pause = pause > cap_ / 2 ? cap_ : pause * 2;
    }
    const base::duration half = pause / 2;
    const auto range = static_cast<std::uint64_t>((pause - half).count()) + 1;
    return half + base::duration(static_cast<std::int64_t>(random() % range));
}

} // namespace coltsfootrack::routing
