#ifndef COLTSFOOTRACK_DAEMON_JOB_RECORD_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_JOB_RECORD_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/placement/job_spec.hpp>

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace coltsfootrack::daemon
{

// The content of a row job/<zone>/<id>, or done/<zone>/<id> once it has ended.
struct job_record
{
    placement::job_spec spec;
    // "waiting", "finished", "cancelled" or "failed".
    std::string state = "waiting";
    // Why the job failed.
    std::string detail;
    // May be set by any daemon; the owner then ends the job.
    bool cancelled = false;
    // The indexes of finished tasks.
    std::set<std::uint32_t> finished;

    bool ended() const
    {
        return state != "waiting";
    }
};

nlohmann::json to_json(const job_record& record);

// Reads a row; internal if it is malformed.
absl::StatusOr<job_record> job_record_from_json(const std::string& id,
                                                const nlohmann::json& value);

} // namespace coltsfootrack::daemon

#endif
