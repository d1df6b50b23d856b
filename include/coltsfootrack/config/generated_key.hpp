#ifndef COLTSFOOTRACK_CONFIG_NEW_KEY_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_NEW_KEY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/config/team_key.hpp>

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace coltsfootrack::config
{

// A key that has just been generated.
struct generated_key
{
    // "<key id>.<secret>", shown once to the operator and never stored.
    std::string plaintext;
    // The object for the ticket; it holds only the salted hash.
    team_key object;
};

// Generates a key with a secret of 256 bits and a salt of 128 bits. The source
// must be cryptographically secure; base::system_random is not. A key id or
// team that is not a valid name gives invalid_request.
absl::StatusOr<generated_key> generate_key(std::string_view key_id,
                                           const base::team_id& team,
                                           const base::random_source& random);

// SHA-256 of salt and secret as 64 hexadecimal digits.
std::string hash_secret(std::string_view salt, std::string_view secret);

} // namespace coltsfootrack::config

#endif
