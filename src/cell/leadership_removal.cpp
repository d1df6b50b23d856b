// Empties the rows of final jobs, and removes them after the retention time.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/leadership.hpp>

#include <utility>

namespace coltsfootrack::cell
{
namespace
{

// Each job has three rows, and there is the fence; the platform allows 100
// entries in a transaction.
constexpr std::size_t jobs_per_removal = 30;

} // namespace

// A successor needs only the state of a final job. Its row stays, so that the
// same submission is not accepted again, but its text would be most of what a
// takeover reads.
void leadership::empty_final_job(const base::job_id& id)
{
    const auto version = job_versions_.find(id);
    if (version == job_versions_.end())
    {
        return;
    }
    const std::size_t part = layout_.part_of(id);
    const row_id row = layout_.job(id);
    hooks_.committer(part).set_version(row, version->second);
    job_versions_.erase(version);
    hooks_.committer(part).update(row, "", false, clock_.now(),
                                  [this, alive = std::weak_ptr<bool>(alive_),
                                   part, row](write_status /*status*/)
                                  {
                                      if (!alive.expired())
                                      {
                                          hooks_.committer(part).forget_version(
                                              row);
                                      }
                                  });
}

void leadership::remove_final_jobs()
{
    if (!loaded_ || lost_)
    {
        return;
    }
    std::vector<std::vector<base::job_id>> by_part(layout_.part_count());
    for (const base::job_id& id :
         fleet_.finished_before(clock_.now() - options_.final_job_retention,
                                options_.removal_batch))
    {
        auto& ids = by_part[layout_.part_of(id)];
        if (ids.size() < jobs_per_removal)
        {
            ids.push_back(id);
        }
    }
    for (std::size_t part = 0; part < by_part.size(); ++part)
    {
        if (!by_part[part].empty() && !removing_[part])
        {
            remove_rows(part, std::move(by_part[part]));
        }
    }
}

void leadership::remove_rows(std::size_t part, std::vector<base::job_id> ids)
{
    const auto& fence = hooks_.committer(part).fence();
    if (!fence)
    {
        return;
    }
    transaction removal;
    removal.conditions.push_back(*fence);
    for (const base::job_id& id : ids)
    {
        // Removed in one transaction: a cancellation or progress row has no
        // meaning without the submission.
        removal.writes.push_back({layout_.progress(id), std::nullopt});
        removal.writes.push_back({layout_.cancel(id), std::nullopt});
        removal.writes.push_back({layout_.job(id), std::nullopt});
    }
    removing_[part] = true;
    ports_.store.transact(
        removal,
        posted<transaction_result>(
            [this, part, ids](const transaction_result& result)
            {
                removing_[part] = false;
                if (result.status != transaction_status::committed)
                {
                    // Retried in the next period.
                    metrics_.count_event("removal_failed");
                    return;
                }
                base::log(base::log_level::info, "leader",
                          "Final jobs removed. jobs={} part={}", ids.size(),
                          part);
                for (const base::job_id& id : ids)
                {
                    hooks_.committer(part).forget_version(layout_.progress(id));
                    fleet_.forget_job(id);
                    job_versions_.erase(id);
                }
            }));
}

} // namespace coltsfootrack::cell
