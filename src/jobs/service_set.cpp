// The services on whose workers tasks of a job may have been started.

#include <coltsfootrack/jobs/service_set.hpp>

namespace coltsfootrack::jobs
{

service_set service_set::any()
{
    service_set all;
    all.any_ = true;
    return all;
}

bool service_set::add(const base::service_id& service)
{
    if (contains(service))
    {
        return false;
    }
    name_bytes_ += service.text().size();
    if (names_.size() == max_names || name_bytes_ > max_name_bytes)
    {
        *this = any();
        return true;
    }
    names_.insert(service);
    return true;
}

service_set service_set::without(const base::service_id& service) const
{
    service_set others = *this;
    if (others.names_.erase(service) != 0)
    {
        others.name_bytes_ -= service.text().size();
    }
    return others;
}

} // namespace coltsfootrack::jobs
