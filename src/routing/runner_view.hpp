#ifndef COLTSFOOTRACK_ROUTING_RUNNER_VIEW_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_RUNNER_VIEW_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/routing/attempt_outcome.hpp>
#include <coltsfootrack/routing/router_options.hpp>
#include <coltsfootrack/routing/runner.hpp>

#include <cstdint>
#include <optional>

namespace coltsfootrack::routing
{

// What one daemon knows about one runner: its own attempts, the slots that
// others use according to the last report, and connection failures.
//
// Thread safety: none; the router guards it.
struct runner_view
{
    runner info;
    // 0 own zone, 1 own region, 2 other region.
    std::uint32_t distance = 0;
    // Slots that this daemon may use; fewer than all under slot_leases.
    std::uint32_t limit = 0;
    // Attempts of this daemon in flight.
    std::uint32_t in_flight = 0;
    // Slots used by others, as computed from the report at reported_at.
    std::uint32_t others = 0;
    base::time_point reported_at;
    // The end of the time after a refusal as leaving.
    base::time_point leaving_until;
    // Connection failures in a row.
    std::uint32_t failures = 0;
    bool suspected = false;
    bool probing = false;
    base::time_point probe_at;
    base::duration probe_pause{};

    bool is_live(base::time_point now) const
    {
        return info.state == runner_state::live && now >= leaving_until;
    }

    bool probe_due(base::time_point now) const
    {
        return suspected && !probing && now >= probe_at;
    }

    // Free slots in the local view, in thousandths; at most 0 if it is full.
    // The average is the share of slots used by others over the runners of the
    // service, in millionths.
    std::int64_t free_milli(const router_options& options,
                            std::int64_t average_share,
                            base::time_point now) const;

    // Takes the outcome of an attempt that is no longer counted in in_flight.
    // Returns whether it reported the slots in use.
    bool note(attempt_outcome outcome, std::optional<std::uint32_t> slots_free,
              bool was_probe, const router_options& options,
              base::time_point now);

private:
    void note_failure(bool was_probe, const router_options& options,
                      base::time_point now);
};

} // namespace coltsfootrack::routing

#endif
