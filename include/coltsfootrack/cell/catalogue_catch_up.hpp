#ifndef COLTSFOOTRACK_CELL_CATALOGUE_CATCH_UP_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CATALOGUE_CATCH_UP_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::cell
{

// Decides when a daemon requests a newer catalogue from a peer.
//
// When the catalogue of a large cell changes, the store delivers it to all
// daemons at about the same time, so a daemon that learns of a newer
// version waits for the store first. If it stays behind, it asks one peer at a
// time: a catalogue with a few hundred routes is large, and a copy from each
// peer at each status would saturate the links of small VMs.
class catalogue_catch_up
{
public:
    using milliseconds = std::chrono::milliseconds;

    // Requests a copy after being behind for `request_delay`, and again every
    // `retry_interval`.
    catalogue_catch_up(milliseconds request_delay, milliseconds retry_interval)
        : request_delay_(request_delay)
        , retry_interval_(retry_interval)
    {
    }

    // Handles a status in which a peer has version `offered`; `own` is the
    // local version, 0 for none. Returns whether to request that peer's copy.
    bool on_status(std::uint64_t offered, std::uint64_t own,
                   base::time_point now);

    // The local catalogue has changed.
    void on_catalogue()
    {
        behind_since_.reset();
    }

private:
    milliseconds request_delay_;
    milliseconds retry_interval_;
    std::optional<base::time_point> behind_since_;
    std::optional<base::time_point> asked_at_;
};

} // namespace coltsfootrack::cell

#endif
