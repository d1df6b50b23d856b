#ifndef COLTSFOOTRACK_CONFIG_SHA256_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_SHA256_HPP_INCLUDED

#include <string>
#include <string_view>

namespace coltsfootrack::config
{

// SHA-256 as 64 lower-case hexadecimal digits, or an empty text if OpenSSL
// cannot compute it; an empty text equals no stored hash.
std::string sha256_hex(std::string_view text);

} // namespace coltsfootrack::config

#endif
