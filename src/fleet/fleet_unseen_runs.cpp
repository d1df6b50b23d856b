// Where tasks of inherited jobs may be running on workers that have not
// reported to this leader. See "Where a task may still run" in
// docs/platform.md.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{

// Whether tasks of a step may be running on a worker that has not reported to
// this leader. A former leader may have started them under another catalogue,
// so this asks for each service that the job has had. A standing task has no
// end that may wait at a worker to be read, so it waits for leases only.
bool fleet::may_run_unseen(const job_record& job,
                           const jobs::step_spec& spec) const
{
    if (!job.inherited)
    {
        return false;
    }
    return !list_complete_ ||
           std::any_of(rounds_.begin(), rounds_.end(),
                       [&](const auto& entry)
                       {
                           const auto& [service, round] = entry;
                           const bool unseen = spec.standing
                                                   ? round.lease_possible
                                                   : round.runs_unknown;
                           return unseen && job.services.contains(service);
                       });
}

// Whether the stored rows of a job name the service of its queue, so that the
// next leader looks for its runs there. If not, the next round stores it.
bool fleet::is_service_stored(job_record& job)
{
    if (job.services.add(job.queue->service))
    {
        mark_changed(job);
        job.services_change = job.change;
    }
    return job.change_saved >= job.services_change;
}

// One line for the jobs of a round that wait because their queue has moved, if
// their number has changed.
void fleet::log_moving_jobs(const std::vector<const job_record*>& moving)
{
    if (moving.size() == moving_jobs_)
    {
        return;
    }
    moving_jobs_ = moving.size();
    if (moving.empty())
    {
        return;
    }
    base::log(base::log_level::info, "fleet",
              "Jobs wait until the new service of their queue is stored. "
              "jobs={} first={} service={}",
              moving.size(), moving.front()->id.text(),
              moving.front()->queue->service.text());
}

} // namespace coltsfootrack::fleet
