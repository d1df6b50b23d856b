#ifndef COLTSFOOTRACK_STORE_SESSION_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_SESSION_ROW_HPP_INCLUDED

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::store
{

// The value of `session/<daemon>`.
//
// A successor that fences the daemon reads the row, sets only `fenced`, and
// writes it on condition of the version that it read. It must keep token and
// predecessor: they tell the fenced daemon whether its last commit applied.
struct session_row
{
    std::string incarnation;
    std::string zone;
    std::string address;
    // Incremented with each commit of the incarnation.
    std::uint64_t counter = 0;
    // Unique for each commit.
    std::string token;
    // The token of the row that this incarnation replaced when it started.
    std::string predecessor;
    bool fenced = false;

    nlohmann::json to_json() const;

    // peer_protocol if a field is missing or has the wrong type.
    static absl::StatusOr<session_row> from_json(const nlohmann::json& value);
};

} // namespace coltsfootrack::store

#endif
