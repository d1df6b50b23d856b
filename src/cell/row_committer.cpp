// Group commit of the rows of one part.

#include <coltsfootrack/cell/row_committer.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::cell
{

void row_committer::set_fence(std::optional<row_condition> fence)
{
    fence_ = std::move(fence);
}

bool row_committer::batch_overdue(base::time_point now) const
{
    return !batch_.empty() && now - sent_at_ > refuse_after;
}

void row_committer::insert(const row_id& row, std::string value,
                           base::time_point now, base::time_point deadline,
                           callback done, std::optional<row_id> blocked_by)
{
    if (queue_.size() >= max_waiting || batch_overdue(now) ||
        (last_attempt_failed_ && (!idle() || now < retry_at_)))
    {
        done(write_status::refused);
        return;
    }
    pending_write added;
    added.row = row;
    added.value = std::move(value);
    added.is_insert = true;
    added.blocked_by = std::move(blocked_by);
    added.deadline = deadline;
    added.done.push_back(std::move(done));
    queue_.push_back(std::move(added));
}

void row_committer::update(const row_id& row, std::string value, bool urgent,
                           base::time_point now, callback done)
{
    const base::time_point due = urgent ? now : now + group_delay_;
    if (!fence_)
    {
        done(write_status::fenced);
        return;
    }
    for (pending_write& other : queue_)
    {
        if (!other.is_insert && other.row == row)
        {
            other.value = std::move(value);
            other.due = std::min(other.due, due);
            other.done.push_back(std::move(done));
            return;
        }
    }
    pending_write added;
    added.row = row;
    added.value = std::move(value);
    added.due = due;
    added.done.push_back(std::move(done));
    queue_.push_back(std::move(added));
}

void row_committer::set_version(const row_id& row, std::uint64_t version)
{
    versions_[row] = version;
}

void row_committer::complete(pending_write& ended, write_status status)
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
        if (batch_overdue(now))
        {
            refuse_queued_inserts();
        }
        return std::nullopt;
    }
    std::vector<pending_write> expired;
    for (auto it = queue_.begin(); it != queue_.end();)
    {
        if (it->is_insert && it->deadline <= now)
        {
            expired.push_back(std::move(*it));
            it = queue_.erase(it);
            continue;
        }
        ++it;
    }
    for (pending_write& late : expired)
    {
        complete(late, write_status::refused);
    }
    const bool any_due = std::any_of(queue_.begin(), queue_.end(),
                                     [now](const pending_write& write)
                                     { return write.due <= now; });
    if (!any_due || now < retry_at_)
    {
        return std::nullopt;
    }
    sent_at_ = now;
    transaction group;
    bool fenced = false;
    const std::size_t most = single_writes_ > 0 ? 1 : max_batch;
    single_writes_ -= single_writes_ > 0 ? 1 : 0;
    std::size_t bytes = 0;
    // The fence takes one.
    std::size_t entries = 1;
    while (!queue_.empty() && batch_.size() < most)
    {
        bytes += queue_.front().value.size();
        // The condition and the new value of the row, and the blocking row.
        entries += queue_.front().blocked_by ? 3 : 2;
        if (!batch_.empty() &&
            (bytes > max_batch_bytes || entries > max_entries))
        {
            break;
        }
        pending_write first = std::move(queue_.front());
        queue_.pop_front();
        const auto known = versions_.find(first.row);
        const std::uint64_t version =
            first.is_insert || known == versions_.end() ? 0 : known->second;
        group.conditions.push_back({first.row, version});
        group.writes.push_back({first.row, first.value});
        if (first.blocked_by)
        {
            group.conditions.push_back({*first.blocked_by, 0});
        }
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

// Puts a write back at the front of the queue. If there is a newer update of
// the same row it is merged into that, since a transaction has one value of a
// row.
void row_committer::requeue(pending_write write)
{
    if (write.dropped)
    {
        return;
    }
    const auto newer =
        std::find_if(queue_.begin(), queue_.end(),
                     [&write](const pending_write& other)
                     { return !other.is_insert && other.row == write.row; });
    if (write.is_insert || newer == queue_.end())
    {
        queue_.push_front(std::move(write));
        return;
    }
    newer->done.insert(newer->done.begin(), write.done.begin(),
                       write.done.end());
}

// Refuses the inserts that were not sent yet.
void row_committer::refuse_queued_inserts()
{
    std::vector<pending_write> ended;
    for (pending_write& write : queue_)
    {
        if (write.is_insert)
        {
            ended.push_back(std::move(write));
        }
    }
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(),
                                [](const pending_write& write)
                                { return write.is_insert; }),
                 queue_.end());
    for (pending_write& write : ended)
    {
        complete(write, write_status::refused);
    }
}

void row_committer::handle_failure(std::vector<pending_write>& batch,
                                   base::time_point now, bool uncertain)
{
    retry_at_ = now + retry_pause;
    last_attempt_failed_ = true;
    std::vector<pending_write> tried;
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
    {
        if (it->is_insert)
        {
            tried.push_back(std::move(*it));
        }
        else
        {
            requeue(std::move(*it));
        }
    }
    // Inserts are not retried here: after a refusal nothing was written, and
    // after a missing answer the caller may retry elsewhere.
    for (pending_write& write : tried)
    {
        complete(write,
                 uncertain ? write_status::unknown : write_status::refused);
    }
    refuse_queued_inserts();
}

void row_committer::handle_rejection(std::vector<pending_write>& batch,
                                     base::time_point now)
{
    last_attempt_failed_ = false;
    if (batch.size() == 1)
    {
        complete(batch.front(), write_status::rejected);
        return;
    }
    single_writes_ = batch.size();
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
    {
        it->due = now;
        requeue(std::move(*it));
    }
}

// Completes the write if the current row decides its result. Returns false if
// it has to be sent again.
bool row_committer::resolve_conflict(pending_write& write,
                                     const stored_row* current,
                                     const stored_row* blocking)
{
    if (current == nullptr)
    {
        return false;
    }
    if (!write.is_insert)
    {
        // Nobody else writes here under the fence, so the row is from an
        // earlier attempt of this process, or from before this leader.
        versions_[write.row] = current->version;
        return false;
    }
    if (!current->exists())
    {
        const bool blocked = blocking != nullptr && blocking->exists();
        if (blocked)
        {
            complete(write, write_status::blocked);
        }
        return blocked;
    }
    complete(write, current->value == write.value ? write_status::stored
                                                  : write_status::exists);
    return true;
}

void row_committer::on_result(const transaction_result& result,
                              base::time_point now)
{
    std::vector<pending_write> batch = std::exchange(batch_, {});
    switch (result.status)
    {
    case transaction_status::committed:
        last_attempt_failed_ = false;
        for (pending_write& stored : batch)
        {
            if (!stored.is_insert && !stored.dropped)
            {
                versions_[stored.row] = result.version;
            }
        }
        for (pending_write& stored : batch)
        {
            complete(stored, write_status::stored);
        }
        return;
    case transaction_status::refused:
        handle_failure(batch, now, false);
        return;
    case transaction_status::rejected:
        handle_rejection(batch, now);
        return;
    case transaction_status::unknown:
        handle_failure(batch, now, true);
        return;
    case transaction_status::conflict:
        last_attempt_failed_ = false;
        break;
    }
    const auto current_row = [&result](const row_id& id) -> const stored_row*
    {
        const auto found =
            std::find_if(result.current.begin(), result.current.end(),
                         [&id](const stored_row& row) { return row.id == id; });
        return found == result.current.end() ? nullptr : &*found;
    };
    bool fence_lost = false;
    if (batch_fence_)
    {
        const stored_row* fence = current_row(batch_fence_->row);
        fence_lost =
            fence != nullptr && fence->version != batch_fence_->version;
    }
    std::vector<pending_write> again;
    std::vector<pending_write> lost;
    for (pending_write& write : batch)
    {
        if (write.dropped)
        {
            continue;
        }
        if (!write.is_insert && fence_lost)
        {
            lost.push_back(std::move(write));
        }
        else if (!resolve_conflict(write, current_row(write.row),
                                   write.blocked_by
                                       ? current_row(*write.blocked_by)
                                       : nullptr))
        {
            again.push_back(std::move(write));
        }
    }
    for (auto it = again.rbegin(); it != again.rend(); ++it)
    {
        requeue(std::move(*it));
    }
    for (pending_write& ended : lost)
    {
        complete(ended, write_status::fenced);
    }
}

void row_committer::drop_updates()
{
    const auto is_update = [](const pending_write& write)
    {
        return !write.is_insert;
    };
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(), is_update),
                 queue_.end());
    for (pending_write& write : batch_)
    {
        if (!write.is_insert)
        {
            write.done.clear();
            write.dropped = true;
        }
    }
    versions_.clear();
    fence_.reset();
}

} // namespace coltsfootrack::cell
