// Reads a table and its changes.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/table_follower.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "store";

// The pause after a failed read.
constexpr std::chrono::milliseconds retry_pause{100};

} // namespace

table_follower::table_follower(daemon::control_loop& loop,
                               const store_port& store, std::string table,
                               std::vector<std::string> parts,
                               std::chrono::milliseconds wait,
                               std::chrono::milliseconds pause, hooks callbacks)
    : loop_(loop)
    , store_(store)
    , table_(std::move(table))
    , parts_(std::move(parts))
    , wait_(wait)
    , pause_(pause)
    , hooks_(std::move(callbacks))
    , alive_(std::make_shared<bool>(true))
{
}

void table_follower::start()
{
    rows_.clear();
    version_ = 0;
    unread_parts_ = parts_.size();
    ++read_id_;
    // In parallel: one after another, many parts would take seconds from a
    // region far from the store.
    for (std::size_t part = 0; part < parts_.size(); ++part)
    {
        read_part(part, "");
    }
}

void table_follower::run_after(std::chrono::milliseconds pause,
                               std::function<void()> action)
{
    loop_.after(
        pause,
        [alive = std::weak_ptr<bool>(alive_), action = std::move(action)]
        {
            if (!alive.expired())
            {
                action();
            }
        });
}

void table_follower::read_part(std::size_t part, const std::string& from)
{
    store_.read(table_, parts_[part], from,
                [this, part, read_id = read_id_,
                 alive = std::weak_ptr<bool>(alive_),
                 &loop = loop_](read_result result)
                {
                    loop.post(
                        [this, part, read_id, alive, result = std::move(result)]
                        {
                            if (!alive.expired() && read_id == read_id_)
                            {
                                on_page(part, result);
                            }
                        });
                });
}

void table_follower::on_page(std::size_t part, const read_result& result)
{
    hooks_.on_answer(result.status == read_status::ok);
    if (result.status != read_status::ok)
    {
        // Discards the pending answers for the other parts.
        ++read_id_;
        run_after(retry_pause, [this] { start(); });
        return;
    }
    rows_.insert(rows_.end(), result.rows.begin(), result.rows.end());
    // Follows from the oldest page on, so that no change during the read is
    // missed.
    version_ =
        version_ == 0 ? result.version : std::min(version_, result.version);
    if (result.more && !result.rows.empty())
    {
        // Keys have no control characters, so this is the next possible key.
        read_part(part, result.rows.back().id.key + ' ');
        return;
    }
    if (--unread_parts_ > 0)
    {
        return;
    }
    const std::vector<stored_row> rows = std::exchange(rows_, {});
    const std::weak_ptr<bool> alive = alive_;
    hooks_.on_snapshot(rows);
    if (!alive.expired())
    {
        follow();
    }
}

void table_follower::follow()
{
    // After a failure the read does not wait for a change, since it would then
    // take seconds to learn that the store is back.
    const auto wait = failed_ ? std::chrono::milliseconds(0) : wait_;
    store_.follow(table_, version_, wait,
                  [this, alive = std::weak_ptr<bool>(alive_),
                   &loop = loop_](read_result result)
                  {
                      loop.post(
                          [this, alive, result = std::move(result)]
                          {
                              if (!alive.expired())
                              {
                                  on_changes_read(result);
                              }
                          });
                  });
}

void table_follower::on_changes_read(const read_result& result)
{
    failed_ = result.status == read_status::failed;
    hooks_.on_answer(!failed_);
    if (result.status == read_status::history_gone)
    {
        base::log(base::log_level::info, log_part,
                  "Changes are no longer kept, reading the whole table again. "
                  "table={} after={}",
                  table_, version_);
        start();
        return;
    }
    if (result.status == read_status::failed)
    {
        run_after(retry_pause, [this] { follow(); });
        return;
    }
    version_ = std::max(version_, result.version);
    if (result.rows.empty())
    {
        follow();
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    hooks_.on_changes(result.rows);
    if (alive.expired())
    {
        return;
    }
    if (pause_.count() > 0)
    {
        run_after(pause_, [this] { follow(); });
        return;
    }
    follow();
}

} // namespace coltsfootrack::cell
