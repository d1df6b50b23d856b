#ifndef COLTSFOOTRACK_WIRE_REPORTED_END_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_REPORTED_END_HPP_INCLUDED

#include <coltsfootrack/wire/run_key.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace coltsfootrack::wire
{

// The end of a run as a worker reports it; see fleet::run_end.
struct reported_end
{
    std::uint64_t number = 0;
    run_key run;
    // A fleet::end_kind.
    std::uint8_t kind = 0;
    std::string checkpoint;

    friend bool operator==(const reported_end& a, const reported_end& b)
    {
        return std::tie(a.number, a.run, a.kind, a.checkpoint) ==
               std::tie(b.number, b.run, b.kind, b.checkpoint);
    }

    friend bool operator!=(const reported_end& a, const reported_end& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
