#ifndef COLTSFOOTRACK_FLEET_ACTIVE_RUN_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_ACTIVE_RUN_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::fleet
{

// How far a run has come, as far as the scheduler knows.
enum class run_phase
{
    // Ordered, without an answer.
    starting,
    // The worker confirmed the start or lists the run.
    running,
    // The order got no answer: the run may be there, or come later.
    uncertain,
    // A stop was ordered. The run counts until its end is known.
    stopping
};

// A run that may take room on a worker.
struct active_run
{
    std::uint64_t run = 0;
    run_phase phase = run_phase::starting;
    // What it takes of the capacity of the worker.
    base::resources room;
    // What it takes of the limit of its team.
    base::resources need;
    base::team_id team;
    base::time_point ordered_at;
    // When the start was confirmed, or the outcome became uncertain.
    base::time_point known_at;
    // The last order to stop, if any, and whether the worker carried it out.
    base::time_point stop_at;
    bool stop_pending = false;
    bool stop_done = false;
    // The order to start it was not answered, and no report shows it yet.
    bool start_uncertain = false;
    // No task of a known job: it is stopped, or adopted when its job's row
    // comes.
    bool stray = false;
    // A stray of which the room is not known.
    bool unmeasured = false;
    bool standing = false;
    bool uses_leftover = false;
    double latency_target_ms = 0;
    // The priority of its queue; 0 comes first.
    int priority = 0;
    // Saves checkpoints and runs on without others, so that it may be stopped
    // for urgent work.
    bool preemptible = false;
    // The last report of its worker that listed it, and the settled reports
    // in a row that did not.
    std::uint64_t listed_in = 0;
    int missing = 0;
    int percent = 0;
    base::time_point progress_at;
    double load = 0;
    // The share of its speed that it was given, in percent.
    int pace = 100;
    std::string checkpoint;
};

} // namespace coltsfootrack::fleet

#endif
