// Group commit of rows of one part.

#include <coltsfootrack/cell/row_committer.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::cell
{

void row_committer::set_fence(std::optional<row_condition> fence)
{
    fence_ = std::move(fence);
}

bool row_committer::stuck(base::time_point now) const
{
    return !batch_.empty() && now - sent_at_ > refuse_after;
}

void row_committer::insert(const row_id& row, std::string value,
                           base::time_point now, base::time_point deadline,
                           callback done)
{
    if (waiting_.size() >= max_waiting || stuck(now) ||
        (last_attempt_failed_ && (!idle() || now < not_before_)))
    {
        done(write_status::refused);
        return;
    }
    entry added;
    added.row = row;
    added.value = std::move(value);
    added.is_insert = true;
    added.deadline = deadline;
    added.done.push_back(std::move(done));
    waiting_.push_back(std::move(added));
}

void row_committer::update(const row_id& row, std::string value, bool urgent,
                           base::time_point now, callback done)
{
    const base::time_point due = urgent ? now : now + group_delay;
    if (!fence_)
    {
        done(write_status::fenced);
        return;
    }
    for (entry& other : waiting_)
    {
        if (!other.is_insert && other.row == row)
        {
            other.value = std::move(value);
            other.due = std::min(other.due, due);
            other.done.push_back(std::move(done));
            return;
        }
    }
    entry added;
    added.row = row;
    added.value = std::move(value);
    added.due = due;
    added.done.push_back(std::move(done));
    waiting_.push_back(std::move(added));
}

void row_committer::set_version(const row_id& row, std::uint64_t version)
{
    versions_[row] = version;
}

void row_committer::finish(entry& ended, write_status status)
{
    for (const callback& done : ended.done)
    {
        done(status);
    }
}

std::optional<transaction> row_committer::next(base::time_point now)
{
    if (!batch_.empty())
    {
        if (stuck(now))
        {
            refuse_waiting();
        }
        return std::nullopt;
    }
    std::vector<entry> expired;
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (it->is_insert && it->deadline <= now)
        {
            expired.push_back(std::move(*it));
            it = waiting_.erase(it);
            continue;
        }
        ++it;
    }
    for (entry& late : expired)
    {
        finish(late, write_status::refused);
    }
    const bool any_due =
        std::any_of(waiting_.begin(), waiting_.end(),
                    [now](const entry& next) { return next.due <= now; });
    if (!any_due || now < not_before_)
    {
        return std::nullopt;
    }
    sent_at_ = now;
    transaction group;
    bool fenced = false;
    while (!waiting_.empty() && batch_.size() < max_batch)
    {
        entry first = std::move(waiting_.front());
        waiting_.pop_front();
        const auto known = versions_.find(first.row);
        const std::uint64_t version =
            first.is_insert || known == versions_.end() ? 0 : known->second;
        group.conditions.push_back({first.row, version});
        group.writes.push_back({first.row, first.value});
        fenced = fenced || !first.is_insert;
        batch_.push_back(std::move(first));
    }
    batch_fence_ = fenced ? fence_ : std::nullopt;
    if (fenced)
    {
        group.conditions.push_back(*batch_fence_);
    }
    return group;
}

// Puts an entry back to the front of the queue, or into a newer update of the
// same row: a transaction has one value of a row.
void row_committer::wait_again(entry next)
{
    if (next.dropped)
    {
        return;
    }
    const auto newer =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&next](const entry& other)
                     { return !other.is_insert && other.row == next.row; });
    if (next.is_insert || newer == waiting_.end())
    {
        waiting_.push_front(std::move(next));
        return;
    }
    newer->done.insert(newer->done.begin(), next.done.begin(), next.done.end());
}

// Refuses the inserts that were not sent.
void row_committer::refuse_waiting()
{
    std::vector<entry> ended;
    for (entry& next : waiting_)
    {
        if (next.is_insert)
        {
            ended.push_back(std::move(next));
        }
    }
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                  [](const entry& next)
                                  { return next.is_insert; }),
                   waiting_.end());
    for (entry& next : ended)
    {
        finish(next, write_status::refused);
    }
}

void row_committer::retry(std::vector<entry>& batch, base::time_point now,
                          bool uncertain)
{
    not_before_ = now + retry_pause;
    last_attempt_failed_ = true;
    std::vector<entry> tried;
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
    {
        if (it->is_insert)
        {
            tried.push_back(std::move(*it));
        }
        else
        {
            wait_again(std::move(*it));
        }
    }
    // Callers learn at once of a refusal, since nothing was done, and of an
    // answer that did not come, since they may ask elsewhere.
    for (entry& next : tried)
    {
        finish(next, uncertain ? write_status::unknown : write_status::refused);
    }
    refuse_waiting();
}

// Whether the entry is settled by the row as it is now; otherwise it is sent
// again.
bool row_committer::settle_conflict(entry& next, const stored_row* current)
{
    if (current == nullptr)
    {
        return false;
    }
    if (!next.is_insert)
    {
        // Under the fence nobody else writes here, so the row holds an earlier
        // attempt of this process, or was there before it.
        versions_[next.row] = current->version;
        return false;
    }
    if (!current->exists())
    {
        return false;
    }
    finish(next, current->value == next.value ? write_status::stored
                                              : write_status::exists);
    return true;
}

void row_committer::on_result(const transaction_result& result,
                              base::time_point now)
{
    std::vector<entry> batch = std::exchange(batch_, {});
    switch (result.status)
    {
    case transaction_status::committed:
        last_attempt_failed_ = false;
        for (entry& stored : batch)
        {
            if (!stored.is_insert && !stored.dropped)
            {
                versions_[stored.row] = result.version;
            }
        }
        for (entry& stored : batch)
        {
            finish(stored, write_status::stored);
        }
        return;
    case transaction_status::refused:
        retry(batch, now, false);
        return;
    case transaction_status::unknown:
        retry(batch, now, true);
        return;
    case transaction_status::conflict:
        last_attempt_failed_ = false;
        break;
    }
    const auto row_now = [&result](const row_id& id) -> const stored_row*
    {
        const auto found =
            std::find_if(result.current.begin(), result.current.end(),
                         [&id](const stored_row& row) { return row.id == id; });
        return found == result.current.end() ? nullptr : &*found;
    };
    bool fence_lost = false;
    if (batch_fence_)
    {
        const stored_row* fence = row_now(batch_fence_->row);
        fence_lost =
            fence != nullptr && fence->version != batch_fence_->version;
    }
    std::vector<entry> again;
    std::vector<entry> lost;
    for (entry& next : batch)
    {
        if (next.dropped)
        {
            continue;
        }
        if (!next.is_insert && fence_lost)
        {
            lost.push_back(std::move(next));
        }
        else if (!settle_conflict(next, row_now(next.row)))
        {
            again.push_back(std::move(next));
        }
    }
    for (auto it = again.rbegin(); it != again.rend(); ++it)
    {
        wait_again(std::move(*it));
    }
    for (entry& ended : lost)
    {
        finish(ended, write_status::fenced);
    }
}

void row_committer::drop_updates()
{
    const auto is_update = [](const entry& next)
    {
        return !next.is_insert;
    };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), is_update),
                   waiting_.end());
    for (entry& next : batch_)
    {
        if (!next.is_insert)
        {
            next.done.clear();
            next.dropped = true;
        }
    }
    versions_.clear();
    fence_.reset();
}

} // namespace coltsfootrack::cell
