// The JSON form of a member row.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/cell/member_row.hpp>

#include <nlohmann/json.hpp>

namespace coltsfootrack::cell
{

std::string encode_member(const wire::peer_address& value)
{
    return nlohmann::json{{"zone", value.zone.text()},
                          {"address", value.address},
                          {"port", value.port}}
        .dump();
}

absl::StatusOr<wire::peer_address> decode_member(const base::daemon_id& daemon,
                                                 std::string_view text)
{
    try
    {
        const auto in = nlohmann::json::parse(text);
        wire::peer_address value;
        value.daemon = daemon;
        value.zone = base::zone_id(in.at("zone").get<std::string>());
        value.address = in.at("address").get<std::string>();
        value.port = in.at("port").get<std::uint16_t>();
        return value;
    }
    catch (const nlohmann::json::exception& error)
    {
        return base::make_error(base::error_kind::internal,
                                std::string("member row: ") + error.what());
    }
}

} // namespace coltsfootrack::cell
