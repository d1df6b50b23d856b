#ifndef COLTSFOOTRACK_CONFIG_TICKET_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_TICKET_HPP_INCLUDED

#include <coltsfootrack/config/ticket_object.hpp>

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootrack::config
{

// Limits of a ticket. One commit writes its objects twice (log and object rows)
// and must stay under the table's 500 writes and 1 MiB.
constexpr std::size_t max_ticket_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_ticket_objects = 400;

// The largest ticket number; JSON numbers are exact up to 2^53.
constexpr std::uint64_t max_ticket_number = 1'000'000'000'000'000;

// A numbered change, which holds the full new state of each object it writes.
struct ticket
{
    // 1 to max_ticket_number.
    std::uint64_t number = 0;
    std::string author;
    // In ascending order of kind and name; each object occurs once.
    std::vector<ticket_object> objects;

    friend bool operator==(const ticket& a, const ticket& b)
    {
        return a.number == b.number && a.author == b.author &&
               a.objects == b.objects;
    }

    friend bool operator!=(const ticket& a, const ticket& b)
    {
        return !(a == b);
    }
};

// Reads a ticket from JSON with comments. All errors are reported at once:
// invalid_ticket, one line "path: message" per error, where the path names the
// field, for example "objects[2].limit.cpu_milli".
absl::StatusOr<ticket> parse_ticket(std::string_view text);

// The ticket as JSON without spaces, with fields in alphabetical order and
// objects in ascending order; parse_ticket reads it back.
std::string canonical_json(const ticket& value);

// SHA-256 of the canonical JSON, 64 hexadecimal digits. It does not depend on
// comments, spaces, or the order of fields and objects.
std::string content_hash(const ticket& value);

} // namespace coltsfootrack::config

#endif
