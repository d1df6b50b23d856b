// The rows that tell which daemons there are: a daemon writes its own, and the
// leader removes those of daemons that are gone for good.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/cell_daemon.hpp>
#include <coltsfootrack/cell/member_row.hpp>

#include <absl/strings/str_join.h>
#include <algorithm>
#include <set>
#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "cell";

// The pause before a failed write is retried.
constexpr std::chrono::milliseconds retry_pause{300};

} // namespace

void cell_daemon::register_member()
{
    wire::peer_address self;
    self.daemon = options_.daemon;
    self.zone = options_.zone;
    self.address = options_.advertised_address;
    self.port = options_.advertised_port;
    transaction write;
    write.writes.push_back(
        {layout_.daemon(options_.daemon), encode_member(self)});
    ports_.store.transact(
        write,
        [this](transaction_result result)
        {
            loop_.post(
                [this, status = result.status]
                {
                    if (status != transaction_status::committed)
                    {
                        loop_.after(retry_pause, [this] { register_member(); });
                        return;
                    }
                    registered_ = true;
                });
        });
}

// Any daemon that reaches the store can become the leader, and only the store
// or that daemon tells this one. So without the store, a single daemon that is
// not reached may lead; how many others are reached proves nothing. A daemon
// that is reached but not connected is not running, or has just been started
// and has read nothing from the store.
void cell_daemon::detect_isolation()
{
    std::vector<std::string> missing;
    if (clock_.now() - store_answered_at_ > options_.isolated_after)
    {
        missing = members_not_reached();
    }
    const bool isolated = !missing.empty();
    if (isolated == isolated_)
    {
        return;
    }
    isolated_ = isolated;
    if (!isolated)
    {
        base::log(base::log_level::info, log_part,
                  "The store or all daemons are reachable again.");
        return;
    }
    metrics_.count_event("isolated");
    base::log(base::log_level::warning, log_part,
              "Neither the store nor all daemons are reachable; another one "
              "may lead. leading={} members={} not_reached={}",
              leadership_ != nullptr, members_.size(),
              absl::StrJoin(missing, ","));
    if (leadership_)
    {
        leadership_->on_isolated();
    }
}

std::vector<std::string> cell_daemon::members_not_reached() const
{
    const std::vector<base::daemon_id> list =
        peers_.reached(options_.isolated_after);
    const std::set<base::daemon_id> reached(list.begin(), list.end());
    std::vector<std::string> missing;
    for (const auto& [id, address] : members_)
    {
        if (id != options_.daemon && reached.count(id) == 0)
        {
            missing.push_back(id.text());
        }
    }
    return missing;
}

// A daemon that is gone for good would make the leader count as isolated in
// each outage of the store. One that is only cut off, from the leader but not
// from the store, writes its row again.
void cell_daemon::remove_absent_member()
{
    const base::time_point now = clock_.now();
    const base::time_point checked = std::exchange(members_checked_at_, now);
    const bool leads = leadership_ && leadership_->loaded();
    if (!leads || !store_up_ ||
        now - checked > 2 * options_.member_check_period)
    {
        // Absence counts only while it is observed.
        member_reached_at_.clear();
        return;
    }
    const std::vector<std::string> missing = members_not_reached();
    for (const auto& [id, address] : members_)
    {
        const bool absent = std::find(missing.begin(), missing.end(),
                                      id.text()) != missing.end();
        const auto reached = member_reached_at_.try_emplace(id, now).first;
        if (!absent)
        {
            reached->second = now;
        }
        else if (now - reached->second > options_.member_retention)
        {
            // One at a time.
            reached->second = now;
            remove_member(id);
            return;
        }
    }
}

void cell_daemon::remove_member(const base::daemon_id& id)
{
    const auto version = member_versions_.find(id);
    if (version == member_versions_.end())
    {
        return;
    }
    base::log(base::log_level::warning, log_part,
              "Removing the row of a daemon that is not reached. daemon={} "
              "seconds={}",
              id.text(), options_.member_retention.count());
    metrics_.count_event("member_removed");
    transaction removal;
    // Not if this daemon has been replaced or that one has started again.
    removal.conditions.push_back({layout_.leader(), election_.row()->version});
    removal.conditions.push_back({layout_.daemon(id), version->second});
    removal.writes.push_back({layout_.daemon(id), std::nullopt});
    ports_.store.transact(
        removal,
        [this](transaction_result result)
        {
            loop_.post(
                [this, status = result.status]
                {
                    const bool answered =
                        status == transaction_status::committed ||
                        status == transaction_status::conflict;
                    record_store_result(answered, election_.store_delay());
                });
        });
}

} // namespace coltsfootrack::cell
