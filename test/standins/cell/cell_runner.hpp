#ifndef COLTSFOOTRACK_TEST_STANDINS_CELL_CELL_RUNNER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_CELL_CELL_RUNNER_HPP_INCLUDED

#include "standins/support/event_loop.hpp"
#include "standins/support/exchange.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::standins
{

// A runner as the pages of the users describe it: fencing, a lease on its own
// clock, numbered ends that it lists until they are acknowledged,
// checkpoints, and tickets. It does not check its capacity. The payload of a
// task is "MILLISECONDS PERCENT": how long its runs take, and how many of them
// fail.
//
// Thread safety: runs on the event loop.
class cell_runner
{
public:
    // Takes each event: {"kind": start|end|listed|ack|lapse|life, ...}.
    // "listed" is the first answer to a renewal that lists the end; "life" is a
    // start of the runner itself.
    using recorder = std::function<void(nlohmann::json)>;

    // Whether a ticket is valid for a step and a worker.
    using ticket_check =
        std::function<bool(const std::string& step, const std::string& worker,
                           const std::string& ticket)>;

    cell_runner(event_loop& loop, std::string id, recorder record,
                ticket_check check);

    void handle(const std::shared_ptr<exchange>& call);

    // Restarts at once, without any of the former state.
    void restart();

    // While set, no call is answered; tasks continue.
    void set_unresponsive(bool unresponsive);

    // While the delay is not 0, orders to start or stop get no answer and take
    // effect after it.
    void set_order_delay(std::chrono::milliseconds delay);

    const std::string& id() const
    {
        return id_;
    }

private:
    using json = nlohmann::json;
    using steady = std::chrono::steady_clock;

    struct running_task
    {
        std::uint64_t run = 0;
        steady::time_point started;
        std::chrono::milliseconds duration{0};
        bool fails = false;
    };

    void carry_out(const http::request& request,
                   const std::function<void(http::response)>& reply);
    http::response start(const json& body);
    http::response stop(const json& body);
    void renew_lease(const json& body,
                     const std::function<void(http::response)>& reply);
    http::response make_report();
    http::response refuse(const char* reason) const;
    // Whether the fence token is outdated; if not, it is remembered.
    bool is_fenced(const json& body);
    void extend_lease(const json& body);
    void finish(const std::string& task, std::uint64_t run,
                const std::string& how);
    void check_lease();
    std::int64_t clock() const;

    event_loop& loop_;
    std::string id_;
    recorder record_;
    ticket_check check_;
    bool unresponsive_ = false;
    std::chrono::milliseconds order_delay_{0};
    std::int64_t incarnation_ = 0;
    steady::time_point started_at_;
    std::uint64_t highest_fence_token_ = 0;
    std::int64_t lease_end_ = 0;
    bool lease_lapsed_ = true;
    std::uint64_t next_end_ = 1;
    std::uint64_t highest_listed_end_ = 0;
    std::map<std::string, running_task> running_;
    std::map<std::uint64_t, json> ended_;
    std::map<std::string, std::uint64_t> highest_run_;
    std::map<std::string, int> failures_;
    std::vector<std::function<void()>> held_renewals_;
};

} // namespace coltsfootrack::standins

#endif
