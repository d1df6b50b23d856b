#ifndef COLTSFOOTRACK_CELL_CATALOGUE_DUTY_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CATALOGUE_DUTY_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace coltsfootrack::cell
{

// Decides whether a daemon of a large cell follows the catalogue in the store,
// or relies on the peers of its zone that do.
//
// The store sends a changed catalogue whole to everyone who follows it. With
// some thousand routes and half of the daemons in another region, that fills
// the link between the regions for seconds. So in each zone only the daemons
// with the largest VMs follow it, and pass on a compressed copy.
class catalogue_duty
{
public:
    using milliseconds = std::chrono::milliseconds;

    struct limits
    {
        // The daemons of a zone that follow the store. With two, the loss of
        // one is noticed without any daemon falling behind.
        std::size_t followers = 2;
        // A peer counts as following if it has heard from the store this
        // recently: a long poll, and the transfer of a large catalogue. A read
        // that fails ends that at once.
        milliseconds longest_age{10000};
        // With too few followers the daemons take the duty one after another
        // in this interval, in which the statuses tell who has.
        milliseconds rank_delay{600};
    };

    catalogue_duty(base::daemon_id self, std::uint32_t processor_milli,
                   const limits& values);

    // A status of a peer in the same zone: the capacity of its VM, and the time
    // since the store last told it whether the catalogue has changed; nullopt
    // if it does not follow or gets no answers.
    void on_status(const base::daemon_id& peer, std::uint32_t processor_milli,
                   std::optional<milliseconds> catalogue_age,
                   base::time_point now);

    void on_link_lost(const base::daemon_id& peer);

    // Decides anew whether this daemon has to follow the store.
    bool update(base::time_point now);

    // The last decision; true at first.
    bool follows() const
    {
        return follows_;
    }

private:
    struct peer_state
    {
        std::uint32_t processor_milli = 0;
        std::optional<base::time_point> heard_at;
    };

    bool ranks_before_self(const base::daemon_id& peer,
                           const peer_state& other) const;

    base::daemon_id self_;
    std::uint32_t processor_milli_;
    limits limits_;
    std::map<base::daemon_id, peer_state> peers_;
    bool follows_ = true;
    // Since when too few peers that rank before this daemon follow the store.
    std::optional<base::time_point> short_since_;
};

} // namespace coltsfootrack::cell

#endif
