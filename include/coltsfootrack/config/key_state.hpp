#ifndef COLTSFOOTRACK_CONFIG_KEY_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_KEY_STATE_HPP_INCLUDED

namespace coltsfootrack::config
{

// Whether a key may be used. A withdrawn key can be granted again only by a
// newer ticket.
enum class key_state
{
    granted,
    withdrawn
};

} // namespace coltsfootrack::config

#endif
