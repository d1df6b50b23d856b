#include "fleet_replay.hpp"

#include <algorithm>
#include <variant>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds tick{5};

// Stops take stop_time and up to three times stop_spread more.
constexpr milliseconds stop_time{200};
constexpr milliseconds stop_spread{50};

// The time from a change on a worker to its report.
constexpr milliseconds report_delay{20};

// Workers answer at least this often.
constexpr milliseconds report_period{500};

const base::time_point origin{std::chrono::seconds(1000)};

} // namespace

fleet_replay::fleet_replay(const fleet_options& options)
    : catalogue_(std::make_shared<catalogue>())
    , fleet_(options, origin)
{
    catalogue_->version = 1;
}

void fleet_replay::add_queue(const queue_policy& queue)
{
    catalogue_->queues[queue.name] = queue;
    catalogue_->services[queue.service].service = queue.service;
}

void fleet_replay::add_team(const team_policy& team)
{
    catalogue_->teams[team.team] = team;
}

void fleet_replay::add_worker(const std::string& id,
                              const base::service_id& service,
                              const base::resources& capacity,
                              const std::string& rack)
{
    replayed_worker added;
    added.listing.worker = base::worker_id(id);
    added.listing.service = service;
    added.listing.capacity = capacity;
    added.listing.labels = {"a", rack};
    workers_.emplace(id, std::move(added));
}

void fleet_replay::submit(milliseconds time, const std::string& id,
                          const std::string& queue,
                          std::vector<jobs::step_spec> steps,
                          const std::string& team)
{
    arrival added;
    added.id = id;
    added.job.queue = queue;
    added.job.team = base::team_id(team);
    added.job.submitted = wall(time);
    added.job.spec.steps = std::move(steps);
    arrivals_.emplace(time, std::move(added));
}

void fleet_replay::lose_worker(milliseconds time, const std::string& id)
{
    workers_.at(id).lost_at = time;
}

void fleet_replay::restart_worker(milliseconds time, const std::string& id)
{
    events_.emplace(time,
                    [this, id]
                    {
                        replayed_worker& worker = workers_.at(id);
                        worker.runs.clear();
                        worker.ended.clear();
                        worker.highest.clear();
                        worker.next_end = 1;
                        worker.last_reported_end = 0;
                        ++worker.life;
                        worker.lease_end = milliseconds(0);
                        note_change(worker);
                    });
}

void fleet_replay::cancel(milliseconds time, const std::string& id)
{
    events_.emplace(time, [this, id]
                    { fleet_.cancel_job(base::job_id(id), at(now_)); });
}

std::vector<fleet_replay::observed_run> fleet_replay::runs() const
{
    std::vector<observed_run> seen;
    for (const auto& [id, worker] : workers_)
    {
        const bool lapsed = is_lost(worker) && worker.lease_end <= now_;
        for (const auto& [key, run] : worker.runs)
        {
            seen.push_back({id, key, run.run, lapsed});
        }
    }
    return seen;
}

void fleet_replay::note_change(replayed_worker& worker)
{
    worker.changed_at = worker.changed_at.value_or(now_);
}

bool fleet_replay::is_lost(const replayed_worker& worker) const
{
    return worker.lost_at && *worker.lost_at <= now_;
}

void fleet_replay::slow_worker(const std::string& id, double factor)
{
    workers_.at(id).factor = factor;
}

base::time_point fleet_replay::at(milliseconds time) const
{
    return origin + time;
}

std::chrono::system_clock::time_point
fleet_replay::wall(milliseconds time) const
{
    return std::chrono::system_clock::time_point(std::chrono::hours(1) + time);
}

void fleet_replay::run(milliseconds until)
{
    fleet_.set_catalogue(catalogue_);
    for (auto& [id, worker] : workers_)
    {
        fleet_.list_worker(worker.listing, at(now_));
    }
    for (; now_ < until; now_ += tick)
    {
        end_runs();
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            const auto action = events_.begin()->second;
            events_.erase(events_.begin());
            action();
        }
        report();
        take_arrivals();
        while (!tickets_.empty() && tickets_.begin()->first <= now_)
        {
            const ticket_order asked = tickets_.begin()->second;
            tickets_.erase(tickets_.begin());
            std::vector<ticket_grant> grants;
            for (const base::worker_id& id : asked.workers)
            {
                grants.push_back({id, "ticket"});
            }
            fleet_.on_tickets(asked.step, asked.workers, grants,
                              at(now_) + asked.valid_for);
        }
        ticket_request_allowance allowance;
        allowance.total = 8;
        allowance.long_requests = 8;
        for (const order& next :
             fleet_.run_round(at(now_), wall(now_), allowance))
        {
            std::visit([this](const auto& value) { carry_out(value); }, next);
        }
    }
}

void fleet_replay::end_runs()
{
    for (auto& [id, worker] : workers_)
    {
        for (auto run = worker.runs.begin(); run != worker.runs.end();)
        {
            const replayed_run& active = run->second;
            const bool stopped = active.stops_at && *active.stops_at <= now_;
            if (active.ends > now_ && !stopped)
            {
                ++run;
                continue;
            }
            const bool done = active.ends <= now_;
            run_end end;
            end.task = run->first;
            end.run = active.run;
            end.kind = active.fails ? end_kind::failed : end_kind::done;
            if (!done)
            {
                end.kind = end_kind::stopped;
                end.checkpoint = active.checkpoints
                                     ? std::to_string(progress(active, now_))
                                     : "";
            }
            run = worker.runs.erase(run);
            end_run(worker, end);
        }
    }
}

void fleet_replay::end_run(replayed_worker& worker, const run_end& end)
{
    std::uint64_t& highest = worker.highest[end.task];
    highest = std::max(highest, end.run);
    worker.ended.push_back(end);
    worker.ended.back().number = worker.next_end++;
    note_change(worker);
}

void fleet_replay::report()
{
    for (auto& [id, worker] : workers_)
    {
        if (is_lost(worker))
        {
            fleet_.on_renewal_failed(worker.listing.worker, at(now_), true);
            continue;
        }
        const bool news =
            worker.changed_at && now_ - *worker.changed_at >= report_delay;
        if (!news && now_ - worker.reported < report_period)
        {
            continue;
        }
        worker.changed_at.reset();
        worker.reported = now_;
        worker_report made;
        made.life = worker.life;
        made.clock = now_;
        made.sent_at = at(now_);
        for (const auto& [key, run] : worker.runs)
        {
            made.running.push_back(
                {key, run.run,
                 run.checkpoints ? std::to_string(progress(run, now_)) : "",
                 static_cast<int>(100 * progress(run, now_)), 0});
        }
        const std::uint64_t known = fleet_.acknowledged(worker.listing.worker);
        worker.ended.erase(std::remove_if(worker.ended.begin(),
                                          worker.ended.end(),
                                          [known](const run_end& end)
                                          { return end.number <= known; }),
                           worker.ended.end());
        made.ended = worker.ended;
        for (const run_end& end : worker.ended)
        {
            if (on_end && end.number > worker.last_reported_end)
            {
                on_end(worker.listing.worker, end);
            }
            worker.last_reported_end =
                std::max(worker.last_reported_end, end.number);
        }
        fleet_.on_report(worker.listing.worker, made, at(now_));
        if (const auto lease =
                fleet_.grant_lease(worker.listing.worker, at(now_)))
        {
            worker.lease_end = std::max(worker.lease_end, *lease);
        }
    }
}

void fleet_replay::take_arrivals()
{
    while (!arrivals_.empty() && arrivals_.begin()->first <= now_)
    {
        const auto& [time, added] = *arrivals_.begin();
        const queue_policy& queue = catalogue_->queues.at(added.job.queue);
        const auto path = jobs::critical_path(added.job.spec, milliseconds(0));
        outcome& made = outcomes_[added.id];
        made.queue = added.job.queue;
        made.submitted = time;
        made.objective =
            std::chrono::duration_cast<milliseconds>(path * queue.stretch) +
            queue.slack;
        fleet_.add_job(base::job_id(added.id), added.job, {}, false, at(now_),
                       wall(now_));
        arrivals_.erase(arrivals_.begin());
    }
}

double fleet_replay::progress(const replayed_run& run, milliseconds now)
{
    return run.saved +
           (1 - run.saved) *
               static_cast<double>((now - run.begun) / milliseconds(1)) /
               static_cast<double>(std::max<std::int64_t>(
                   1, (run.ends - run.begun) / milliseconds(1)));
}

void fleet_replay::carry_out(const start_order& next)
{
    ++starts_;
    if (on_start)
    {
        on_start(next);
    }
    replayed_worker& worker = workers_.at(next.worker.text());
    start_fate what = fate ? fate(next) : start_fate::carried_out;
    what = is_lost(worker) ? start_fate::lost : what;
    if (what == start_fate::lost)
    {
        fleet_.on_start(next.worker, next.task, next.run,
                        order_outcome::unknown, at(now_));
        return;
    }
    const auto highest = worker.highest.find(next.task);
    if (highest != worker.highest.end() && highest->second >= next.run)
    {
        fleet_.on_start(next.worker, next.task, next.run,
                        order_outcome::old_run, at(now_));
        return;
    }
    const jobs::step_spec& spec =
        fleet_.jobs()
            .at(next.task.step.job)
            .submission.spec
            .steps[static_cast<std::size_t>(next.task.step.step)];
    replayed_run added;
    added.run = next.run;
    added.begun = now_;
    added.saved = next.checkpoint.empty() ? 0 : std::stod(next.checkpoint);
    added.ends = now_ + std::chrono::duration_cast<milliseconds>(
                            spec.estimate * worker.factor * (1 - added.saved));
    added.checkpoints = spec.checkpoints;
    added.fails = fails && fails(next);
    worker.runs[next.task] = added;
    note_change(worker);
    fleet_.on_start(next.worker, next.task, next.run,
                    what == start_fate::unanswered ? order_outcome::unknown
                                                   : order_outcome::carried_out,
                    at(now_));
}

void fleet_replay::carry_out(const stop_order& next)
{
    ++stops_;
    replayed_worker& worker = workers_.at(next.worker.text());
    if (is_lost(worker))
    {
        fleet_.on_stop(next.worker, next.task, next.run, order_outcome::unknown,
                       at(now_));
        return;
    }
    const auto found = worker.runs.find(next.task);
    std::uint64_t& highest = worker.highest[next.task];
    highest = std::max(highest, next.run);
    if (found != worker.runs.end() && !found->second.stops_at)
    {
        // Spread, so that runs stopped together do not end together.
        found->second.stops_at = now_ + stop_time + (stops_ % 4) * stop_spread;
    }
    fleet_.on_stop(next.worker, next.task, next.run, order_outcome::carried_out,
                   at(now_));
}

void fleet_replay::carry_out(const pace_order& /*next*/)
{
}

void fleet_replay::carry_out(const ticket_order& next)
{
    tickets_.emplace(now_ + next.expected, next);
}

void fleet_replay::carry_out(const save_order& next)
{
    fleet_.on_saved(next.job, next.change, at(now_));
    const auto state = fleet_.state_of(next.job);
    outcome& ended = outcomes_[next.job.text()];
    if (state && jobs::is_final(*state) && !ended.finished)
    {
        ended.finished = now_;
        ended.state = *state;
    }
}

double fleet_replay::on_time(const std::string& queue) const
{
    int all = 0;
    int good = 0;
    for (const auto& [id, job] : outcomes_)
    {
        if (job.queue == queue)
        {
            ++all;
            good += job.on_time() ? 1 : 0;
        }
    }
    return all == 0 ? 1 : static_cast<double>(good) / all;
}

} // namespace coltsfootrack::fleet
