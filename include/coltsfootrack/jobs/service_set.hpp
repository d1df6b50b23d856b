#ifndef COLTSFOOTRACK_JOBS_SERVICE_SET_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_SERVICE_SET_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstddef>
#include <set>

namespace coltsfootrack::jobs
{

// The services on whose workers tasks of a job may have been started. Holds few
// names, so that it fits into a row beside the progress of the job; beyond that
// it contains every service, which is safe and only makes others wait.
class service_set
{
public:
    static constexpr std::size_t max_names = 4;
    // The bytes of all names together.
    static constexpr std::size_t max_name_bytes = 512;

    // The set of every service.
    static service_set any();

    // Adds a service; returns whether it was not contained.
    bool add(const base::service_id& service);

    bool contains(const base::service_id& service) const
    {
        return any_ || names_.count(service) != 0;
    }

    // The same without a name; the set of every service stays.
    service_set without(const base::service_id& service) const;

    // Whether it contains every service; names() is then empty.
    bool is_any() const
    {
        return any_;
    }

    const std::set<base::service_id>& names() const
    {
        return names_;
    }

    friend bool operator==(const service_set& a, const service_set& b)
    {
        return a.any_ == b.any_ && a.names_ == b.names_;
    }

    friend bool operator!=(const service_set& a, const service_set& b)
    {
        return !(a == b);
    }

private:
    bool any_ = false;
    std::set<base::service_id> names_;
    std::size_t name_bytes_ = 0;
};

} // namespace coltsfootrack::jobs

#endif
