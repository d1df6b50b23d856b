#ifndef COLTSFOOTRACK_WIRE_REPORTED_RUN_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_REPORTED_RUN_HPP_INCLUDED

#include <coltsfootrack/wire/run_key.hpp>

#include <string>
#include <tuple>

namespace coltsfootrack::wire
{

// A run that a worker reports as running; see fleet::listed_run.
struct reported_run
{
    run_key run;
    std::string checkpoint;
    std::int32_t percent = 0;
    double load = 0;

    friend bool operator==(const reported_run& a, const reported_run& b)
    {
        return std::tie(a.run, a.checkpoint, a.percent, a.load) ==
               std::tie(b.run, b.checkpoint, b.percent, b.load);
    }

    friend bool operator!=(const reported_run& a, const reported_run& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
