#ifndef COLTSFOOTRACK_SRC_FLEET_CANDIDATE_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_FLEET_CANDIDATE_HPP_INCLUDED

#include <coltsfootrack/fleet/job_record.hpp>
#include <coltsfootrack/fleet/queue_policy.hpp>
#include <coltsfootrack/fleet/service_round.hpp>
#include <coltsfootrack/jobs/step_key.hpp>

#include <map>
#include <tuple>
#include <vector>

namespace coltsfootrack::fleet
{

// What a task takes of a worker.
struct place_on_worker
{
    const worker_record* worker = nullptr;
    base::resources room;
    std::int64_t leftover = 0;
};

// What a step has reserved on a worker.
struct reserved_place
{
    base::resources room;
    // The tasks that the room is for.
    int tasks = 0;
};

// A step that has tasks to start, or will soon.
struct candidate
{
    job_record* job = nullptr;
    const queue_policy* queue = nullptr;
    service_round* round = nullptr;
    step_record* record = nullptr;
    const jobs::step_spec* spec = nullptr;
    jobs::step_key key;
    // The tasks to start; empty for a step that will be ready soon.
    std::vector<int> pending;
    // The standing tasks that run on workers which leave.
    std::vector<int> departing;
    // The workers that are known to be able to run the step: those with its
    // label and, where it needs one, a ticket, expired or not. Ordered by
    // number if it needs tickets, otherwise by id.
    std::vector<worker_record*> eligible;
    // What it has reserved in this round: places on workers, by
    // worker_record::number, and a part of the limit of its team.
    std::map<int, reserved_place> reserved;
    base::resources claimed;
    // The places that are held for its pending tasks, the same as in
    // worker_record::held_room and held_leftover.
    std::vector<place_on_worker> held_places;
    // Whether the limit allows it, if need be after preemption.
    bool limit_attainable = false;
    // False for a step without room beyond the first max_considered_steps of
    // its service: the round does nothing for it.
    bool considered = true;
    // Lower goes first.
    int rank = 0;
    base::time_point due;

    // Lower goes first. The key breaks ties, so that the order is total.
    friend bool operator<(const candidate& a, const candidate& b)
    {
        return std::tie(a.rank, a.due, a.key) < std::tie(b.rank, b.due, b.key);
    }
};

} // namespace coltsfootrack::fleet

#endif
