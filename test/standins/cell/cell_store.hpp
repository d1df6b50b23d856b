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

// The users' store, as their pages describe it: rows in tables and parts, with
// conditional transactions, ranges and a feed of changes. Each port that it is
// reached by has faults of its own, so that it can turn single daemons away.
//
// Thread safety: runs on the event loop.
class cell_store
{
public:
    using row_key = std::tuple<std::string, std::string, std::string>;

    // What a port does with its calls.
    struct faults
    {
        // Answers 503 without doing anything.
        bool busy = false;
        // Added to each answer.
        std::chrono::milliseconds delay{0};
        // The part of the writes that are done and not answered, in percent,
        // and of those that are done only after late_by.
        int lost_percent = 0;
        int late_percent = 0;
        std::chrono::milliseconds late_by{0};
    };

    cell_store(event_loop& loop, std::uint64_t seed);

    void handle(int port, const std::shared_ptr<exchange>& call);

    void set_faults(int port, const faults& value);

    // Drops the history of changes: reads of it are answered 410.
    void compact();

    // What the platform itself writes.
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

    struct waiter
    {
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<exchange> call;
        std::chrono::milliseconds delay{0};
        bool done = false;
    };

    http::response transact(const nlohmann::json& body);
    http::response range(const http::request& request) const;
    void follow(int port, const std::shared_ptr<exchange>& call);
    nlohmann::json changes(const std::string& table, std::uint64_t after) const;
    nlohmann::json row_json(const row_key& key, const row& value) const;
    void wake();
    std::chrono::milliseconds now() const;

    event_loop& loop_;
    std::mt19937_64 random_;
    std::chrono::steady_clock::time_point start_;
    std::uint64_t version_ = 0;
    std::uint64_t history_from_ = 0;
    std::map<row_key, row> rows_;
    std::map<int, faults> faults_;
    std::vector<std::shared_ptr<waiter>> waiters_;
};

} // namespace coltsfootrack::standins

#endif
