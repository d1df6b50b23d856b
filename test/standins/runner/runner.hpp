#ifndef COLTSFOOTRACK_TEST_STANDINS_RUNNER_RUNNER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_RUNNER_RUNNER_HPP_INCLUDED

#include "standins/support/event_loop.hpp"
#include "standins/support/exchange.hpp"

#include <coltsfootrack/http/response.hpp>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::standins
{

// A runner with a number of slots: POST /run with {"work_ms", "mark"} answers
// with the mark after that time; it is refused while all slots are in use or
// the runner is leaving.
//
// Control endpoints:
// - POST /control/faults with any of
//     "leaving": new requests are refused;
//     "truncate", "duplicate", "reset_before", "reset_after": this many of the
//     next requests get the fault; the last two reset the connection before or
//     after the request ran;
//     "delay_ms": each answer is delayed by this much.
// - GET /control/history: {"history": [{"at_ms", "attempt", "mark"}...]}, one
//   entry for each request that ran.
class runner
{
public:
    runner(event_loop& loop, int slots);

    void handle(const std::shared_ptr<exchange>& current);

private:
    void run(const std::shared_ptr<exchange>& current);
    void finish(const std::shared_ptr<exchange>& current,
                const std::string& mark);
    bool take_fault(const char* fault);
    http::response make_answer(const exchange& current, int status,
                               const nlohmann::json& body) const;

    event_loop& loop_;
    int slots_;
    int used_ = 0;
    nlohmann::json faults_;
    nlohmann::json history_ = nlohmann::json::array();
};

} // namespace coltsfootrack::standins

#endif
