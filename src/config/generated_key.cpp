// Generation and hashing of keys.

#include "field_reader.hpp"
#include "sha256.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/hex_token.hpp>
#include <coltsfootrack/config/generated_key.hpp>

namespace coltsfootrack::config
{

absl::StatusOr<generated_key> generate_key(std::string_view key_id,
                                           const base::team_id& team,
                                           const base::random_source& random)
{
    if (!is_name(key_id))
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the key id is not a valid name");
    }
    if (!is_name(team.text()))
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the team is not a valid name");
    }
    std::string secret = base::hex_token(random);
    secret += base::hex_token(random);
    generated_key result;
    result.object.name = std::string(key_id);
    result.object.team = team;
    result.object.salt = base::hex_token(random);
    result.object.hash = hash_secret(result.object.salt, secret);
    if (result.object.hash.empty())
    {
        return base::make_error(base::error_kind::internal,
                                "SHA-256 is not available");
    }
    result.plaintext = result.object.name + "." + secret;
    return result;
}

std::string hash_secret(std::string_view salt, std::string_view secret)
{
    std::string text;
    text.reserve(salt.size() + secret.size());
    text += salt;
    text += secret;
    return sha256_hex(text);
}

} // namespace coltsfootrack::config
