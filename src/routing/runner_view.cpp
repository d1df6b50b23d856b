// Estimates a runner's free slots and whether it is suspected.

#include "runner_view.hpp"

#include <algorithm>

namespace coltsfootrack::routing
{
namespace
{

constexpr std::int64_t milli = 1000;

} // namespace

std::int64_t runner_view::free_milli(const router_options& options,
                                     std::int64_t average_use,
                                     base::time_point now) const
{
    if (in_flight >= limit)
    {
        return 0;
    }
    const std::int64_t own_free = std::int64_t(limit - in_flight) * milli;
    if (options.strategy == slot_strategy::slot_leases ||
        options.strategy == slot_strategy::random_choice)
    {
        return own_free;
    }
    const std::int64_t lifetime = options.view_lifetime.count();
    const std::int64_t age =
        std::max<std::int64_t>((now - reported_at).count(), 0);
    const std::int64_t reported = std::int64_t(used_by_others) * milli;
    const std::int64_t average = average_use * info.slots / milli;
    if (age < lifetime)
    {
        const double weight = double(age) / double(lifetime);
        return own_free - reported -
               static_cast<std::int64_t>(weight * double(average - reported));
    }
    if (age - lifetime < lifetime)
    {
        const double weight = double(age - lifetime) / double(lifetime);
        return own_free - average +
               static_cast<std::int64_t>(weight * double(average));
    }
    return own_free;
}

bool runner_view::record(attempt_outcome outcome,
                         std::optional<std::uint32_t> slots_free,
                         bool was_probe, const router_options& options,
                         base::time_point now)
{
    switch (outcome)
    {
    case attempt_outcome::nothing_sent:
    case attempt_outcome::truncated:
        record_failure(was_probe, options, now);
        return false;
    case attempt_outcome::timed_out:
        // A slow request proves nothing about the runner, but a probe must be
        // repeated.
        if (was_probe)
        {
            record_failure(was_probe, options, now);
        }
        return false;
    case attempt_outcome::refused_full:
        slots_free = 0;
        break;
    case attempt_outcome::refused_leaving:
        leaving_until = now + options.leaving_hold;
        break;
    case attempt_outcome::complete:
        break;
    }
    failures = 0;
    suspected = false;
    probing = false;
    if (slots_free)
    {
        const std::uint32_t used =
            info.slots - std::min(*slots_free, info.slots);
        used_by_others = used > in_flight ? used - in_flight : 0;
        reported_at = now;
    }
    return slots_free.has_value();
}

void runner_view::record_failure(bool was_probe, const router_options& options,
                                 base::time_point now)
{
    if (!suspected)
    {
        if (++failures >= options.suspicion_failures)
        {
            suspected = true;
            probe_pause = options.probe_pause;
            probe_at = now + probe_pause;
        }
        return;
    }
    // Ignores failures of attempts that were sent before the runner was
    // suspected.
    if (was_probe)
    {
        probing = false;
        probe_pause = std::min(probe_pause * 2, options.max_probe_pause);
        probe_at = now + probe_pause;
    }
}

} // namespace coltsfootrack::routing
