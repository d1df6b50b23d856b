#ifndef COLTSFOOTRACK_TEST_STANDINS_WORKER_WORKER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_WORKER_WORKER_HPP_INCLUDED

#include "standins/support/event_loop.hpp"
#include "standins/support/event_sender.hpp"
#include "standins/support/exchange.hpp"
#include "standins/support/history.hpp"

#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace coltsfootrack::standins
{

// One worker with the protocol of section 3.10. Tasks are timers.
//
// Control:
// - POST /control/settings with any of
//     "down": the VM has failed: connections are reset, tasks are lost;
//     "fail_all": tasks fail after "fail_after_ms";
//     "duration_factor", "size_factor": real value / declared value;
//     "stop_ms": how long a task takes to stop, at most the grace;
//     "usage_lag_ms": tasks appear in the usage this long after their start;
//     "answer_delay_ms": each answer is this late.
// - POST /control/job {"job", "duration_ms", "cpu_milli", "memory_mb"}: the
//   real values of the tasks of one job that start from now on.
// - GET /control/history, GET /control/state.
class worker
{
public:
    worker(event_loop& loop, event_sender& sender, std::string name,
           const base::resources& capacity);

    void handle(const std::shared_ptr<exchange>& current);

    // Control calls, also used for all workers of the process.
    void set(const nlohmann::json& settings);
    void set_job(const nlohmann::json& values);
    const history& facts() const;
    nlohmann::json state() const;

private:
    using task_key = std::pair<std::string, std::uint32_t>;

    struct task
    {
        std::string token;
        std::string team;
        bool exclusive = false;
        base::resources declared;
        base::resources real;
        std::int64_t started_ms = 0;
        bool throttled = false;
        // Distinguishes this run in timers from later ones of the same task.
        std::uint64_t run = 0;
    };

    struct answer
    {
        int status;
        nlohmann::json body;
    };

    answer adopt(const nlohmann::json& body);
    answer sync(const nlohmann::json& body);
    answer control(const http::request& message, const nlohmann::json& body);
    std::string execute(const nlohmann::json& command);
    std::string start(const task_key& key, const nlohmann::json& command);
    std::string stop(const task_key& key, const nlohmann::json& command);
    void end_after(const task_key& key, std::uint64_t run, std::int64_t delay,
                   const std::string& outcome, const std::string& reason);
    void end(const task_key& key, const std::string& outcome,
             const std::string& reason);
    void renew_lease(std::int64_t lease_ms);
    void lapse();
    void fail_vm();
    void send_events();
    void record(const std::string& fact, const task_key& key,
                const task& entry);
    base::resources in_use() const;
    nlohmann::json usage() const;

    event_loop& loop_;
    event_sender& sender_;
    std::string name_;
    base::resources capacity_;
    nlohmann::json settings_;
    std::map<std::string, nlohmann::json> jobs_;
    history history_;

    std::int64_t epoch_ = 0;
    std::string owner_;
    bool adopted_ = false;
    std::uint64_t lease_number_ = 0;
    std::map<task_key, task> tasks_;
    // Tokens of all starts so far, which are executed once.
    std::map<std::string, std::string> known_tokens_;
    std::uint64_t runs_ = 0;
    nlohmann::json events_ = nlohmann::json::array();
    bool sending_ = false;
};

} // namespace coltsfootrack::standins

#endif
