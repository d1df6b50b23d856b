#ifndef COLTSFOOTRACK_DAEMON_JOB_API_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_JOB_API_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/config/daemon_settings.hpp>
#include <coltsfootrack/daemon/job_record.hpp>
#include <coltsfootrack/daemon/metrics.hpp>
#include <coltsfootrack/daemon/published_state.hpp>
#include <coltsfootrack/daemon/store_session.hpp>
#include <coltsfootrack/http/request.hpp>
#include <coltsfootrack/http/response.hpp>

#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <string>

namespace coltsfootrack::daemon
{

// Serves the job endpoints. A submission is answered once the job is a row of
// the table; the owner of the zone is then notified and starts it.
//
// Thread safety: all functions may be called from any thread.
class job_api
{
public:
    // Notifies the owner of a zone that a job's row was written.
    using notify_function =
        std::function<void(const base::zone_id&, const base::job_id&)>;

    job_api(const config::daemon_settings& settings, const base::clock& clock,
            metrics& counters, published_state& published, store_session& store,
            notify_function notify);

    // POST /v1/jobs {"workload", "id", "tasks", "urgent"}; the last three may
    // be absent. Idempotent: the same id with the same content finds the first
    // job.
    http::response submit(const http::request& message);

    // GET /v1/jobs/<id>.
    http::response status(const std::string& id, const http::request& message);

    // DELETE /v1/jobs/<id>.
    http::response cancel(const std::string& id, const http::request& message);

    // The zone of a job that has not ended; for explain.
    absl::StatusOr<base::zone_id> zone_of(const std::string& id);

private:
    struct found_job
    {
        base::zone_id zone;
        store::version version = 0;
        job_record record;
        bool ended = false;
    };

    http::response refuse(const absl::Status& error);
    absl::StatusOr<job_record> read_submission(const http::request& message);
    absl::StatusOr<base::zone_id> choose_zone(const placement::job_spec& spec);
    // Answers a submission whose id exists already.
    http::response answer_repeated(const std::string& id,
                                   const job_record& record);
    absl::StatusOr<found_job> find(const std::string& id);
    absl::Status check_team(const base::team_id& team,
                            const http::request& message);

    const config::daemon_settings& settings_;
    const base::clock& clock_;
    metrics& metrics_;
    published_state& published_;
    store_session& store_;
    notify_function notify_;
};

} // namespace coltsfootrack::daemon

#endif
