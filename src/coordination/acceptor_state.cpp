// Decides on acceptance of tickets and on the set of acceptors.

#include <coltsfootrack/coordination/acceptor_state.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::coordination
{

namespace
{

bool contains(const std::vector<base::daemon_id>& ids,
              const base::daemon_id& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

acceptor_state::acceptor_state(base::daemon_id self, timing periods)
    : self_(std::move(self))
    , periods_(periods)
    , absence_(periods)
{
}

void acceptor_state::session_confirmed(base::time_point now)
{
    if (!confirmed_)
    {
        confirmed_ = now;
    }
}

void acceptor_state::store_read(
    base::time_point sent, std::uint64_t sequence,
    const membership_row& membership,
    const std::map<base::daemon_id, std::uint64_t>& session_versions)
{
    sequence_known(sequence);
    if (membership.version < membership_.version)
    {
        return;
    }
    if (!last_read_ || *last_read_ < sent)
    {
        last_read_ = sent;
    }
    membership_ = membership;
    session_versions_ = session_versions;
    absence_.watch(membership_.members);
    if (confirmed_ && sent > *confirmed_)
    {
        ready_ = true;
    }
    if (reread_after_ && sent >= *reread_after_)
    {
        reread_after_.reset();
    }
}

void acceptor_state::sequence_known(std::uint64_t sequence)
{
    sequence_ = std::max(sequence_, sequence);
}

void acceptor_state::list_received(base::time_point sent,
                                   const std::vector<listed_daemon>& list,
                                   base::time_point now)
{
    list_ = list;
    absence_.list_received(sent, list, now);
}

void acceptor_state::set_responsive(std::set<base::daemon_id> daemons)
{
    responsive_ = std::move(daemons);
}

bool acceptor_state::may_accept(base::time_point now) const
{
    return ready_ && is_member() && read_recently(now) &&
           in_doubt_.size() < max_tickets;
}

bool acceptor_state::ticket_started(std::uint64_t ticket, base::time_point now)
{
    if (!may_accept(now))
    {
        return false;
    }
    return in_doubt_.insert(ticket).second;
}

void acceptor_state::ticket_finished(std::uint64_t ticket,
                                     std::optional<std::uint64_t> sequence)
{
    in_doubt_.erase(ticket);
    if (sequence)
    {
        sequence_known(*sequence);
    }
}

acceptor_answer acceptor_state::answer() const
{
    return {ready_, sequence_, membership_.version,
            !in_doubt_.empty() || proposal_.has_value()};
}

std::optional<membership_proposal> acceptor_state::plan(base::time_point now)
{
    if (!ready_ || !read_recently(now) || proposal_ || reread_after_)
    {
        return std::nullopt;
    }
    membership_proposal proposal;
    if (membership_.version != 0 && !is_member())
    {
        if (!all_members_gone())
        {
            return std::nullopt;
        }
        for (const base::daemon_id& member : membership_.members)
        {
            const auto found = session_versions_.find(member);
            if (found == session_versions_.end())
            {
                return std::nullopt;
            }
            proposal.session_versions.insert(*found);
        }
    }
    proposal.members = wanted_members();
    if (proposal.members.empty() || proposal.members == membership_.members)
    {
        return std::nullopt;
    }
    proposal.id = ++last_proposal_;
    proposal.membership_version = membership_.version;
    proposal_ = proposal;
    return proposal;
}

void acceptor_state::proposal_applied(std::uint64_t id, std::uint64_t version)
{
    if (!proposal_ || proposal_->id != id)
    {
        return;
    }
    if (version > membership_.version)
    {
        membership_ = {version, proposal_->members};
        session_versions_.clear();
        absence_.watch(membership_.members);
    }
    proposal_.reset();
}

void acceptor_state::proposal_rejected(std::uint64_t id, base::time_point now)
{
    if (proposal_ && proposal_->id == id)
    {
        proposal_.reset();
        reread_after_ = now;
    }
}

bool acceptor_state::is_member() const
{
    return contains(membership_.members, self_);
}

const membership_row& acceptor_state::membership() const
{
    return membership_;
}

bool acceptor_state::read_recently(base::time_point now) const
{
    return last_read_ && now - *last_read_ <= periods_.max_observation_age;
}

bool acceptor_state::all_members_gone() const
{
    return std::all_of(membership_.members.begin(), membership_.members.end(),
                       [this](const base::daemon_id& member)
                       { return absence_.is_gone(member); });
}

std::vector<base::daemon_id> acceptor_state::wanted_members() const
{
    // Usable daemons: current members first, each group by ascending id.
    std::vector<listed_daemon> usable;
    for (const listed_daemon& entry : list_)
    {
        if (!entry.leaving &&
            (entry.daemon == self_ || responsive_.count(entry.daemon) != 0))
        {
            usable.push_back(entry);
        }
    }
    std::sort(usable.begin(), usable.end(),
              [this](const listed_daemon& a, const listed_daemon& b)
              {
                  const bool a_new = !contains(membership_.members, a.daemon);
                  const bool b_new = !contains(membership_.members, b.daemon);
                  return a_new != b_new ? b_new : a.daemon < b.daemon;
              });
    std::vector<base::daemon_id> chosen;
    std::set<base::zone_id> zones;
    // The first pass takes one daemon per zone; the second fills the rest.
    for (const bool one_per_zone : {true, false})
    {
        for (const listed_daemon& entry : usable)
        {
            if (chosen.size() < max_members &&
                !contains(chosen, entry.daemon) &&
                (!one_per_zone || zones.insert(entry.zone).second))
            {
                chosen.push_back(entry.daemon);
            }
        }
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace coltsfootrack::coordination
