#ifndef COLTSFOOTRACK_TEST_STANDINS_CELL_CELL_STORE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_CELL_CELL_STORE_HPP_INCLUDED

#include "standins/support/event_loop.hpp"
#include "standins/support/exchange.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::standins
{

// The users' store as their pages describe it: rows in tables and parts, with
// conditional transactions, range reads and a feed of changes. Each port has
// its own faults, so that the store can fail for a single daemon.
//
// Thread safety: runs on the event loop.
class cell_store
{
public:
    using row_key = std::tuple<std::string, std::string, std::string>;

    // The faults of the calls on one port.
    struct faults
    {
        // Calls are answered 503 and have no effect.
        bool busy = false;
        // The delay of each answer.
        std::chrono::milliseconds delay{0};
        // The percentage of writes that take effect and are not answered, and
        // of those that take effect after late_by and are not answered.
        int lost_percent = 0;
        int late_percent = 0;
        std::chrono::milliseconds late_by{0};
    };

    cell_store(event_loop& loop, std::uint64_t seed);

    void handle(int port, const std::shared_ptr<exchange>& call);

    void set_faults(int port, const faults& value);

    // Drops the history of changes: feeds from before now are answered 410.
    void compact();

    // Writes of the platform itself.
    void write(const std::string& table, const std::string& key,
               const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    struct feed_call
    {
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<exchange> call;
        std::chrono::milliseconds delay{0};
        bool done = false;
    };

    http::response transact(const nlohmann::json& body);
    http::response read_range(const http::request& request) const;
    void follow_feed(int port, const std::shared_ptr<exchange>& call);
    nlohmann::json changes(const std::string& table, std::uint64_t after) const;
    nlohmann::json row_json(const row_key& key, const row& value) const;
    void answer_feeds();
    std::chrono::milliseconds now() const;

    event_loop& loop_;
    std::mt19937_64 random_;
    std::chrono::steady_clock::time_point start_;
    std::uint64_t version_ = 0;
    std::uint64_t compacted_version_ = 0;
    std::map<row_key, row> rows_;
    std::map<int, faults> faults_;
    std::vector<std::shared_ptr<feed_call>> feed_calls_;
};

} // namespace coltsfootrack::standins

#endif
