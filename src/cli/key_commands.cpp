// The command key create.

#include "command.hpp"
#include "output.hpp"

#include <coltsfootrack/config/generated_key.hpp>
#include <coltsfootrack/config/ticket_object.hpp>

#include <ostream>

namespace coltsfootrack::cli
{
namespace
{

absl::Status create(const options& opts, const environment& env)
{
    const absl::StatusOr<config::generated_key> key =
        config::generate_key(opts.id, base::team_id(opts.team), env.random);
    if (!key.ok())
    {
        return key.status();
    }
    const std::string object = config::canonical_json(key->object);
    if (opts.json)
    {
        print_result(opts, env,
                     {{"key", key->plaintext},
                      {"object", nlohmann::json::parse(object)}});
        return absl::OkStatus();
    }
    *env.out << "Key, shown only once:\n"
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
