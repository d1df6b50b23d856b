#ifndef COLTSFOOTRACK_CONFIG_JSON_TEXT_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_JSON_TEXT_HPP_INCLUDED

#include "error_list.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace coltsfootrack::config
{

// Parses JSON with comments, or adds errors and returns nothing. Texts above
// max_bytes are errors, and so are duplicate fields, of which the JSON library
// would silently keep the last. Errors give the position but never quote the
// text, which may contain a secret.
std::optional<nlohmann::json>
parse_json(std::string_view text, std::size_t max_bytes, error_list& errors);

} // namespace coltsfootrack::config

#endif
