// Cancellations of jobs that are not stored, and may be later: a submission
// waits at a paused daemon, or the store carries it out late. Such a job is
// cancelled in the turn of the loop that adds it, so that it never starts.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/leadership.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "leader";

// The platform allows 100 entries in a transaction; one is the fence.
constexpr std::size_t rows_per_removal = 90;

} // namespace

// A row that cannot be parsed cancels nothing, and is removed like the others.
void leadership::note_early_cancel(const base::job_id& id,
                                   const stored_row& row)
{
    if (!row.exists())
    {
        const auto found = early_cancel_rows_.find(id);
        if (found != early_cancel_rows_.end())
        {
            found->second.erase(row.id);
            if (found->second.empty())
            {
                early_cancel_rows_.erase(found);
            }
        }
        return;
    }
    const auto right = decode_cancel_right(row.value);
    if (!right.ok())
    {
        base::log(base::log_level::error, log_part,
                  "Cancel row cannot be parsed. key={} error={}", row.id.key,
                  std::string(right.status().message()));
    }
    early_cancel_rows_[id].try_emplace(
        row.id,
        early_cancel{right.ok() ? *right : cancel_right(), clock_.now()});
    apply_early_cancels(id);
}

void leadership::apply_early_cancels(const base::job_id& id)
{
    const auto cancels = early_cancel_rows_.find(id);
    const auto job = fleet_.jobs().find(id);
    if (cancels == early_cancel_rows_.end() || job == fleet_.jobs().end() ||
        job->second.has_final_state())
    {
        return;
    }
    const bool cancelled = std::any_of(
        cancels->second.begin(), cancels->second.end(),
        [&](const auto& entry)
        { return entry.second.right.covers(job->second.submission); });
    if (!cancelled)
    {
        return;
    }
    metrics_.count_event("early_cancel_applied");
    base::log(
        base::log_level::info, log_part,
        "Job cancelled: its cancellation was stored first. job={} team={}",
        id.text(), job->second.submission.team.text());
    fleet_.cancel_job(id, clock_.now());
    request_round();
}

void leadership::remove_early_cancels()
{
    if (!loaded_ || lost_)
    {
        return;
    }
    std::vector<std::vector<row_id>> by_part(layout_.part_count());
    for (const auto& [id, cancels] : early_cancel_rows_)
    {
        std::vector<row_id>& rows = by_part[layout_.part_of(id)];
        for (const auto& [row, cancel] : cancels)
        {
            if (rows.size() < rows_per_removal &&
                clock_.now() - cancel.seen_at >=
                    options_.early_cancel_retention)
            {
                rows.push_back(row);
            }
        }
    }
    for (std::size_t part = 0; part < by_part.size(); ++part)
    {
        if (!by_part[part].empty() && !removing_[part])
        {
            remove_early_cancels(part, std::move(by_part[part]));
        }
    }
}

void leadership::remove_early_cancels(std::size_t part,
                                      std::vector<row_id> rows)
{
    const auto& fence = hooks_.committer(part).fence();
    if (!fence)
    {
        return;
    }
    transaction removal;
    removal.conditions.push_back(*fence);
    for (const row_id& row : rows)
    {
        removal.writes.push_back({row, std::nullopt});
    }
    removing_[part] = true;
    ports_.store.transact(
        removal,
        posted<transaction_result>(
            [this, part, rows](const transaction_result& result)
            {
                removing_[part] = false;
                if (result.status != transaction_status::committed)
                {
                    // Retried in the next period.
                    metrics_.count_event("removal_failed");
                    return;
                }
                base::log(base::log_level::info, log_part,
                          "Cancellations of unknown jobs removed. rows={} "
                          "part={}",
                          rows.size(), part);
                for (const row_id& row : rows)
                {
                    note_early_cancel(*row_layout::early_cancelled_job(row.key),
                                      {row, "", 0});
                }
            }));
}

} // namespace coltsfootrack::cell
