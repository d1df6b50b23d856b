#ifndef COLTSFOOTRACK_CONFIG_FIELD_READER_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_FIELD_READER_HPP_INCLUDED

#include "error_list.hpp"

#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/config/address.hpp>

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootrack::config
{

// Reads the fields of one JSON object and checks type and range of each.
//
// Every function adds an error if the field is missing or invalid, and then
// returns a default value, so that the caller goes on to find the other errors.
// The functions also record which fields are known: call report_unknown_fields
// after the last one.
//
// Thread safety: none.
class field_reader
{
public:
    // The value and errors must outlive the reader. A value that is not an
    // object is one error, and none is added for its fields.
    field_reader(const nlohmann::json& value, std::string path,
                 error_list& errors);

    // 1 to 63 of a-z, 0-9, '-' and '_', beginning with a letter or digit.
    std::string name(std::string_view field);

    // As name, but empty if the field is absent.
    std::string optional_name(std::string_view field);

    // At least one byte and at most max_bytes, without control characters.
    std::string text(std::string_view field, std::size_t max_bytes);

    // Exactly the given number of lower-case hexadecimal digits.
    std::string hex(std::string_view field, std::size_t digits);

    // An integer from lowest to highest. Without a default, it is required.
    std::int64_t
    integer(std::string_view field, std::int64_t lowest, std::int64_t highest,
            std::optional<std::int64_t> default_value = std::nullopt);

    // A boolean; false if the field is absent.
    bool optional_bool(std::string_view field);

    // A boolean that is required.
    bool required_bool(std::string_view field);

    // The index of a string among the choices. Without a default, it is
    // required.
    std::size_t choice(std::string_view field,
                       const std::vector<std::string_view>& choices,
                       std::optional<std::size_t> default_value = std::nullopt);

    // An address in the form that parse_address accepts.
    address endpoint(std::string_view field);

    // An object with the fields of base::resources, each from its value in
    // lowest to a maximum that keeps sums over the fleet within 64 bits.
    base::resources resource_amounts(std::string_view field,
                                     const base::resources& lowest);

    // A required array of at most max_size elements, or null after an error.
    const nlohmann::json* array(std::string_view field, std::size_t max_size);

    // Whether the field is present.
    bool has(std::string_view field) const;

    // Whether the field is an array without elements.
    bool is_empty_array(std::string_view field) const;

    // An optional object; null if it is absent. A value that is not an object
    // is reported by the field_reader that is made for it.
    const nlohmann::json* optional_object(std::string_view field);

    // As optional_object, but an absent field is an error.
    const nlohmann::json* required_object(std::string_view field);

    // Adds an error for a field; for checks that involve several fields.
    void add_error(std::string_view field, std::string_view message);

    // The path of a field, for example "objects[2].limit".
    std::string path_of(std::string_view field) const;

    // Adds an error for each field that no function has read, with the closest
    // known name.
    void report_unknown_fields();

private:
    bool read_bool(std::string_view field, bool required);
    const nlohmann::json* find(std::string_view field, bool required);

    const nlohmann::json* value_;
    std::string path_;
    error_list* errors_;
    std::vector<std::string_view> known_fields_;
};

// Whether a text is a valid name; see field_reader::name.
bool is_name(std::string_view text);

// The choice with the smallest edit distance to the text, the first one in a
// tie; empty without choices.
std::string_view closest_match(std::string_view text,
                               const std::vector<std::string_view>& choices);

} // namespace coltsfootrack::config

#endif
