#ifndef COLTSFOOTRACK_WIRE_CONFIG_NOTICE_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_CONFIG_NOTICE_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::wire
{

// Announces the sequence number of a newly accepted configuration.
struct config_notice
{
    std::uint64_t sequence = 0;

    friend bool operator==(const config_notice& a, const config_notice& b)
    {
        return a.sequence == b.sequence;
    }

    friend bool operator!=(const config_notice& a, const config_notice& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
