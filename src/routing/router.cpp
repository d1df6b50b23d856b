// Forwards the public functions of the router to its implementation.

#include <coltsfootrack/routing/router.hpp>

#include "router_impl.hpp"

#include <utility>

namespace coltsfootrack::routing
{

router::router(router_options options, base::random_source random)
    : impl_(std::make_unique<impl>(std::move(options), std::move(random)))
{
}

router::~router() = default;

void router::set_runners(const base::service_id& service,
                         const std::vector<runner>& runners,
                         base::time_point /*now*/)
{
    impl_->set_runners(service, runners);
}

void router::set_daemons(std::uint32_t rank, std::uint32_t count)
{
    impl_->set_daemons(rank, count);
}

absl::StatusOr<attempt>
router::pick(const base::service_id& service,
             const std::vector<base::runner_id>& excluded, base::time_point now)
{
    return impl_->pick(service, excluded, now);
}

void router::complete(const attempt& done, attempt_outcome outcome,
                      std::optional<std::uint32_t> slots_free,
                      base::time_point now)
{
    impl_->complete(done, outcome, slots_free, now);
}

std::size_t router::in_flight() const
{
    return impl_->in_flight();
}

bool router::suspected(const base::service_id& service,
                       const base::runner_id& id) const
{
    return impl_->suspected(service, id);
}

} // namespace coltsfootrack::routing
