#ifndef COLTSFOOTRACK_CELL_CANCEL_RIGHT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CANCEL_RIGHT_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/jobs/job_submission.hpp>

#include <absl/status/statusor.h>
#include <string>
#include <tuple>

namespace coltsfootrack::cell
{

// The jobs that a caller may cancel: those of its team and, if it called over a
// queue that is open to all, those of that queue.
struct cancel_right
{
    // Empty for a caller without a key.
    base::team_id team;
    // Empty unless the call came over an open queue.
    std::string open_queue;

    bool covers(const jobs::job_submission& job) const
    {
        return (!team.empty() && job.team == team) ||
               (!open_queue.empty() && job.queue == open_queue);
    }

    // Whether it covers no job.
    bool empty() const
    {
        return team.empty() && open_queue.empty();
    }

    friend bool operator==(const cancel_right& a, const cancel_right& b)
    {
        return std::tie(a.team, a.open_queue) == std::tie(b.team, b.open_queue);
    }

    friend bool operator!=(const cancel_right& a, const cancel_right& b)
    {
        return !(a == b);
    }
};

// Returns the text of a stored row; the same for equal rights.
std::string encode(const cancel_right& value);

// Parses the text of a stored row; an internal error if it is malformed.
absl::StatusOr<cancel_right> decode_cancel_right(const std::string& text);

} // namespace coltsfootrack::cell

#endif
