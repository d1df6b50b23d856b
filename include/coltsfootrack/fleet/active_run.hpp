#ifndef COLTSFOOTRACK_FLEET_ACTIVE_RUN_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_ACTIVE_RUN_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::fleet
{

// The phase of a run, as far as the scheduler knows.
enum class run_phase
{
    // The start order was sent and is not answered yet.
    starting,
    // The worker confirmed the start or lists the run.
    running,
    // The start order failed without an answer: the run may exist, or start
    // later.
    uncertain,
    // A stop was requested. The run holds its resources until its end is known.
    stopping
};

// A run that may hold resources on a worker.
struct active_run
{
    std::uint64_t run = 0;
    run_phase phase = run_phase::starting;
    // Counts against the capacity of the worker, unlike `need`.
    base::resources room;
    // Counts against the limit of its team, unlike `room`.
    base::resources need;
    base::team_id team;
    base::time_point ordered_at;
    // When the start was confirmed, or its outcome became uncertain.
    base::time_point known_at;
    // The last stop order: when it was sent or confirmed, whether one is due,
    // and whether the worker confirmed it.
    base::time_point stop_at;
    bool stop_pending = false;
    bool stop_done = false;
    // The start order was not answered, and no report lists the run yet.
    bool start_uncertain = false;
    // The start order has no outcome yet, and no report lists the run.
    bool start_pending = false;
    // Belongs to no task that is known and active: it is stopped, or adopted
    // when the row of its job is loaded.
    bool orphaned = false;
    // An orphan of an unknown job, so that its resources are unknown.
    bool size_unknown = false;
    bool standing = false;
    // The estimated time that the whole task takes.
    base::duration estimate{0};
    bool uses_leftover = false;
    double latency_target_ms = 0;
    // The priority of its queue; 0 is the highest.
    int priority = 0;
    // Saves checkpoints and is no gang member or standing task, so that it may
    // be preempted.
    bool preemptible = false;
    // The last report of its worker that listed it, and the consecutive reports
    // that should have listed it and did not.
    std::uint64_t last_listed_report = 0;
    int missing_reports = 0;
    int percent = 0;
    base::time_point progress_at;
    // The longest time that a percent has taken; zero before the first.
    base::duration slowest_percent{0};
    double load = 0;
    // The speed it is limited to, in percent of full speed.
    int pace = 100;
    std::string checkpoint;
};

} // namespace coltsfootrack::fleet

#endif
