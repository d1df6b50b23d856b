// Plans the commits that change the ownership of a zone.

#include <coltsfootrack/coordination/zone_ownership.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::coordination
{

bool zone_ownership::session_ended(const base::daemon_id& daemon,
                                   const std::string& incarnation,
                                   base::time_point now) const
{
    const auto found = sessions_.find(daemon);
    if (found == sessions_.end())
    {
        return false;
    }
    const session_watch& watch = found->second;
    // Once another incarnation has written the row, `incarnation` can no longer
    // renew its lease. Times count from the arrival of the read: the commit it
    // shows may have been sent just before the table answered.
    const base::time_point since = watch.seen.row.incarnation == incarnation
                                       ? watch.since
                                       : watch.incarnation_since;
    return now - since >= periods_.takeover_wait;
}

bool zone_ownership::may_take_over(base::time_point now) const
{
    if (shutting_down_ || !observed_recently(now) ||
        now - started_ < periods_.takeover_wait)
    {
        return false;
    }
    if (row_version_ == 0 || row_.is_released())
    {
        // The zone has no owner. A promise to the previous owner ended when it
        // released the row.
        return true;
    }
    if (promised_until_ && now < *promised_until_)
    {
        return false;
    }
    if (row_.daemon == self_)
    {
        // The owner is an earlier incarnation of this daemon, which has ended.
        return true;
    }
    if (is_candidate())
    {
        return session_ended(row_.daemon, row_.incarnation, now);
    }
    return absence_.is_gone(row_.daemon) &&
           std::all_of(row_.candidates.begin(), row_.candidates.end(),
                       [this](const base::daemon_id& candidate)
                       { return absence_.is_gone(candidate); });
}

std::int64_t zone_ownership::takeover_rank(base::time_point now) const
{
    return std::count_if(
        sessions_.begin(), sessions_.end(),
        [this, now](const auto& entry)
        {
            const auto& [daemon, watch] = entry;
            const bool eligible =
                !is_candidate() ||
                std::binary_search(row_.candidates.begin(),
                                   row_.candidates.end(), daemon);
            return daemon < self_ && daemon != row_.daemon && eligible &&
                   watch.seen.row.zone == zone_ && !watch.seen.row.fenced &&
                   now - watch.last_heard < periods_.takeover_wait;
        });
}

std::vector<base::daemon_id>
zone_ownership::wanted_candidates(base::time_point now) const
{
    const auto listed = [this](const base::daemon_id& daemon)
    {
        return std::find_if(list_.begin(), list_.end(),
                            [&daemon](const listed_daemon& entry)
                            { return entry.daemon == daemon; });
    };
    // Whether another daemon has an unfenced session row that changed within
    // `age`.
    const auto alive =
        [this, now](const base::daemon_id& daemon, base::duration age)
    {
        const auto found = sessions_.find(daemon);
        return daemon != self_ && found != sessions_.end() &&
               found->second.seen.version != 0 &&
               !found->second.seen.row.fenced &&
               now - found->second.last_heard < age;
    };
    std::vector<base::daemon_id> wanted;
    for (const base::daemon_id& candidate : row_.candidates)
    {
        const auto entry = listed(candidate);
        if (alive(candidate, periods_.candidate_silence_timeout) &&
            !(entry != list_.end() && entry->leaving) &&
            !absence_.is_gone(candidate))
        {
            wanted.push_back(candidate);
        }
    }
    for (const auto& [daemon, watch] : sessions_)
    {
        const auto entry = listed(daemon);
        if (wanted.size() < max_candidates && entry != list_.end() &&
            !entry->leaving && entry->zone == zone_ &&
            alive(daemon, periods_.candidate_admit_window) &&
            std::find(wanted.begin(), wanted.end(), daemon) == wanted.end())
        {
            wanted.push_back(daemon);
        }
    }
    std::sort(wanted.begin(), wanted.end());
    return wanted;
}

ownership_proposal zone_ownership::make_proposal(ownership_change change,
                                                 owner_row row)
{
    ownership_proposal proposal;
    proposal.id = ++last_proposal_;
    proposal.change = change;
    proposal.zone = zone_;
    proposal.owner_version = row_version_;
    proposal.row = std::move(row);
    return proposal;
}

std::optional<ownership_proposal>
zone_ownership::plan_takeover(base::time_point now)
{
    if (!may_take_over(now))
    {
        eligible_since_.reset();
        return std::nullopt;
    }
    if (!eligible_since_)
    {
        eligible_since_ = now;
    }
    if (now - *eligible_since_ < takeover_rank(now) * periods_.takeover_stagger)
    {
        return std::nullopt;
    }
    ownership_proposal proposal = make_proposal(
        ownership_change::take_over,
        {epoch_ + 1, self_, incarnation_, wanted_candidates(now)});
    const auto previous = sessions_.find(row_.daemon);
    // A session row written by another incarnation needs no fence: the previous
    // owner can no longer commit, and the new incarnation must not be stopped.
    if (row_version_ != 0 && row_.daemon != self_ &&
        previous != sessions_.end() &&
        (previous->second.seen.version == 0 ||
         previous->second.seen.row.incarnation == row_.incarnation))
    {
        session_fence fence{row_.daemon, previous->second.seen.version,
                            previous->second.seen.row};
        fence.row.fenced = true;
        proposal.fence = std::move(fence);
    }
    return proposal;
}

std::optional<ownership_proposal>
zone_ownership::plan_as_owner(base::time_point now)
{
    if (row_.epoch != epoch_)
    {
        return std::nullopt;
    }
    if (shutting_down_)
    {
        return make_proposal(ownership_change::release,
                             {row_.epoch, {}, {}, row_.candidates});
    }
    if (!observed_recently(now))
    {
        return std::nullopt;
    }
    std::vector<base::daemon_id> wanted = wanted_candidates(now);
    if (wanted == row_.candidates)
    {
        return std::nullopt;
    }
    return make_proposal(ownership_change::set_candidates,
                         {row_.epoch, self_, incarnation_, std::move(wanted)});
}

} // namespace coltsfootrack::coordination
