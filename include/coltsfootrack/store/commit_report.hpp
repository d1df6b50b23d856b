#ifndef COLTSFOOTRACK_STORE_COMMIT_REPORT_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_COMMIT_REPORT_HPP_INCLUDED

#include <coltsfootrack/store/commit_outcome.hpp>

#include <cstdint>

namespace coltsfootrack::store
{

// The outcome of one submitted mutation.
struct commit_report
{
    // The number under which the mutation was submitted.
    std::uint64_t id = 0;
    commit_outcome outcome;
};

} // namespace coltsfootrack::store

#endif
