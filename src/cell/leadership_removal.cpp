// Removes final jobs and their rows after the retention time.

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
                }
            }));
}

} // namespace coltsfootrack::cell
