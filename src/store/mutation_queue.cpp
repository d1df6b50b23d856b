// Queues mutations and forms batches.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/store/mutation_queue.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace coltsfootrack::store
{
namespace
{

using base::error_kind;
using base::make_error;

// The rows that a batch requires and writes so far.
struct batch_keys
{
    absl::flat_hash_map<std::string, version> required;
    absl::flat_hash_set<std::string> written;

    bool admits(const mutation& change) const
    {
        for (const condition& each : change.conditions)
        {
            const auto found = required.find(each.key);
            if (written.contains(each.key) ||
                (found != required.end() && found->second != each.version))
            {
                return false;
            }
        }
        return std::none_of(change.writes.begin(), change.writes.end(),
                            [this](const write& each)
                            { return written.contains(each.key); });
    }

    void add(const mutation& change)
    {
        for (const condition& each : change.conditions)
        {
            required.emplace(each.key, each.version);
        }
        for (const write& each : change.writes)
        {
            written.insert(each.key);
        }
    }
};

template <class Items>
bool has_duplicate_key(const Items& items)
{
    absl::flat_hash_set<std::string> keys;
    return !std::all_of(items.begin(), items.end(),
                        [&keys](const auto& each)
                        { return keys.insert(each.key).second; });
}

} // namespace

mutation_queue::mutation_queue(const table_options& options)
    : options_(options)
{
}

absl::Status mutation_queue::push(entry added)
{
    absl::Status valid = validate(added.change);
    if (!valid.ok())
    {
        return valid;
    }
    added.bytes = added.change.size_bytes();
    if (entries_.size() >= options_.max_queued_mutations ||
        bytes_ + added.bytes > options_.max_queued_bytes)
    {
        return make_error(error_kind::overloaded,
                          "the queue of the commit stream is full");
    }
    bytes_ += added.bytes;
    entries_.push_back(std::move(added));
    return absl::OkStatus();
}

absl::Status mutation_queue::validate(const mutation& change) const
{
    if (change.conditions.empty() && change.writes.empty())
    {
        return make_error(error_kind::invalid_request, "empty mutation");
    }
    if (has_duplicate_key(change.conditions) ||
        has_duplicate_key(change.writes))
    {
        return make_error(error_kind::invalid_request,
                          "a key occurs twice in a mutation");
    }
    const std::string session = options_.session.key();
    const auto is_session = [&session](const auto& each)
    {
        return each.key == session;
    };
    if (std::any_of(change.conditions.begin(), change.conditions.end(),
                    is_session) ||
        std::any_of(change.writes.begin(), change.writes.end(), is_session))
    {
        return make_error(error_kind::invalid_request,
                          "a mutation names the daemon's session row");
    }
    if (change.writes.size() > options_.max_batch_writes ||
        change.size_bytes() > options_.max_batch_bytes)
    {
        return make_error(error_kind::invalid_request,
                          "a mutation is larger than a commit may be");
    }
    return absl::OkStatus();
}

std::vector<mutation_queue::entry> mutation_queue::take_batch(std::size_t limit)
{
    std::vector<entry> batch;
    batch_keys keys;
    std::size_t writes = 0;
    std::size_t bytes = 0;
    while (!entries_.empty() &&
           batch.size() < std::min(limit, options_.max_batch_mutations))
    {
        const mutation& change = entries_.front().change;
        const std::size_t size = entries_.front().bytes;
        if (writes + change.writes.size() > options_.max_batch_writes ||
            bytes + size > options_.max_batch_bytes || !keys.admits(change))
        {
            break;
        }
        writes += change.writes.size();
        bytes += size;
        bytes_ -= size;
        keys.add(change);
        batch.push_back(std::move(entries_.front()));
        entries_.pop_front();
    }
    return batch;
}

void mutation_queue::requeue(std::vector<entry> entries)
{
    for (auto each = entries.rbegin(); each != entries.rend(); ++each)
    {
        bytes_ += each->bytes;
        entries_.push_front(std::move(*each));
    }
}

std::vector<mutation_queue::entry>
mutation_queue::take_expired(base::time_point now)
{
    std::vector<entry> expired;
    while (!entries_.empty() && entries_.front().deadline <= now)
    {
        bytes_ -= entries_.front().bytes;
        expired.push_back(std::move(entries_.front()));
        entries_.pop_front();
    }
    return expired;
}

std::vector<mutation_queue::entry> mutation_queue::take_all()
{
    std::vector<entry> all(std::make_move_iterator(entries_.begin()),
                           std::make_move_iterator(entries_.end()));
    entries_.clear();
    bytes_ = 0;
    return all;
}

base::time_point mutation_queue::next_deadline() const
{
    return entries_.empty() ? base::time_point::max()
                            : entries_.front().deadline;
}

} // namespace coltsfootrack::store
