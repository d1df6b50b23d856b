// The model of the platform's store.

#include "store_model.hpp"

#include <algorithm>
#include <utility>

namespace coltsfootrack::simulation
{
namespace
{

// What a daemon waits for an answer, and the longest until a call without an
// answer is applied.
constexpr milliseconds write_timeout{2300};
constexpr milliseconds read_timeout{900};
constexpr milliseconds longest_late{6000};

// Wraps a callback so that it does nothing once its daemon has ended.
template <class Result>
std::function<void(Result)> while_alive(std::weak_ptr<bool> alive,
                                        std::function<void(Result)> done)
{
    return [alive = std::move(alive), done = std::move(done)](Result result)
    {
        if (!alive.expired())
        {
            done(std::move(result));
        }
    };
}

} // namespace

milliseconds store_model::delay()
{
    return milliseconds(time_.between(1, 6)) + slowness;
}

template <class Result>
void store_model::answer(const std::string& daemon,
                         std::function<Result()> execute,
                         std::function<void(Result)> done, milliseconds timeout)
{
    const bool lost = time_.chance(lost_percent);
    const bool late = lost && time_.chance(late_percent);
    const bool applied = !lost || late || time_.chance(50);
    const milliseconds way =
        late ? time_.between(milliseconds(100), longest_late) : delay();
    const milliseconds back = delay();
    time_.after(way,
                [this, daemon, execute, done, lost, applied, back]
                {
                    if (refuses(daemon))
                    {
                        if (!lost)
                        {
                            time_.after(back, [done] { done(Result()); });
                        }
                        return;
                    }
                    if (!applied)
                    {
                        return;
                    }
                    const Result result = execute();
                    if (!lost)
                    {
                        time_.after(back, [done, result] { done(result); });
                    }
                });
    if (lost)
    {
        time_.after(timeout, [done] { done(Result()); });
    }
}

cell::store_port store_model::port(const std::string& daemon,
                                   std::weak_ptr<bool> alive)
{
    cell::store_port made;
    made.transact =
        [this, daemon, alive](const cell::transaction& value, const auto& done)
    {
        answer<cell::transaction_result>(
            daemon, [this, value] { return apply(value); },
            while_alive<cell::transaction_result>(alive, done), write_timeout);
    };
    made.read = [this, daemon, alive](const std::string& table,
                                      const std::string& part,
                                      const std::string& from,
                                      std::size_t limit, const auto& done)
    {
        answer<cell::read_result>(
            daemon,
            [this, table, part, from, limit]
            { return page(table, part, from, limit); },
            while_alive<cell::read_result>(alive, done), read_timeout);
    };
    made.read_row =
        [this, daemon, alive](const cell::row_id& id, const auto& done)
    {
        answer<cell::read_result>(
            daemon,
            [this, id]
            {
                cell::read_result result;
                result.status = cell::read_status::ok;
                result.version = rows_.version();
                if (const auto row = rows_.read(id); row.exists())
                {
                    result.rows.push_back(row);
                }
                return result;
            },
            while_alive<cell::read_result>(alive, done), read_timeout);
    };
    made.follow = [this, daemon, alive](const std::string& table,
                                        std::uint64_t after, milliseconds wait,
                                        const auto& callback)
    {
        const auto done = while_alive<cell::read_result>(alive, callback);
        const std::uint64_t number = next_waiter_++;
        const auto respond = [this, daemon, done](cell::read_result result)
        {
            if (refuses(daemon))
            {
                result = cell::read_result();
            }
            time_.after(delay(), [done, result] { done(result); });
        };
        time_.after(delay(),
                    [this, table, after, wait, number, respond]
                    {
                        waiters_[number] = {table, after, respond};
                        notify();
                        time_.after(wait,
                                    [this, number]
                                    {
                                        const auto found =
                                            waiters_.find(number);
                                        if (found != waiters_.end())
                                        {
                                            const waiter ended = found->second;
                                            waiters_.erase(found);
                                            ended.done(changes(ended.table,
                                                               ended.after));
                                        }
                                    });
                    });
    };
    return made;
}

cell::transaction_result store_model::apply(const cell::transaction& value)
{
    std::vector<cell::row_id> existing;
    for (const cell::row_write& write : value.writes)
    {
        if (!write.value && rows_.read(write.row).exists())
        {
            existing.push_back(write.row);
        }
    }
    cell::transaction_result result = rows_.apply(value);
    if (result.status == cell::transaction_status::committed)
    {
        for (const cell::row_id& id : existing)
        {
            removed_[id] = result.version;
        }
        for (const cell::row_write& write : value.writes)
        {
            if (write.value)
            {
                removed_.erase(write.row);
            }
        }
        notify();
    }
    return result;
}

void store_model::put(const cell::row_id& id, const std::string& value)
{
    cell::transaction write;
    write.writes.push_back({id, value});
    apply(write);
}

void store_model::remove(const cell::row_id& id)
{
    cell::transaction write;
    write.writes.push_back({id, std::nullopt});
    apply(write);
}

void store_model::notify()
{
    for (auto it = waiters_.begin(); it != waiters_.end();)
    {
        cell::read_result result = changes(it->second.table, it->second.after);
        if (result.rows.empty())
        {
            ++it;
            continue;
        }
        it->second.done(std::move(result));
        it = waiters_.erase(it);
    }
}

cell::read_result store_model::changes(const std::string& table,
                                       std::uint64_t after) const
{
    cell::read_result result;
    result.status = cell::read_status::ok;
    result.version = rows_.version();
    std::map<std::uint64_t, std::vector<cell::stored_row>> by_version;
    for (const auto& [id, row] : rows_.rows())
    {
        if (id.table == table && row.version > after)
        {
            by_version[row.version].push_back(row);
        }
    }
    for (const auto& [id, version] : removed_)
    {
        if (id.table == table && version > after)
        {
            by_version[version].push_back({id, "", 0});
        }
    }
    for (const auto& [version, rows] : by_version)
    {
        result.rows.insert(result.rows.end(), rows.begin(), rows.end());
    }
    return result;
}

cell::read_result store_model::page(const std::string& table,
                                    const std::string& part,
                                    const std::string& from,
                                    std::size_t limit) const
{
    cell::read_result result;
    result.status = cell::read_status::ok;
    result.version = rows_.version();
    for (auto it = rows_.rows().lower_bound({table, part, from});
         it != rows_.rows().end() && it->first.table == table &&
         it->first.part == part;
         ++it)
    {
        if (result.rows.size() == limit)
        {
            result.more = true;
            break;
        }
        result.rows.push_back(it->second);
    }
    return result;
}

} // namespace coltsfootrack::simulation
