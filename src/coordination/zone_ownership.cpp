// Leader election of a zone: owner row, promises and the permission to act.

#include <coltsfootrack/coordination/zone_ownership.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::coordination
{

zone_ownership::zone_ownership(base::zone_id zone, base::daemon_id self,
                               std::string incarnation, base::time_point now,
                               timing periods)
    : zone_(std::move(zone))
    , self_(std::move(self))
    , incarnation_(std::move(incarnation))
    , periods_(periods)
    , started_(now)
    , absence_(periods)
{
}

void zone_ownership::session_confirmed(base::time_point now)
{
    if (!confirmed_)
    {
        confirmed_ = now;
    }
}

void zone_ownership::observe(const zone_observation& seen, base::time_point now)
{
    if (seen.sequence < sequence_)
    {
        return;
    }
    sequence_ = seen.sequence;
    update_sessions(seen, now);
    last_observed_ = now;
    if (!row_known_ || seen.owner_version != row_version_)
    {
        apply_row(seen.owner, seen.owner_version);
    }
    if (confirmed_ && seen.sent > *confirmed_)
    {
        promises_allowed_ = true;
    }
    if (reread_after_ && seen.sent >= *reread_after_)
    {
        reread_after_.reset();
    }
}

void zone_ownership::list_received(base::time_point sent,
                                   const std::vector<listed_daemon>& list,
                                   base::time_point now)
{
    list_ = list;
    absence_.list_received(sent, list, now);
}

promise_answer zone_ownership::answer(const promise_request& request,
                                      base::time_point now)
{
    promise_answer result{zone_, self_, request.epoch, request.nonce, false};
    if (request.zone != zone_ || request.owner == self_)
    {
        return result;
    }
    epoch_ = std::max(epoch_, request.epoch);
    const bool taking_over =
        proposal_ && proposal_->change == ownership_change::take_over;
    const bool outdated =
        request.epoch < epoch_ ||
        (request.epoch == row_.epoch && request.owner != row_.daemon);
    if (!promises_allowed_ || fenced_ || taking_over || outdated)
    {
        return result;
    }
    promised_until_ = now + periods_.takeover_wait;
    result.granted = true;
    return result;
}

void zone_ownership::promise_answered(const promise_answer& answer)
{
    const auto found = required_.find(answer.candidate);
    if (role() != ownership_role::owner || answer.zone != zone_ ||
        answer.epoch != epoch_ || !answer.granted || found == required_.end())
    {
        return;
    }
    candidate_state& state = found->second;
    const auto request = std::find_if(
        state.requests.begin(), state.requests.end(),
        [&answer](const auto& open) { return open.first == answer.nonce; });
    if (request == state.requests.end())
    {
        return;
    }
    state.granted = std::max(state.granted, std::optional(request->second));
    state.requests.erase(state.requests.begin(), request + 1);
}

void zone_ownership::proposal_applied(std::uint64_t id, std::uint64_t version,
                                      base::time_point /*now*/)
{
    if (!proposal_ || proposal_->id != id)
    {
        return;
    }
    const owner_row row = proposal_->row;
    proposal_.reset();
    // A later observation may already have shown a newer row.
    if (version > row_version_)
    {
        sequence_ = std::max(sequence_, version);
        apply_row(row, version);
    }
    else
    {
        update_required();
    }
}

void zone_ownership::proposal_rejected(std::uint64_t id, base::time_point now)
{
    if (!proposal_ || proposal_->id != id)
    {
        return;
    }
    proposal_.reset();
    reread_after_ = now;
    update_required();
}

void zone_ownership::session_fenced(base::time_point /*now*/)
{
    fenced_ = true;
    proposal_.reset();
    required_.clear();
}

void zone_ownership::restart(std::string incarnation, base::time_point now)
{
    zone_ownership next(zone_, self_, std::move(incarnation), now, periods_);
    // A commit of the previous incarnation may still be in flight, so the rows
    // are read again. The epoch and the table's sequence never decrease.
    next.epoch_ = epoch_;
    next.sequence_ = sequence_;
    next.last_proposal_ = last_proposal_;
    next.last_nonce_ = last_nonce_;
    next.shutting_down_ = shutting_down_;
    *this = std::move(next);
}

void zone_ownership::begin_shutdown()
{
    shutting_down_ = true;
}

std::vector<ownership_action> zone_ownership::step(base::time_point now,
                                                   const session_lease& lease)
{
    std::vector<ownership_action> actions;
    if (fenced_ || lease.is_fenced() || !row_known_)
    {
        return actions;
    }
    if (!proposal_ && !reread_after_)
    {
        proposal_ = names_self(row_) ? plan_as_owner(now) : plan_takeover(now);
        if (proposal_)
        {
            actions.emplace_back(*proposal_);
            update_required();
        }
    }
    if (role() == ownership_role::owner)
    {
        request_promises(now, actions);
    }
    return actions;
}

bool zone_ownership::may_act(base::time_point now,
                             const session_lease& lease) const
{
    const auto end = acting_until(lease);
    return end && now < *end;
}

std::optional<base::time_point>
zone_ownership::acting_until(const session_lease& lease) const
{
    if (role() != ownership_role::owner || lease.is_fenced())
    {
        return std::nullopt;
    }
    std::optional<base::time_point> promised = base::time_point::max();
    for (const auto& [candidate, state] : required_)
    {
        if (!state.granted)
        {
            promised.reset();
            break;
        }
        promised = std::min(*promised, *state.granted + periods_.lease);
    }
    // An empty optional compares less than any time.
    return std::max(lease.valid_until(), promised);
}

std::uint64_t zone_ownership::epoch() const
{
    return epoch_;
}

ownership_role zone_ownership::role() const
{
    if (fenced_ || !row_known_)
    {
        return ownership_role::observer;
    }
    if (names_self(row_) && row_.epoch == epoch_)
    {
        const bool releasing =
            proposal_ && proposal_->change == ownership_change::release;
        return releasing ? ownership_role::releasing : ownership_role::owner;
    }
    return is_candidate() ? ownership_role::candidate
                          : ownership_role::observer;
}

const base::daemon_id& zone_ownership::owner() const
{
    return row_.daemon;
}

const base::zone_id& zone_ownership::zone() const
{
    return zone_;
}

bool zone_ownership::names_self(const owner_row& row) const
{
    return row.daemon == self_ && row.incarnation == incarnation_;
}

bool zone_ownership::is_candidate() const
{
    return std::binary_search(row_.candidates.begin(), row_.candidates.end(),
                              self_);
}

bool zone_ownership::observed_recently(base::time_point now) const
{
    return last_observed_ &&
           now - *last_observed_ <= periods_.max_observation_age;
}

void zone_ownership::update_sessions(const zone_observation& seen,
                                     base::time_point now)
{
    std::map<base::daemon_id, observed_session> rows = seen.sessions;
    if (!seen.owner.daemon.empty())
    {
        // An owner without a session row is tracked with version 0.
        rows.try_emplace(seen.owner.daemon);
    }
    const bool gap = !observed_recently(now);
    std::map<base::daemon_id, session_watch> next;
    for (const auto& [daemon, session] : rows)
    {
        session_watch watch{session, now, now, now};
        const auto found = sessions_.find(daemon);
        if (found != sessions_.end())
        {
            const session_watch& before = found->second;
            if (before.seen.row.incarnation == session.row.incarnation)
            {
                watch.incarnation_since = before.incarnation_since;
            }
            if (before.seen.version == session.version)
            {
                watch.since = before.since;
                watch.last_heard = gap ? now : before.last_heard;
            }
        }
        next.emplace(daemon, std::move(watch));
    }
    sessions_ = std::move(next);
}

void zone_ownership::apply_row(const owner_row& row, std::uint64_t version)
{
    if (!row_known_ || row.epoch != row_.epoch || row.daemon != row_.daemon)
    {
        required_.clear();
    }
    row_ = row;
    row_version_ = version;
    row_known_ = true;
    epoch_ = std::max(epoch_, row.epoch);
    eligible_since_.reset();
    std::vector<base::daemon_id> watched = row.candidates;
    if (!row.daemon.empty())
    {
        watched.push_back(row.daemon);
    }
    absence_.watch(watched);
    update_required();
}

void zone_ownership::update_required()
{
    std::map<base::daemon_id, candidate_state> next;
    const auto count = [this, &next](const std::vector<base::daemon_id>& ids)
    {
        for (const base::daemon_id& id : ids)
        {
            const auto found = required_.find(id);
            next.emplace(id, found == required_.end() ? candidate_state{}
                                                      : found->second);
        }
    };
    if (names_self(row_))
    {
        count(row_.candidates);
        if (proposal_)
        {
            count(proposal_->row.candidates);
        }
    }
    required_ = std::move(next);
}

void zone_ownership::request_promises(base::time_point now,
                                      std::vector<ownership_action>& actions)
{
    for (auto& [candidate, state] : required_)
    {
        if (state.last_sent &&
            now - *state.last_sent < periods_.promise_interval)
        {
            continue;
        }
        if (state.requests.size() == max_requests)
        {
            state.requests.pop_front();
        }
        state.requests.emplace_back(++last_nonce_, now);
        state.last_sent = now;
        actions.emplace_back(promise_dispatch{
            candidate, {zone_, self_, row_.epoch, last_nonce_}});
    }
}

} // namespace coltsfootrack::coordination
