#ifndef COLTSFOOTRACK_TEST_STANDINS_PLATFORM_PLATFORM_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_PLATFORM_PLATFORM_HPP_INCLUDED

#include "standins/support/event_loop.hpp"
#include "standins/support/exchange.hpp"
#include "table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::standins
{

// The platform stand-in: the interfaces of section 3.10 of docs/design.md, with
// faults on request.
//
// Control endpoints, which no fault affects:
// - POST /control/faults with any of
//     "down": connections are reset, and nothing takes effect;
//     "refuse": 503 is answered, and nothing takes effect;
//     "slow_ms": answers are delayed by this much, effects are not;
//     "lose_answers": this many commits take effect and get no answer;
//     "lose_every": every nth commit takes effect and gets no answer;
//     "delay_commits", "delay_ms": this many commits take effect after this
//     delay, and get no answer.
//   GET returns the current faults.
// - PUT /control/vms {"vms", "lag_ms"}: GET /v1/vms lists them after the lag.
// - PUT /control/history {"record": bool}; GET returns the recorded commits.
// - GET /control/counts: the counts in total, and of each of the last 600
//   seconds.
class platform
{
public:
    explicit platform(event_loop& loop);

    void handle(const std::shared_ptr<exchange>& current);

private:
    struct second_counts
    {
        std::uint64_t commits = 0;
        std::uint64_t rows_written = 0;
        std::uint64_t reads = 0;
        std::uint64_t bytes_in = 0;
        std::uint64_t bytes_out = 0;
    };

    void handle_control(exchange& current);
    void handle_commit(const std::shared_ptr<exchange>& current);
    void handle_object(const std::shared_ptr<exchange>& current);
    // Answers after "slow_ms".
    void reply(const std::shared_ptr<exchange>& current, int status,
               const nlohmann::json& body, const std::string& tag = {});
    void handle_vms(const std::shared_ptr<exchange>& current);
    void set_vms(const nlohmann::json& body);
    nlohmann::json counts() const;
    second_counts& this_second();
    static nlohmann::json to_json(const second_counts& counts);

    event_loop& loop_;
    table table_;
    std::map<std::string, std::string> objects_;
    nlohmann::json vms_ = nlohmann::json::array();
    std::uint64_t vms_version_ = 0;
    nlohmann::json faults_;
    std::uint64_t commit_count_ = 0;
    event_loop::clock::time_point start_ = event_loop::clock::now();
    second_counts total_;
    std::map<std::int64_t, second_counts> seconds_;
};

} // namespace coltsfootrack::standins

#endif
