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

// One daemon's view of one runner: its own attempts, the slots that other
// daemons use according to the last report, and connection failures.
//
// Thread safety: none; the router guards it.
struct runner_view
{
    runner info;
    // 0 own zone, 1 own region, 2 other region.
    std::uint32_t distance = 0;
    // Slots that this daemon may use; under slot_leases only a part.
    std::uint32_t limit = 0;
    // This daemon's attempts in flight.
    std::uint32_t in_flight = 0;
    // Slots used by other daemons according to the report at reported_at.
    std::uint32_t used_by_others = 0;
    base::time_point reported_at;
    // Until when the runner gets no requests after it refused as leaving.
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
    // `average_use` is the average part of a runner's slots that other
    // daemons use, over the runners of the service, in millionths.
    std::int64_t free_milli(const router_options& options,
                            std::int64_t average_use,
                            base::time_point now) const;

    // Records the outcome of an attempt that is no longer counted in in_flight.
    // Returns whether the runner reported its free slots.
    bool record(attempt_outcome outcome,
                std::optional<std::uint32_t> slots_free, bool was_probe,
                const router_options& options, base::time_point now);

private:
    void record_failure(bool was_probe, const router_options& options,
                        base::time_point now);
};

} // namespace coltsfootrack::routing

#endif
