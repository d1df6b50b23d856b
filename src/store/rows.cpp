// The session row in JSON, and look-ups in the results of reads.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/store/read_result.hpp>
#include <coltsfootrack/store/session_row.hpp>

#include <algorithm>

namespace coltsfootrack::store
{

nlohmann::json session_row::to_json() const
{
    return {{"incarnation", incarnation},
            {"zone", zone},
            {"address", address},
            {"counter", counter},
            {"token", token},
            {"predecessor", predecessor},
            {"fenced", fenced}};
}

absl::StatusOr<session_row> session_row::from_json(const nlohmann::json& value)
{
    try
    {
        session_row parsed;
        parsed.incarnation = value.at("incarnation").get<std::string>();
        parsed.zone = value.at("zone").get<std::string>();
        parsed.address = value.at("address").get<std::string>();
        parsed.counter = value.at("counter").get<std::uint64_t>();
        parsed.token = value.at("token").get<std::string>();
        parsed.predecessor = value.at("predecessor").get<std::string>();
        parsed.fenced = value.at("fenced").get<bool>();
        return parsed;
    }
    catch (const nlohmann::json::exception& error)
    {
        return base::make_error(base::error_kind::peer_protocol,
                                std::string("session row: ") + error.what());
    }
}

const row* read_result::find(std::string_view key) const
{
    const auto found =
        std::lower_bound(rows.begin(), rows.end(), key,
                         [](const row& each, std::string_view wanted)
                         { return each.key < wanted; });
    return found != rows.end() && found->key == key ? &*found : nullptr;
}

} // namespace coltsfootrack::store
