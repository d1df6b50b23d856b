// Decides when a daemon claims the leadership.

#include <coltsfootrack/cell/leader_election.hpp>

#include <algorithm>
#include <vector>

namespace coltsfootrack::cell
{
namespace
{

// The weight of the newest sample in the moving average.
constexpr double newest_weight = 0.2;

std::chrono::milliseconds span_ms(base::duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

} // namespace

leader_election::leader_election(base::daemon_id self,
                                 std::uint64_t incarnation,
                                 std::uint32_t processor_milli,
                                 const election_options& options)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , processor_milli_(processor_milli)
    , options_(options)
{
}

void leader_election::on_row(const leader_row& row, base::time_point now)
{
    if (row_ && row_->version != 0 && row.version != 0 &&
        (row.epoch < row_->epoch || row.version <= row_->version))
    {
        return;
    }
    row_ = row;
    row_at_ = now;
    needed_since_.reset();
}

void leader_election::on_status(const base::daemon_id& id,
                                const wire::cell_status& status,
                                base::time_point now)
{
    peer& sender = peers_[id];
    sender.status = status;
    sender.status_at = now;
}

void leader_election::on_link(const base::daemon_id& id, bool up,
                              base::time_point now)
{
    peer& other = peers_[id];
    other.up = up;
    other.changed_at = now;
}

void leader_election::on_store_answer(std::chrono::milliseconds delay,
                                      base::time_point now)
{
    const auto sample = static_cast<double>(delay.count());
    store_delay_ms_ = store_at_ ? store_delay_ms_ * (1 - newest_weight) +
                                      sample * newest_weight
                                : sample;
    store_at_ = now;
}

void leader_election::set_leading(bool leading)
{
    leading_ = leading;
}

void leader_election::stop()
{
    stopping_ = true;
}

bool leader_election::row_names_self() const
{
    return row_ && row_->daemon == self_ && row_->incarnation == incarnation_;
}

std::optional<std::chrono::milliseconds>
leader_election::store_age(base::time_point now) const
{
    if (!store_at_)
    {
        return std::nullopt;
    }
    return span_ms(now - *store_at_);
}

std::optional<std::chrono::milliseconds>
leader_election::leader_age(base::time_point now) const
{
    if (row_names_self())
    {
        return std::chrono::milliseconds(0);
    }
    const auto found = row_ ? peers_.find(row_->daemon) : peers_.end();
    if (found == peers_.end() || !found->second.status ||
        !found->second.status->leading ||
        found->second.status->epoch < row_->epoch)
    {
        return std::nullopt;
    }
    return span_ms(now - found->second.status_at);
}

std::chrono::milliseconds leader_election::store_delay() const
{
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(store_delay_ms_));
}

std::optional<base::daemon_id>
leader_election::peer_with_store(base::time_point now, std::uint64_t turn) const
{
    std::vector<base::daemon_id> usable;
    std::optional<base::daemon_id> leader;
    for (const auto& [id, other] : peers_)
    {
        const bool reaches =
            other.up && other.status && !other.status->stopping &&
            now - other.status_at < options_.candidate_status_age &&
            other.status->store_age &&
            *other.status->store_age < options_.relay_store_age;
        if (reaches && other.status->leading)
        {
            leader = id;
        }
        else if (reaches)
        {
            usable.push_back(id);
        }
    }
    return usable.empty()
               ? leader
               : std::optional<base::daemon_id>(usable[turn % usable.size()]);
}

bool leader_election::leader_reachable() const
{
    if (row_names_self())
    {
        return true;
    }
    const auto found = row_ ? peers_.find(row_->daemon) : peers_.end();
    return found != peers_.end() && found->second.up;
}

bool leader_election::seen_by_peer(base::time_point now) const
{
    return std::any_of(
        peers_.begin(), peers_.end(),
        [&](const auto& entry)
        {
            const peer& other = entry.second;
            return entry.first != row_->daemon && other.status &&
                   now - other.status_at < options_.indirect_status_age &&
                   other.status->epoch == row_->epoch &&
                   other.status->leader_age &&
                   *other.status->leader_age < options_.indirect_status_age;
        });
}

// Whether the leader runs on a VM that is much smaller than this one. When all
// daemons start at once, the first one becomes the leader whatever its size.
bool leader_election::is_undersized(const wire::cell_status& leader,
                                    base::time_point now) const
{
    return leader.leading && leader.processor_milli > 0 &&
           leader.processor_milli * options_.undersized_factor <=
               processor_milli_ &&
           store_delay() / options_.delay_step <=
               leader.store_delay / options_.delay_step &&
           now - row_at_ > options_.undersized_after;
}

bool leader_election::needs_new_leader(base::time_point now) const
{
    if (row_->version == 0)
    {
        return true;
    }
    if (row_->daemon == self_)
    {
        return row_->incarnation != incarnation_ || !leading_;
    }
    const auto found = peers_.find(row_->daemon);
    const peer* leader = found == peers_.end() ? nullptr : &found->second;
    const bool status_current = leader != nullptr && leader->status &&
                                leader->status->epoch >= row_->epoch;
    if (status_current && leader->status->stopping)
    {
        return true;
    }
    const auto own_age = store_age(now);
    const auto theirs = status_current
                            ? leader->status->store_age
                            : std::optional<std::chrono::milliseconds>();
    if (status_current && theirs &&
        *theirs > options_.store_unresponsive_timeout && own_age &&
        *own_age < options_.fresh_store_age)
    {
        return true;
    }
    if (status_current && is_undersized(*leader->status, now))
    {
        return true;
    }
    // A new leader has the same time to send its first status.
    const base::time_point heard =
        status_current ? std::max(leader->status_at, row_at_) : row_at_;
    const bool cut_off = leader != nullptr && !leader->up &&
                         now - leader->changed_at > options_.link_grace &&
                         now - row_at_ > options_.status_timeout;
    if (!cut_off && now - heard <= options_.status_timeout)
    {
        return false;
    }
    return !seen_by_peer(now);
}

bool leader_election::ranks_before(const wire::cell_status& status,
                                   const base::daemon_id& other) const
{
    const auto theirs = status.store_delay / options_.delay_step;
    const auto own = store_delay() / options_.delay_step;
    if (theirs != own)
    {
        return theirs < own;
    }
    if (status.processor_milli != processor_milli_)
    {
        return status.processor_milli > processor_milli_;
    }
    return other < self_;
}

int leader_election::rank(base::time_point now) const
{
    return static_cast<int>(std::count_if(
        peers_.begin(), peers_.end(),
        [&](const auto& entry)
        {
            const auto& [id, other] = entry;
            const bool candidate =
                other.up && other.status && !other.status->stopping &&
                now - other.status_at < options_.candidate_status_age &&
                other.status->store_age &&
                *other.status->store_age < options_.store_unresponsive_timeout;
            return candidate && id != row_->daemon &&
                   ranks_before(*other.status, id);
        }));
}

std::optional<leader_row> leader_election::next_claim(base::time_point now)
{
    const auto age = store_age(now);
    if (stopping_ || !row_ || !age ||
        *age > options_.store_unresponsive_timeout || !needs_new_leader(now))
    {
        needed_since_.reset();
        return std::nullopt;
    }
    if (!needed_since_)
    {
        needed_since_ = now;
    }
    if (now - *needed_since_ < rank(now) * options_.rank_delay)
    {
        return std::nullopt;
    }
    leader_row claim;
    claim.epoch = row_->epoch + 1;
    claim.daemon = self_;
    claim.incarnation = incarnation_;
    claim.version = row_->version;
    return claim;
}

} // namespace coltsfootrack::cell
