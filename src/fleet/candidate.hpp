#ifndef COLTSFOOTRACK_SRC_FLEET_CANDIDATE_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_FLEET_CANDIDATE_HPP_INCLUDED

#include <coltsfootrack/fleet/job_record.hpp>
#include <coltsfootrack/fleet/queue_policy.hpp>
#include <coltsfootrack/fleet/service_round.hpp>
#include <coltsfootrack/jobs/step_key.hpp>

#include <tuple>
#include <utility>
#include <vector>

namespace coltsfootrack::fleet
{

// A step that has tasks to start, or will have soon.
struct candidate
{
    job_record* job = nullptr;
    const queue_policy* queue = nullptr;
    service_round* round = nullptr;
    step_record* record = nullptr;
    const jobs::step_spec* spec = nullptr;
    jobs::step_key key;
    // The tasks to start; empty for a step whose turn comes soon.
    std::vector<int> pending;
    // The workers that may run the step, as far as is known: those with its
    // label, and with a ticket where it needs one, fresh or not. In ascending
    // order of their numbers.
    std::vector<worker_record*> allowed;
    // What it has reserved in this round: room on workers, and of the limit of
    // its team. Whether the limit is free for it or can be made free.
    std::vector<std::pair<const worker_record*, base::resources>> reserved;
    base::resources claimed;
    bool limit_coming = false;
    // Among the first of its service that found no room.
    bool considered = true;
    // The place in the order; lower goes first.
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
