#ifndef COLTSFOOTRACK_CONFIG_TEAM_KEY_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_TEAM_KEY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/config/key_state.hpp>

#include <string>
#include <tuple>

namespace coltsfootrack::config
{

// The full state of a team's key. The secret itself is never stored, only its
// salted SHA-256 hash.
struct team_key
{
    // The part of the presented key before the dot.
    std::string name;
    base::team_id team;
    // SHA-256 of salt and secret, 64 hexadecimal digits.
    std::string hash;
    // 32 hexadecimal digits.
    std::string salt;
    key_state state = key_state::granted;

    friend bool operator==(const team_key& a, const team_key& b)
    {
        return std::tie(a.name, a.team, a.hash, a.salt, a.state) ==
               std::tie(b.name, b.team, b.hash, b.salt, b.state);
    }

    friend bool operator!=(const team_key& a, const team_key& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
