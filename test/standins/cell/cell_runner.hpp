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

// One runner of the users, as their pages describe it: fencing, a lease on its
// own clock, numbered ends until they are acknowledged, checkpoints, and
// tickets. It starts whatever it is told to. A task's payload says how it goes:
// "MILLISECONDS PERCENT", where that part of its runs fails.
//
// Thread safety: runs on the event loop.
class cell_runner
{
public:
    // Takes each fact: {"kind": start|end|listed|ack|lapse|life, ...}; "listed"
    // is the first answer to a renewal that shows an end.
    using recorder = std::function<void(nlohmann::json)>;

    // Whether a ticket is valid for a step and a worker.
    using ticket_check =
        std::function<bool(const std::string& step, const std::string& worker,
                           const std::string& ticket)>;

    cell_runner(event_loop& loop, std::string id, recorder record,
                ticket_check check);

    void handle(const std::shared_ptr<exchange>& call);

    // Loses everything and starts again, at once.
    void restart();

    // Answers nothing while dark; tasks go on.
    void set_dark(bool dark);

    // Orders get no answer and are carried out later.
    void set_late(std::chrono::milliseconds late);

    const std::string& id() const
    {
        return id_;
    }

private:
    using json = nlohmann::json;
    using steady = std::chrono::steady_clock;

    struct active
    {
        std::uint64_t run = 0;
        steady::time_point started;
        std::chrono::milliseconds needed{0};
        bool fails = false;
    };

    void carry_out(const http::request& request,
                   const std::function<void(http::response)>& reply);
    http::response start(const json& body);
    http::response stop(const json& body);
    void hold(const json& body,
              const std::function<void(http::response)>& reply);
    http::response lists();
    http::response refuse(const char* reason) const;
    bool fenced(const json& body);
    void extend(const json& body);
    void finish(const std::string& task, std::uint64_t run,
                const std::string& how);
    void check_lease();
    std::int64_t clock() const;

    event_loop& loop_;
    std::string id_;
    recorder record_;
    ticket_check check_;
    bool dark_ = false;
    std::chrono::milliseconds late_{0};
    std::int64_t life_ = 0;
    steady::time_point born_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_end_ = 0;
    bool lapsed_ = true;
    std::uint64_t next_end_ = 1;
    std::uint64_t listed_upto_ = 0;
    std::map<std::string, active> running_;
    std::map<std::uint64_t, json> ended_;
    std::map<std::string, std::uint64_t> highest_;
    std::map<std::string, int> failures_;
    std::vector<std::function<void()>> waiting_;
};

} // namespace coltsfootrack::standins

#endif
