#ifndef COLTSFOOTRACK_TEST_SIMULATION_WORKER_MODEL_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SIMULATION_WORKER_MODEL_HPP_INCLUDED

#include "simulation/virtual_time.hpp"

#include <coltsfootrack/cell/worker_port.hpp>

#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::simulation
{

// What the model needs to know of a task: how long it runs, and whether this
// run of it fails.
struct task_behaviour
{
    milliseconds runtime{0};
    bool fails = false;
};

// One worker of the platform: keeps the highest fencing token, runs under a
// lease on its own clock, which it shortens to the longest one, lists ends
// until they are acknowledged, refuses runs that are not higher than one that
// was stopped or has ended. A restart keeps its id and loses everything else.
class worker_model
{
public:
    using behaviour =
        std::function<task_behaviour(const jobs::task_key&, std::uint64_t run)>;
    using recorder = std::function<void(const nlohmann::json&)>;
    // What the clock of a life starts at.
    using first_clock = std::function<milliseconds(std::uint64_t life)>;

    worker_model(virtual_time& time, std::string id, behaviour tasks,
                 recorder record, first_clock clock_at_start);

    // The calls as they arrive. `done` is called with the answer, for a renewal
    // with a wait perhaps only later.
    void renew(const cell::lease_renewal& renewal,
               const std::function<void(cell::renewal_result)>& done);
    fleet::start_result start(std::uint64_t epoch,
                              const fleet::start_order& order,
                              milliseconds lease_end);
    fleet::order_outcome stop(std::uint64_t epoch,
                              const fleet::stop_order& order);

    // Runs nothing until it is started again, with another life.
    void crash();
    void restart();

    bool up() const
    {
        return up_;
    }

    // Differs for each life.
    std::uint64_t life() const
    {
        return life_;
    }

    const std::string& id() const
    {
        return id_;
    }

private:
    struct active_run
    {
        std::uint64_t run = 0;
        // Distinguishes it from an earlier one of the same number.
        std::uint64_t number = 0;
    };

    struct waiting_renewal
    {
        std::function<void(cell::renewal_result)> done;
    };

    milliseconds clock() const;
    void end(const jobs::task_key& task, fleet::end_kind kind);
    void extend_lease(milliseconds end);
    void expire_lease(std::uint64_t life);
    void acknowledge(std::uint64_t number);
    void answer_waiting();
    cell::renewal_result report();
    void record(const char* kind, const jobs::task_key& task, std::uint64_t run,
                nlohmann::json more = {});

    virtual_time& time_;
    std::string id_;
    behaviour tasks_;
    recorder record_;
    first_clock clock_at_start_;
    bool up_ = true;
    std::uint64_t life_ = 1;
    base::time_point born_;
    std::uint64_t fence_ = 0;
    milliseconds lease_end_{0};
    bool lease_check_scheduled_ = false;
    std::map<jobs::task_key, active_run> runs_;
    // The highest run of a task that was stopped or has ended here.
    std::map<jobs::task_key, std::uint64_t> highest_;
    std::deque<fleet::run_end> ended_;
    std::uint64_t next_end_ = 1;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, waiting_renewal> waiting_;
    std::uint64_t next_waiting_ = 0;
};

// The task as the history names it.
std::string name_of(const jobs::task_key& task);

} // namespace coltsfootrack::simulation

#endif
