#ifndef COLTSFOOTRACK_TEST_STANDINS_WORKER_WORKER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_WORKER_WORKER_HPP_INCLUDED

#include "event_sender.hpp"
#include "standins/support/event_loop.hpp"
#include "standins/support/exchange.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::standins
{

// A worker whose tasks are timers. It ends its tasks when its lease lapses,
// refuses older epochs, and starts each token at most once.
//
// Control endpoints, which no fault affects:
// - GET /control/history: {"history": [entry...]}; an entry has "at_ms" (the
//   machine's monotonic clock), "event" ("started" or "ended"), "reason",
//   "job", "index", "token", "team", "exclusive" and "resources".
// - POST /control/faults with any of
//     "cut": requests are reset and no event is sent;
//     "fail_all": each task fails at once;
//     "run_factor": actual run time in percent of the declared one;
//     "usage_percent": actual usage in percent of the declared size.
class worker
{
public:
    worker(event_loop& loop, event_sender& sender, std::string name);

    void handle(const std::shared_ptr<exchange>& current);

private:
    using time_point = event_loop::clock::time_point;

    struct running
    {
        nlohmann::json command;
        std::uint64_t number = 0;
        bool stopping = false;
    };

    void adopt(exchange& current, const nlohmann::json& body);
    void sync(exchange& current, const nlohmann::json& body);
    std::string execute(const nlohmann::json& command);
    std::string start(const nlohmann::json& command);
    std::string stop(const nlohmann::json& command);
    void end_task(const std::string& token, const std::string& outcome,
                  const std::string& reason);
    // False if the lease would have lapsed already.
    bool renew_lease(const nlohmann::json& body);
    void check_lease();
    bool lease_valid() const;
    void record(const char* event, const nlohmann::json& command,
                const std::string& reason);
    void send_events();

    event_loop& loop_;
    event_sender& sender_;
    std::string name_;
    std::string owner_;
    std::uint64_t epoch_ = 0;
    time_point lease_end_{};
    std::map<std::string, running> tasks_;
    // Tokens that were started, so that a repeated command has no effect.
    std::map<std::string, bool> known_tokens_;
    std::uint64_t last_number_ = 0;
    nlohmann::json events_ = nlohmann::json::array();
    bool sending_ = false;
    nlohmann::json history_ = nlohmann::json::array();
    nlohmann::json faults_;
};

} // namespace coltsfootrack::standins

#endif
