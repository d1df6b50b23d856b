#ifndef COLTSFOOTRACK_BASE_RESOURCES_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_RESOURCES_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <tuple>

namespace coltsfootrack::base
{

// An amount of each of the three resources of a VM: CPU in thousandths of a
// core, memory in MiB, accelerators in whole devices.
struct resources
{
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    // Whether this amount is at most the other one in each resource.
    bool fits_in(const resources& other) const
    {
        return cpu_milli <= other.cpu_milli && memory_mb <= other.memory_mb &&
               accelerators <= other.accelerators;
    }

    // Whether no amount is negative.
    bool is_valid() const
    {
        return cpu_milli >= 0 && memory_mb >= 0 && accelerators >= 0;
    }

    resources& operator+=(const resources& other)
    {
        cpu_milli += other.cpu_milli;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        cpu_milli -= other.cpu_milli;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator+(resources a, const resources& b)
    {
        return a += b;
    }

    friend resources operator-(resources a, const resources& b)
    {
        return a -= b;
    }

    friend resources operator*(const resources& a, std::int64_t count)
    {
        return {a.cpu_milli * count, a.memory_mb * count,
                a.accelerators * count};
    }

    friend bool operator==(const resources& a, const resources& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const resources& a, const resources& b)
    {
        return !(a == b);
    }

    // Lexicographic order for containers, unrelated to fits_in.
    friend bool operator<(const resources& a, const resources& b)
    {
        return a.as_tuple() < b.as_tuple();
    }

private:
    std::tuple<std::int64_t, std::int64_t, std::int64_t> as_tuple() const
    {
        return {cpu_milli, memory_mb, accelerators};
    }
};

// The smaller amount of each resource.
resources component_min(const resources& a, const resources& b);

// The larger amount of each resource.
resources component_max(const resources& a, const resources& b);

// Text for log lines and explanations, for example "1.5 cores, 512 MiB,
// 2 accelerators".
std::string to_string(const resources& value);

} // namespace coltsfootrack::base

#endif
