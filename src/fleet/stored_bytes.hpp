#ifndef COLTSFOOTRACK_FLEET_STORED_BYTES_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_STORED_BYTES_HPP_INCLUDED

#include <coltsfootrack/jobs/step_progress.hpp>

#include <cstddef>
#include <cstdint>

namespace coltsfootrack::fleet
{

// About how many bytes the failures of one task take in the stored progress: an
// entry [9999,[]], and the numbers of each range of runs, with commas.
constexpr std::size_t failure_entry_bytes = 10;
constexpr std::size_t failure_range_bytes = 16;

inline std::size_t stored_bytes(const jobs::failed_runs& runs)
{
    std::size_t bytes = runs.empty() ? 0 : failure_entry_bytes;
    for (const std::uint64_t run : runs)
    {
        bytes += runs.count(run - 1) == 0 ? failure_range_bytes : 0;
    }
    return bytes;
}

} // namespace coltsfootrack::fleet

#endif
