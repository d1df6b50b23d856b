#ifndef COLTSFOOTRACK_ROUTING_ROUTER_IMPL_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ROUTER_IMPL_HPP_INCLUDED

#include "runner_view.hpp"

#include <coltsfootrack/routing/router.hpp>

#include <absl/container/flat_hash_map.h>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfootrack::routing
{

// The implementation of router. Views are sorted by distance and id, so that a
// choice reads the nearest first and does not depend on the order of the list.
class router::impl
{
public:
    impl(router_options options, base::random_source random);

    void set_runners(const base::service_id& service,
                     const std::vector<runner>& runners);
    void set_daemons(std::uint32_t rank, std::uint32_t count);
    absl::StatusOr<attempt> pick(const base::service_id& service,
                                 const std::vector<base::runner_id>& excluded,
                                 base::time_point now);
    void complete(const attempt& done, attempt_outcome outcome,
                  std::optional<std::uint32_t> slots_free,
                  base::time_point now);
    std::size_t in_flight() const;
    bool suspected(const base::service_id& service,
                   const base::runner_id& id) const;

private:
    using views = std::vector<runner_view>;

    // The runners of one service.
    struct service_view
    {
        views runners;
        // A moving average of the reported part of slots that other daemons
        // use, in millionths.
        std::int64_t average_use = 0;
    };

    // A runner that can be chosen: its position in the views and its free
    // slots, in thousandths.
    struct candidate
    {
        std::size_t position = 0;
        std::int64_t free = 0;
    };

    // An attempt in flight.
    struct open_attempt
    {
        base::service_id service;
        base::runner_id runner;
        bool cross_region = false;
        bool probe = false;
    };

    std::uint32_t distance_of(const runner& value) const;
    void set_limits(views& list) const;
    absl::StatusOr<std::size_t>
    choose(const service_view& from,
           const std::vector<base::runner_id>& excluded, base::time_point now);
    std::size_t choose_free();
    static runner_view* find(views& list, const base::runner_id& id);

    router_options options_;
    mutable std::mutex mutex_;
    base::random_source random_;
    absl::flat_hash_map<base::service_id, service_view> services_;
    absl::flat_hash_map<std::string, open_attempt> open_;
    std::uint32_t cross_region_in_flight_ = 0;
    std::uint32_t rank_ = 0;
    std::uint32_t daemons_ = 1;
    // Scratch space of choose, kept to avoid allocations.
    std::vector<candidate> candidates_;
};

} // namespace coltsfootrack::routing

#endif
