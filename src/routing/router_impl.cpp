// Chooses runners for requests.

#include "router_impl.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/hex_token.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfootrack::routing
{
namespace
{

constexpr std::uint32_t other_region_distance = 2;

constexpr std::int64_t millionths = 1000000;

// The number of reports over which the slots used by others are averaged.
constexpr std::int64_t average_reports = 256;

} // namespace

router::impl::impl(router_options options, base::random_source random)
    : options_(std::move(options))
    , random_(std::move(random))
{
}

void router::impl::set_runners(const base::service_id& service,
                               const std::vector<runner>& runners)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    views list;
    views& current = services_[service].runners;
    for (const runner& value : runners)
    {
        if (find(list, value.id) != nullptr)
        {
            continue;
        }
        runner_view view;
        if (const runner_view* known = find(current, value.id))
        {
            view = *known;
        }
        else
        {
            // The runner may be back on the list while attempts that it got
            // earlier are still in flight.
            view.in_flight = static_cast<std::uint32_t>(
                std::count_if(open_.begin(), open_.end(),
                              [&](const auto& entry)
                              {
                                  return entry.second.runner == value.id &&
                                         entry.second.service == service;
                              }));
        }
        view.info = value;
        view.distance = distance_of(value);
        list.push_back(std::move(view));
    }
    std::sort(list.begin(), list.end(),
              [](const runner_view& a, const runner_view& b) {
                  return std::tie(a.distance, a.info.id) <
                         std::tie(b.distance, b.info.id);
              });
    set_limits(list);
    current = std::move(list);
    if (current.empty())
    {
        services_.erase(service);
    }
}

void router::impl::set_daemons(std::uint32_t rank, std::uint32_t count)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    daemons_ = std::max<std::uint32_t>(count, 1);
    rank_ = rank % daemons_;
    for (auto& [service, view] : services_)
    {
        set_limits(view.runners);
    }
}

absl::StatusOr<attempt>
router::impl::pick(const base::service_id& service,
                   const std::vector<base::runner_id>& excluded,
                   base::time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return base::make_error(base::error_kind::no_upstream, service.text());
    }
    const auto chosen = choose(found->second, excluded, now);
    if (!chosen.ok())
    {
        return chosen.status();
    }
    runner_view& view = found->second.runners[*chosen];
    attempt result;
    result.id = base::hex_token(random_);
    result.service = service;
    result.runner = view.info.id;
    result.address = view.info.address;
    result.distance = view.distance;
    result.probe = view.suspected;
    view.probing = view.probing || result.probe;
    ++view.in_flight;
    const bool cross_region = view.distance >= other_region_distance;
    cross_region_in_flight_ += cross_region ? 1 : 0;
    open_.emplace(result.id, open_attempt{service, result.runner, cross_region,
                                          result.probe});
    return result;
}

void router::impl::complete(const attempt& done, attempt_outcome outcome,
                            std::optional<std::uint32_t> slots_free,
                            base::time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = open_.find(done.id);
    if (found == open_.end())
    {
        return;
    }
    const open_attempt entry = found->second;
    open_.erase(found);
    cross_region_in_flight_ -= entry.cross_region ? 1 : 0;
    const auto service = services_.find(entry.service);
    if (service == services_.end())
    {
        return;
    }
    runner_view* view = find(service->second.runners, entry.runner);
    if (view == nullptr)
    {
        return;
    }
    --view->in_flight;
    if (view->record(outcome, slots_free, entry.probe, options_, now) &&
        view->info.slots > 0)
    {
        std::int64_t& average = service->second.average_use;
        average += (std::int64_t(view->used_by_others) * millionths /
                        view->info.slots -
                    average) /
                   average_reports;
    }
}

std::size_t router::impl::in_flight() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_.size();
}

bool router::impl::suspected(const base::service_id& service,
                             const base::runner_id& id) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = services_.find(service);
    return found != services_.end() &&
           std::any_of(found->second.runners.begin(),
                       found->second.runners.end(),
                       [&](const runner_view& view)
                       { return view.info.id == id && view.suspected; });
}

std::uint32_t router::impl::distance_of(const runner& value) const
{
    if (value.zone == options_.zone)
    {
        return 0;
    }
    return value.region == options_.region ? 1 : other_region_distance;
}

void router::impl::set_limits(views& list) const
{
    if (options_.strategy != slot_strategy::slot_leases)
    {
        for (runner_view& view : list)
        {
            view.limit = view.info.slots;
        }
        return;
    }
    // All slots, ordered by runner id, are assigned to the daemons in turn.
    std::vector<runner_view*> by_id;
    by_id.reserve(list.size());
    for (runner_view& view : list)
    {
        by_id.push_back(&view);
    }
    std::sort(by_id.begin(), by_id.end(),
              [](const runner_view* a, const runner_view* b)
              { return a->info.id < b->info.id; });
    std::uint64_t position = 0;
    const auto own_before = [this](std::uint64_t end)
    {
        return (end + daemons_ - 1 - rank_) / daemons_;
    };
    for (runner_view* view : by_id)
    {
        const std::uint64_t end = position + view->info.slots;
        view->limit =
            static_cast<std::uint32_t>(own_before(end) - own_before(position));
        position = end;
    }
}

absl::StatusOr<std::size_t>
router::impl::choose(const service_view& from,
                     const std::vector<base::runner_id>& excluded,
                     base::time_point now)
{
    candidates_.clear();
    const views& list = from.runners;
    bool live = false;
    bool full = false;
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        const runner_view& view = list[i];
        if (!candidates_.empty() &&
            view.distance > list[candidates_.front().position].distance)
        {
            break;
        }
        if (!view.is_live(now))
        {
            continue;
        }
        live = true;
        if ((view.suspected && !view.probe_due(now)) ||
            std::find(excluded.begin(), excluded.end(), view.info.id) !=
                excluded.end())
        {
            continue;
        }
        const std::int64_t free =
            view.free_milli(options_, from.average_use, now);
        if (free <= 0 ||
            (view.distance >= other_region_distance &&
             cross_region_in_flight_ >= options_.max_cross_region_attempts))
        {
            full = true;
            continue;
        }
        if (view.suspected)
        {
            // A due probe goes first: only a probe can clear the suspicion.
            return i;
        }
        candidates_.push_back({i, free});
    }
    if (!candidates_.empty())
    {
        return choose_free();
    }
    const auto kind = !live  ? base::error_kind::no_upstream
                      : full ? base::error_kind::upstream_full
                             : base::error_kind::upstream_unreachable;
    return base::make_error(kind, "no runner can be chosen");
}

std::size_t router::impl::choose_free()
{
    const std::size_t count = candidates_.size();
    const std::size_t first = random_() % count;
    if (count == 1 || options_.strategy == slot_strategy::random_choice)
    {
        return candidates_[first].position;
    }
    if (options_.strategy == slot_strategy::power_of_two)
    {
        // Any of the others, with equal probability.
        const std::size_t second =
            (first + 1 + random_() % (count - 1)) % count;
        const candidate& low = candidates_[std::min(first, second)];
        const candidate& high = candidates_[std::max(first, second)];
        return high.free > low.free ? high.position : low.position;
    }
    // Ties are broken at random, since several daemons with the same view would
    // otherwise choose the same runner.
    std::size_t best = first;
    for (std::size_t i = first + 1; i < first + count; ++i)
    {
        if (candidates_[i % count].free > candidates_[best].free)
        {
            best = i % count;
        }
    }
    return candidates_[best].position;
}

runner_view* router::impl::find(views& list, const base::runner_id& id)
{
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&](const runner_view& view)
                                    { return view.info.id == id; });
    return found == list.end() ? nullptr : &*found;
}

} // namespace coltsfootrack::routing
