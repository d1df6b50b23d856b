#ifndef COLTSFOOTRACK_ROUTING_ROUTER_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ROUTER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/routing/attempt.hpp>
#include <coltsfootrack/routing/attempt_outcome.hpp>
#include <coltsfootrack/routing/router_options.hpp>
#include <coltsfootrack/routing/runner.hpp>

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace coltsfootrack::routing
{

// Chooses a runner for each request from this daemon's local view of free
// slots.
//
//     router choice(options, system_random());
//     choice.set_runners(service, runners, now);
//     auto attempt = choice.pick(service, excluded, now);
//     ... send to attempt->address ...
//     choice.complete(*attempt, attempt_outcome::complete, slots_free, now);
//
// Prefers the own zone, then the own region, then the other region. A farther
// runner is used only when every nearer one is full, leaving, excluded or
// suspected. A runner is suspected after several connection failures in a row;
// it then gets only single requests as probes.
//
// Limits: the table holds the runners of the last set_runners of each service
// and at most one entry per attempt in flight.
//
// Thread safety: all functions may be called from any thread.
class router
{
public:
    router(router_options options, base::random_source random);
    ~router();

    router(const router&) = delete;
    router& operator=(const router&) = delete;

    // Replaces the runners of a service. Known runners keep their state and
    // their attempts in flight. A runner that is missing or leaving gets no
    // further requests. Of entries with the same id the first counts. An empty
    // list removes the service.
    void set_runners(const base::service_id& service,
                     const std::vector<runner>& runners, base::time_point now);

    // For slot_strategy::slot_leases: the daemon's rank, from 0, among the
    // daemons that share the runners, and their number.
    void set_daemons(std::uint32_t rank, std::uint32_t count);

    // Chooses a runner and counts a slot of it as used. no_upstream if no live
    // runner is known, upstream_unreachable if all live ones are suspected or
    // excluded, upstream_full if no slot is free in the local view.
    absl::StatusOr<attempt> pick(const base::service_id& service,
                                 const std::vector<base::runner_id>& excluded,
                                 base::time_point now);

    // Ends an attempt returned by pick; `slots_free` is the number of free
    // slots that the runner reported, if any. After refused_leaving the runner
    // gets no requests for router_options::leaving_hold, even if it is still
    // listed as live. A second call for the same attempt has no effect.
    void complete(const attempt& done, attempt_outcome outcome,
                  std::optional<std::uint32_t> slots_free,
                  base::time_point now);

    // The number of attempts in flight.
    std::size_t in_flight() const;

    // Whether the runner is suspected.
    bool suspected(const base::service_id& service,
                   const base::runner_id& id) const;

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace coltsfootrack::routing

#endif
