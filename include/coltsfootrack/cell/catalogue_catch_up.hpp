#ifndef COLTSFOOTRACK_CELL_CATALOGUE_CATCH_UP_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CATALOGUE_CATCH_UP_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::cell
{

// Decides when a daemon requests a newer catalogue from a peer.
//
// A catalogue with some thousand routes fills a thin link for a second, so a
// daemon asks one peer at a time and, as long as none has sent a copy, ever
// less often. It asks peers of its own zone first, since the links between
// zones are shared. One that follows the catalogue in the store waits for it
// there at first: the store delivers a change to all of them at once.
class catalogue_catch_up
{
public:
    using milliseconds = std::chrono::milliseconds;

    struct limits
    {
        // How long a daemon that follows the store waits for it.
        milliseconds store_wait{300};
        // How much longer it waits before it asks a peer of another zone.
        milliseconds far_wait{500};
        // The time until the next request; it doubles with each one that
        // brought nothing, up to the second.
        milliseconds retry{500};
        milliseconds longest_retry{4000};
    };

    explicit catalogue_catch_up(const limits& values)
        : limits_(values)
        , retry_(values.retry)
    {
    }

    // Handles a status in which a peer has version `offered`; `own` is the
    // local version, 0 for none. `near` if the peer is in the same zone,
    // `follows_store` if this daemon follows the catalogue in the store.
    // Returns whether to request that peer's copy.
    bool on_status(const base::daemon_id& peer, std::uint64_t offered,
                   std::uint64_t own, bool near, bool follows_store,
                   base::time_point now);

    // The local catalogue has changed.
    void on_catalogue()
    {
        behind_since_.reset();
        next_request_at_.reset();
        retry_ = limits_.retry;
    }

    // The connection to a peer is lost, and with it the copy that it may have
    // been sending.
    void on_link_lost(const base::daemon_id& peer);

private:
    limits limits_;
    std::optional<base::time_point> behind_since_;
    std::optional<base::time_point> next_request_at_;
    base::daemon_id asked_;
    milliseconds retry_;
};

} // namespace coltsfootrack::cell

#endif
