// The JSON form of the leader row.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/cell/leader_row.hpp>

#include <nlohmann/json.hpp>

namespace coltsfootrack::cell
{

std::string encode(const leader_row& value)
{
    return nlohmann::json{{"epoch", value.epoch},
                          {"daemon", value.daemon.text()},
                          {"incarnation", value.incarnation}}
        .dump();
}

absl::StatusOr<leader_row> decode_leader_row(std::string_view text,
                                             std::uint64_t version)
{
    try
    {
        const auto in = nlohmann::json::parse(text);
        leader_row value;
        value.epoch = in.at("epoch").get<std::uint64_t>();
        value.daemon = base::daemon_id(in.at("daemon").get<std::string>());
        value.incarnation = in.at("incarnation").get<std::uint64_t>();
        value.version = version;
        return value;
    }
    catch (const nlohmann::json::exception& error)
    {
        return base::make_error(base::error_kind::internal,
                                std::string("leader row: ") + error.what());
    }
}

} // namespace coltsfootrack::cell
