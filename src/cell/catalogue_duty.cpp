#include <coltsfootrack/cell/catalogue_duty.hpp>

#include <utility>

namespace coltsfootrack::cell
{

catalogue_duty::catalogue_duty(base::daemon_id self,
                               std::uint32_t processor_milli,
                               const limits& values)
    : self_(std::move(self))
    , processor_milli_(processor_milli)
    , limits_(values)
{
}

void catalogue_duty::on_status(const base::daemon_id& peer,
                               std::uint32_t processor_milli,
                               std::optional<milliseconds> catalogue_age,
                               base::time_point now)
{
    peer_state& state = peers_[peer];
    state.processor_milli = processor_milli;
    state.heard_at = catalogue_age
                         ? std::optional<base::time_point>(now - *catalogue_age)
                         : std::nullopt;
}

void catalogue_duty::on_link_lost(const base::daemon_id& peer)
{
    peers_.erase(peer);
}

bool catalogue_duty::ranks_before_self(const base::daemon_id& peer,
                                       const peer_state& other) const
{
    return other.processor_milli != processor_milli_
               ? other.processor_milli > processor_milli_
               : peer < self_;
}

bool catalogue_duty::update(base::time_point now)
{
    std::size_t rank = 0;
    std::size_t following = 0;
    for (const auto& [id, peer] : peers_)
    {
        if (ranks_before_self(id, peer))
        {
            ++rank;
            following +=
                peer.heard_at && now - *peer.heard_at <= limits_.longest_age
                    ? 1
                    : 0;
        }
    }
    if (following >= limits_.followers)
    {
        short_since_.reset();
        follows_ = false;
        return false;
    }
    if (!short_since_)
    {
        short_since_ = now;
    }
    const std::size_t turn =
        rank < limits_.followers ? 0 : rank - limits_.followers + 1;
    follows_ =
        follows_ || now - *short_since_ >=
                        limits_.rank_delay * static_cast<std::int64_t>(turn);
    return follows_;
}

} // namespace coltsfootrack::cell
