#ifndef COLTSFOOTRACK_CONFIG_OBJECT_VERSION_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_OBJECT_VERSION_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <tuple>

namespace coltsfootrack::config
{

// The ticket that is in force for one object.
struct object_version
{
    std::string kind;
    std::string name;
    // Zero if the object does not exist.
    std::uint64_t ticket_number = 0;

    friend bool operator==(const object_version& a, const object_version& b)
    {
        return std::tie(a.kind, a.name, a.ticket_number) ==
               std::tie(b.kind, b.name, b.ticket_number);
    }

    friend bool operator!=(const object_version& a, const object_version& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
