#ifndef COLTSFOOTRACK_CONFIG_OBJECT_VERSION_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_OBJECT_VERSION_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <tuple>

namespace coltsfootrack::config
{

// The version of one object: the number of the ticket that last wrote it.
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
