// Stored format of the right to cancel: JSON.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/cell/cancel_right.hpp>

#include <nlohmann/json.hpp>

namespace coltsfootrack::cell
{

std::string encode(const cancel_right& value)
{
    const nlohmann::json out = {{"team", value.team.text()},
                                {"open_queue", value.open_queue}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<cancel_right> decode_cancel_right(const std::string& text)
{
    try
    {
        const nlohmann::json in = nlohmann::json::parse(text);
        return cancel_right{base::team_id(in.at("team").get<std::string>()),
                            in.at("open_queue").get<std::string>()};
    }
    catch (const nlohmann::json::exception& error)
    {
        return base::make_error(base::error_kind::internal,
                                std::string("cancel row: ") + error.what());
    }
}

} // namespace coltsfootrack::cell
