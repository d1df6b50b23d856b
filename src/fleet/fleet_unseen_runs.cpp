// Where tasks may be running of which this leader or the next one has no
// report. See "Where a task may still run" in
// docs/platform.md.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::fleet
{
namespace
{

// Workers that answer have reported to a new leader by then.
constexpr std::chrono::seconds first_reports_time{1};

} // namespace

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

// One line for the workers that inherited jobs wait for, if their number has
// changed, with what the first one's wait ends with.
void fleet::log_unseen_workers(base::time_point now)
{
    const bool inherits =
        std::any_of(open_jobs_.begin(), open_jobs_.end(),
                    [](const auto& entry) { return entry.second->inherited; });
    if (!inherits || now - leader_since_ < first_reports_time)
    {
        return;
    }
    std::size_t unseen = 0;
    const worker_record* first = nullptr;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.synced && !is_lost(worker))
        {
            ++unseen;
            first = first == nullptr ? &worker : first;
        }
    }
    if (unseen == std::exchange(unseen_workers_, unseen) || first == nullptr)
    {
        return;
    }
    base::log(base::log_level::info, "fleet",
              "Inherited jobs wait for workers that have not reported. "
              "workers={} first={} service={} answers={} lease_expired={} "
              "silence_confirmed={} listed={}",
              unseen, first->listing.worker.text(),
              first->listing.service.text(), !first->unresponsive,
              lease_expired(*first, now), first->silence_confirmed,
              first->listed);
}

bool fleet::is_idle(const base::worker_id& id) const
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return false;
    }
    const worker_record& worker = found->second;
    return worker.synced && worker.runs.empty() && worker.ends.empty() &&
           !worker.unknown_since && !worker.restart_seen_at;
}

void fleet::hold_starts(const base::worker_id& id, bool held)
{
    const auto found = workers_.find(id);
    if (found != workers_.end())
    {
        found->second.starts_held = held;
    }
}

} // namespace coltsfootrack::fleet
