#ifndef COLTSFOOTRACK_TEST_STANDINS_RUNNER_RUNNER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_RUNNER_RUNNER_HPP_INCLUDED

#include "standins/support/event_loop.hpp"
#include "standins/support/exchange.hpp"
#include "standins/support/history.hpp"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::standins
{

// One runner: POST /run {"work_ms", ...} with X-Attempt-Id takes a slot for the
// given time and answers {"attempt", "echo": the body}.
//
// Control: POST /control/faults with any of
//   "down": connections are reset and nothing runs;
//   "leaving": refused with X-Refused: leaving;
//   "delay_ms": each answer is this late, after the slot is free again;
// and of the counts, of which -1 means always:
//   "reset_before": reset without running; "reset_after": reset after running;
//   "truncate": half an answer; "duplicate": the answer twice;
//   "wrong_attempt": the answer names another attempt.
// GET /control/history: the executions, with their request's X-Attempt-Id and
// Idempotency-Key, and the refusals. GET /control/state.
class runner
{
public:
    runner(event_loop& loop, std::string name, std::int64_t slots);

    void handle(const std::shared_ptr<exchange>& current);

    // Control calls, also used for all runners of the process.
    void set(const nlohmann::json& faults);
    const history& facts() const;
    nlohmann::json state() const;

private:
    void handle_control(exchange& current);
    void run(const std::shared_ptr<exchange>& current);
    void finish(const std::shared_ptr<exchange>& current,
                const std::string& attempt);
    void refuse(exchange& current, const std::string& reason);
    void record(const std::string& fact, const http::request& message);
    bool take(const char* fault);

    event_loop& loop_;
    std::string name_;
    std::int64_t slots_;
    std::int64_t busy_ = 0;
    nlohmann::json faults_;
    history history_;
};

} // namespace coltsfootrack::standins

#endif
