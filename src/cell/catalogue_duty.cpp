#include <coltsfootrack/cell/catalogue_duty.hpp>

#include <algorithm>
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
    if (!catalogue_age)
    {
        followers_.erase(peer);
        return;
    }
    followers_[peer] = {processor_milli, now - *catalogue_age};
}

void catalogue_duty::on_link_lost(const base::daemon_id& peer)
{
    followers_.erase(peer);
}

bool catalogue_duty::ranks_before_self(const base::daemon_id& peer,
                                       const follower& other) const
{
    return other.processor_milli != processor_milli_
               ? other.processor_milli > processor_milli_
               : peer < self_;
}

bool catalogue_duty::follows(base::time_point now) const
{
    const auto better = std::count_if(
        followers_.begin(), followers_.end(),
        [&](const auto& entry)
        {
            return now - entry.second.heard_at <= limits_.longest_age &&
                   ranks_before_self(entry.first, entry.second);
        });
    return static_cast<std::size_t>(better) < limits_.followers;
}

} // namespace coltsfootrack::cell
