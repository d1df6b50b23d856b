#ifndef COLTSFOOTRACK_TEST_STANDINS_PLATFORM_TABLE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_PLATFORM_TABLE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::standins
{

// The transactional table, in memory. Used on one thread.
class table
{
public:
    // The answer to POST /v1/table/commit, with its HTTP status: 200, 409, or
    // 400 for a malformed body.
    struct result
    {
        int status;
        nlohmann::json body;
    };

    result commit(const nlohmann::json& body);

    // The answer to POST /v1/table/read.
    result read(const nlohmann::json& body) const;

    // Switches recording on or off; history returns the commits recorded since,
    // at most 200,000.
    void record(bool on);
    nlohmann::json history() const;

    std::uint64_t sequence() const
    {
        return sequence_;
    }

private:
    struct stored_row
    {
        std::uint64_t version;
        nlohmann::json value;
    };

    static nlohmann::json row_json(const std::string& key,
                                   const stored_row& row);

    std::uint64_t sequence_ = 0;
    std::map<std::string, stored_row> rows_;
    bool recording_ = false;
    nlohmann::json history_ = nlohmann::json::array();
};

} // namespace coltsfootrack::standins

#endif
