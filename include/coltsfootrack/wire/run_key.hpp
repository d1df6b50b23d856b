#ifndef COLTSFOOTRACK_WIRE_RUN_KEY_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_RUN_KEY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <tuple>

namespace coltsfootrack::wire
{

// Identifies one run of a task in messages between daemons.
struct run_key
{
    base::job_id job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t task = 0;
    std::uint64_t run = 0;

    // All fields, in order.
    auto as_tuple() const
    {
        return std::tie(job, occurrence, step, task, run);
    }

    friend bool operator==(const run_key& a, const run_key& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const run_key& a, const run_key& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
