#ifndef COLTSFOOTRACK_CELL_CATALOGUE_CATCH_UP_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CATALOGUE_CATCH_UP_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::cell
{

// Decides when a daemon asks a peer for a newer catalogue.
//
// Load pattern: a change of the catalogue in a large cell. The store tells all
// daemons of it at about the same time, so a daemon that has just heard of a
// newer version waits for the store first. One that stays behind asks one peer
// at a time: a catalogue with some hundred routes is large, and a copy from
// each peer at each status fills the links of small VMs.
class catalogue_catch_up
{
public:
    using milliseconds = std::chrono::milliseconds;

    // Asks after being behind for `request_delay`, and again after
    // `retry_interval`.
    catalogue_catch_up(milliseconds request_delay, milliseconds retry_interval)
        : request_delay_(request_delay)
        , retry_interval_(retry_interval)
    {
    }

    // A peer has said that it has `offered`; `own` is the version here, 0 for
    // none. Whether that peer is to be asked for its copy.
    bool on_status(std::uint64_t offered, std::uint64_t own,
                   base::time_point now);

    // The catalogue here has changed.
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
