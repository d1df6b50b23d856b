// Reads a table and its changes.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/table_follower.hpp>

#include <algorithm>
#include <exception>
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
                               page_budget budget,
                               std::chrono::milliseconds wait,
                               std::chrono::milliseconds pause, hooks callbacks)
    : loop_(loop)
    , store_(store)
    , table_(std::move(table))
    , parts_(std::move(parts))
    , wait_(wait)
    , pause_(pause)
    , hooks_(std::move(callbacks))
    , budget_(budget)
    , alive_(std::make_shared<bool>(true))
{
}

void table_follower::start()
{
    rows_.clear();
    version_asked_at_ = loop_.clock().now();
    table_reader::hooks callbacks;
    callbacks.on_answer = hooks_.on_answer;
    callbacks.on_rows =
        [this](std::size_t /*part*/, const std::vector<stored_row>& rows)
    {
        rows_.insert(rows_.end(), rows.begin(), rows.end());
    };
    callbacks.on_end = [this](std::uint64_t version)
    {
        on_read(version);
    };
    reader_ = std::make_unique<table_reader>(loop_, store_, table_, parts_,
                                             budget_, std::move(callbacks));
    reader_->start();
}

void table_follower::on_read(std::uint64_t version)
{
    if (reader_->failures() > 0 || reader_->pages() > 2 * parts_.size())
    {
        base::log(base::log_level::info, log_part,
                  "Table read. table={} rows={} pages={} failed_pages={}",
                  table_, reader_->rows(), reader_->pages(),
                  reader_->failures());
    }
    version_ = version;
    const std::vector<stored_row> rows = std::exchange(rows_, {});
    const std::weak_ptr<bool> alive = alive_;
    call_hook([&] { hooks_.on_snapshot(rows); });
    if (!alive.expired())
    {
        reader_.reset();
        follow();
    }
}

// What a hook throws must not end the following of the table.
void table_follower::call_hook(const std::function<void()>& hook) const
{
    // The hook may destroy this object.
    const std::string table = table_;
    try
    {
        hook();
    }
    catch (const std::exception& error)
    {
        base::log(base::log_level::error, log_part,
                  "Rows not applied. table={} error={}", table, error.what());
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

void table_follower::set_active(bool active)
{
    active_ = active;
    if (active_ && std::exchange(resting_, false))
    {
        failed_ = true;
        follow();
    }
}

void table_follower::skip_to(std::uint64_t version)
{
    version_ = std::max(version_, version);
}

void table_follower::follow()
{
    if (!active_)
    {
        resting_ = true;
        return;
    }
    // After a failure or a rest the read does not wait for a change, since it
    // would then take seconds to learn that the store is back.
    const auto wait = failed_ ? std::chrono::milliseconds(0) : wait_;
    asked_at_ = loop_.clock().now();
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
        version_asked_at_ = asked_at_;
        follow();
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    call_hook([&] { hooks_.on_changes(result.rows); });
    if (alive.expired())
    {
        return;
    }
    version_asked_at_ = asked_at_;
    if (pause_.count() > 0)
    {
        run_after(pause_, [this] { follow(); });
        return;
    }
    follow();
}

} // namespace coltsfootrack::cell
