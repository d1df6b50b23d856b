#ifndef COLTSFOOTRACK_BASE_HEX_TOKEN_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_HEX_TOKEN_HPP_INCLUDED

#include <coltsfootrack/base/random_source.hpp>

#include <string>

namespace coltsfootrack::base
{

// A token of 32 random hexadecimal digits, unique in practice.
std::string hex_token(const random_source& random);

} // namespace coltsfootrack::base

#endif
