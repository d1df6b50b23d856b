// The scenario of a queue that moves between two services, and of workers that
// are lost, cut off or leave near changes of leaders.

#include "cell_simulation.hpp"

#include <algorithm>
#include <fmt/core.h>

namespace coltsfootrack::simulation
{
namespace
{

// How long a worker answers after it has announced its departure, unless it is
// cut off.
constexpr milliseconds departure_notice{6000};

constexpr milliseconds shortest_cut{2000};
constexpr milliseconds longest_cut{14000};

// A round of faults begins within the first of these times, its change of
// leaders within the second one, and the next round follows after the third.
constexpr milliseconds round_begin{2000};
constexpr milliseconds leader_round{6000};
constexpr milliseconds longest_round{12000};

} // namespace

simulation_options moving_scenario(std::uint64_t seed)
{
    simulation_options made;
    made.seed = seed;
    made.workers = 12;
    made.length = std::chrono::seconds(80);
    made.longest_task = milliseconds(8000);
    made.longest_job_interval = milliseconds(2000);
    made.finish_limit = std::chrono::seconds(120);
    made.faults = false;
    made.any_first_clock = true;
    made.moving_queue = true;
    return made;
}

// Changes the service that the catalogue names for the queue.
void cell_simulation::move_queue()
{
    if (faults_over_)
    {
        return;
    }
    store_.put({"op", "", "config"}, std::to_string(++catalogue_version_));
    if (options_.keep_history)
    {
        note(fmt::format("the queue moves, version {}", catalogue_version_));
    }
    time_.after(time_.between(milliseconds(500), milliseconds(9000)),
                [this] { move_queue(); });
}

// One round: workers that are lost or leave, and a change of leaders near it.
void cell_simulation::inject_moves()
{
    if (faults_over_)
    {
        return;
    }
    for (auto left = time_.between(0, 2); left > 0; --left)
    {
        time_.after(time_.between(milliseconds(0), round_begin),
                    [this] { inject_loss_while_moving(); });
    }
    if (time_.chance(70))
    {
        time_.after(time_.between(milliseconds(0), leader_round),
                    [this]
                    {
                        const auto led = leader();
                        if (led && !nodes_[*led].paused && time_.chance(50))
                        {
                            hand_over(*led);
                            return;
                        }
                        inject_leader_fault();
                    });
    }
    if (time_.chance(20))
    {
        lost_answers_percent_ = 30;
        time_.after(time_.between(milliseconds(1000), milliseconds(4000)),
                    [this] { lost_answers_percent_ = 0; });
    }
    time_.after(time_.between(leader_round, longest_round),
                [this] { inject_moves(); });
}

// A worker is lost for good, is cut off, or announces its departure; of the
// last ones some are cut off before they leave.
void cell_simulation::inject_loss_while_moving()
{
    const auto id = pick_steady_worker();
    if (faults_over_ || !id)
    {
        return;
    }
    worker_entry& worker = workers_.at(*id);
    const auto kind = time_.between(0, 3);
    const milliseconds length = time_.between(shortest_cut, longest_cut);
    if (options_.keep_history)
    {
        note(fmt::format("fault: {} kind={} ms={}", *id, kind, length.count()));
    }
    if (kind == 0)
    {
        worker.model->crash();
        replace_worker(worker.zone);
        return;
    }
    milliseconds cut_after{0};
    if (kind >= 2)
    {
        worker.leaving = true;
        list(*id, worker);
        replace_worker(worker.zone);
        time_.after(kind == 2 ? departure_notice : longest_cut,
                    [this, id = *id] { leave(id); });
        cut_after = time_.between(milliseconds(0), departure_notice);
    }
    if (kind == 2)
    {
        return;
    }
    time_.after(cut_after,
                [this, &worker, length]
                {
                    worker.cut_from = "*";
                    worker.cut_from_store = true;
                    time_.after(length,
                                [&worker]
                                {
                                    worker.cut_from.clear();
                                    worker.cut_from_store = false;
                                });
                });
}

// A worker ends and removes its entry, if it reaches the store.
void cell_simulation::leave(const std::string& id)
{
    worker_entry& worker = workers_.at(id);
    ++departures_;
    worker.model->crash();
    if (worker.listed && !worker.cut_from_store && reaches_store(worker.zone))
    {
        store_.remove({"workers", "", id});
        worker.listed = false;
        worker.heard = base::time_point();
    }
}

} // namespace coltsfootrack::simulation
