// key create.

#include "command.hpp"
#include "output.hpp"

#include <coltsfootrack/config/generated_key.hpp>
#include <coltsfootrack/config/ticket_object.hpp>

#include <ostream>

namespace coltsfootrack::cli
{
namespace
{

absl::Status create(const options& given, const environment& outside)
{
    const absl::StatusOr<config::generated_key> key = config::generate_key(
        given.id, base::team_id(given.team), outside.random);
    if (!key.ok())
    {
        return key.status();
    }
    const std::string object = config::canonical_json(key->object);
    if (given.json)
    {
        print_result(given, outside,
                     {{"key", key->plaintext},
                      {"object", nlohmann::json::parse(object)}});
        return absl::OkStatus();
    }
    *outside.out << "Key, shown only once:\n"
                 << key->plaintext << "\n\nObject for a ticket:\n"
                 << object << '\n';
    return absl::OkStatus();
}

} // namespace

std::vector<command> key_commands()
{
    return {{"key create",
             {},
             "Make a key; print it once, and the object for a ticket.",
             {"team", "id"},
             create}};
}

} // namespace coltsfootrack::cli
