#ifndef COLTSFOOTRACK_CLI_TEXT_TABLE_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_TEXT_TABLE_HPP_INCLUDED

#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::cli
{

// Formats a JSON object as human-readable text. Single values come first, one
// aligned line "field  value" each, with nested objects as "outer.inner". Each
// array of objects follows as a table with a title; objects with a "type" are
// grouped into one table for each type. Control characters are replaced, so
// that an answer cannot send escape sequences to the terminal.
std::string text_of(const nlohmann::json& object);

} // namespace coltsfootrack::cli

#endif
