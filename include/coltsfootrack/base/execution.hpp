#ifndef COLTSFOOTRACK_BASE_EXECUTION_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_EXECUTION_HPP_INCLUDED

namespace coltsfootrack::base
{

// What an error says about whether the requested work ran.
enum class execution
{
    // The work certainly did not run.
    did_not_run,
    // The work may or may not have run.
    unknown,
    // The work ran; the error concerns its result.
    ran
};

} // namespace coltsfootrack::base

#endif
