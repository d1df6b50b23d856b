// The work of the leader: orders, lease renewals and the stored progress of
// jobs. The takeover is in leadership_takeover.cpp, the check after a pause in
// leadership_pause.cpp.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/leadership.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "leader";

// Rounds use at most 1 / round_time_divisor of the control thread's time: the
// next starts no earlier than this many times the length of the last after it.
constexpr int round_time_divisor = 4;

// The round trip of a ticket request to a peer in another region.
constexpr std::chrono::milliseconds ticket_round_trip{60};

} // namespace

leadership::leadership(daemon::control_loop& loop, const base::clock& clock,
                       const cell_options& options, const ports& cell_ports,
                       const row_layout& layout, daemon::metrics& metrics,
                       std::uint64_t epoch, hooks callbacks)
    : loop_(loop)
    , clock_(clock)
    , options_(
          [&]
          {
              cell_options own = options;
              own.fleet.epoch = epoch;
              return own;
          }())
    , ports_(cell_ports)
    , layout_(layout)
    , metrics_(metrics)
    , hooks_(std::move(callbacks))
    , fleet_(options_.fleet, clock.now())
    , begun_at_(clock.now())
    , roster_(layout.part_count())
    , departures_(options.worker_report_interval)
    , last_round_(clock.now())
    , pauses_(options.paused_after, clock.now())
    , removing_(layout.part_count(), false)
    , alive_(std::make_shared<bool>(true))
{
    register_metrics();
}

leadership::~leadership()
{
    log_starts(unconfirmed_starts_, true);
    clear_worker_counts();
}

std::function<void()> leadership::guarded(std::function<void()> action) const
{
    return [alive = std::weak_ptr<bool>(alive_), action = std::move(action)]
    {
        if (!alive.expired())
        {
            action();
        }
    };
}

void leadership::report_lost(const std::string& reason)
{
    if (lost_)
    {
        return;
    }
    lost_ = true;
    // Posted, since the owner destroys this object in the callback.
    loop_.post(guarded([this, reason] { hooks_.on_lost(reason); }));
}

void leadership::set_catalogue(std::shared_ptr<const fleet::catalogue> value)
{
    catalogue_ = value;
    fleet_.set_catalogue(std::move(value));
    request_round();
}

void leadership::on_job(const base::job_id& id, const std::string& row)
{
    if (!loaded_)
    {
        early_jobs_[id] = row;
        return;
    }
    add_stored_job(id, row);
    request_round();
}

void leadership::add_stored_job(const base::job_id& id, const std::string& row)
{
    const auto stored = loaded_progress_.find(id);
    if (row.empty() && stored != loaded_progress_.end() &&
        jobs::is_final(stored->second.state))
    {
        fleet_.add_job(id, jobs::job_submission(), stored->second, true,
                       clock_.now(), clock_.wall());
        return;
    }
    const auto job = jobs::decode_submission(row);
    if (!job.ok())
    {
        base::log(base::log_level::error, log_part,
                  "Job row cannot be parsed. job={} error={}", id.text(),
                  std::string(job.status().message()));
        return;
    }
    if (job->leader_epoch > epoch())
    {
        report_lost("a job was stored under a later leader");
        return;
    }
    fleet_.add_job(id, *job,
                   stored == loaded_progress_.end() ? jobs::job_progress()
                                                    : stored->second,
                   job->leader_epoch != epoch(), clock_.now(), clock_.wall());
    apply_early_cancels(id);
}

void leadership::on_cancel(const base::job_id& id)
{
    if (!loaded_)
    {
        early_cancels_.push_back(id);
        return;
    }
    fleet_.cancel_job(id, clock_.now());
    request_round();
}

std::optional<jobs::job_state>
leadership::state_of(const base::job_id& job) const
{
    return loaded_ ? fleet_.state_of(job) : std::nullopt;
}

std::map<std::string, int> leadership::waiting_counts() const
{
    return fleet_.waiting_counts();
}

void leadership::request_round()
{
    pauses_.note_activity(clock_.now());
    if (round_requested_ || lost_)
    {
        return;
    }
    round_requested_ = true;
    const base::time_point now = clock_.now();
    // A long round must leave the thread time for other work.
    const auto due = last_round_ + std::max<base::duration>(
                                       options_.min_round_interval,
                                       round_time_divisor * last_round_time_);
    if (due <= now)
    {
        loop_.post(guarded([this] { run_round(); }));
        return;
    }
    loop_.after(due - now, guarded([this] { run_round(); }));
}

void leadership::run_round()
{
    round_requested_ = false;
    if (!loaded_ || lost_)
    {
        return;
    }
    if (pauses_.paused(clock_.now()))
    {
        confirm_leadership();
        return;
    }
    last_round_ = clock_.now();
    list_complete_ =
        list_complete_ ||
        (list_read_ && (!hooks_.list_complete || hooks_.list_complete()));
    fleet_.set_list_complete(list_complete_);
    const std::vector<fleet::order> orders = fleet_.run_round(
        last_round_, clock_.wall(), hooks_.ticket_request_allowance());
    for (const fleet::order& order : orders)
    {
        std::visit([this](const auto& value) { carry_out(value); }, order);
    }
    log_starts(ordered_starts_, false);
    renew_all();
    probe_unstored_workers();
    write_roster();
    hooks_.commit();
    last_round_time_ = clock_.now() - last_round_;
}

void leadership::carry_out(const fleet::start_order& order)
{
    const auto found = fleet_.workers().find(order.worker);
    const auto lease = grant_lease(order.worker);
    if (found == fleet_.workers().end() || !lease)
    {
        fleet_.on_start(order.worker, order.task, order.run,
                        fleet::order_outcome::unhealthy, clock_.now());
        return;
    }
    metrics_.count_event("task_start_ordered");
    ordered_starts_.push_back({order.task, order.run, order.worker,
                               fleet::order_outcome::carried_out});
    const base::time_point sent = clock_.now();
    ports_.workers.start(
        found->second.listing, epoch(), order, *lease,
        sent + options_.send_limit,
        posted<fleet::start_result>(
            [this, worker = order.worker, task = order.task, run = order.run,
             sent](const fleet::start_result& result)
            {
                const fleet::order_outcome outcome = result.outcome;
                const bool restarted =
                    result.clock &&
                    fleet_.on_clock(worker, *result.clock, sent, clock_.now());
                if (outcome != fleet::order_outcome::carried_out)
                {
                    record_unconfirmed({task, run, worker, outcome});
                }
                record_outcome(call_kind::start, outcome, worker);
                fleet_.on_start(worker, task, run, outcome, clock_.now());
                if (outcome == fleet::order_outcome::unknown || restarted)
                {
                    probe_worker(worker);
                }
                if (outcome != fleet::order_outcome::carried_out ||
                    acknowledge_ends(worker, renewals_[worker]))
                {
                    request_round();
                }
            }));
}

void leadership::carry_out(const fleet::stop_order& order)
{
    const auto found = fleet_.workers().find(order.worker);
    if (found == fleet_.workers().end())
    {
        return;
    }
    metrics_.count_event("task_stop_ordered");
    ports_.workers.stop(
        found->second.listing, epoch(), order,
        posted<fleet::order_outcome>(
            [this, worker = order.worker, task = order.task,
             run = order.run](fleet::order_outcome outcome)
            {
                record_outcome(call_kind::stop, outcome, worker);
                fleet_.on_stop(worker, task, run, outcome, clock_.now());
                if (fleet_.has_uncertain_start(worker))
                {
                    probe_worker(worker);
                }
            }));
}

void leadership::carry_out(const fleet::pace_order& order)
{
    const auto found = fleet_.workers().find(order.worker);
    if (found == fleet_.workers().end())
    {
        return;
    }
    metrics_.count_event("task_pace_ordered");
    ports_.workers.pace(
        found->second.listing, epoch(), order,
        posted<fleet::order_outcome>(
            [this, worker = order.worker](fleet::order_outcome outcome)
            { record_outcome(call_kind::pace, outcome, worker); }));
}

void leadership::carry_out(const fleet::ticket_order& order)
{
    metrics_.count_event("ticket_request");
    // A ticket is valid from the decision on; the answer may have been queued
    // here for a while before it is handled.
    const base::time_point latest_decision =
        clock_.now() + order.expected + ticket_round_trip;
    hooks_.ask_tickets(
        order,
        [this, alive = std::weak_ptr<bool>(alive_), order, latest_decision](
            std::optional<std::vector<fleet::ticket_grant>> grants)
        {
            if (alive.expired())
            {
                return;
            }
            if (!grants)
            {
                metrics_.count_event("ticket_request_failed");
            }
            fleet_.on_tickets(order.step, order.workers, grants,
                              std::min(clock_.now(), latest_decision) +
                                  order.valid_for);
            request_round();
        });
}

void leadership::carry_out(const fleet::save_order& order)
{
    const std::size_t part = layout_.part_of(order.job);
    hooks_.committer(part).update(
        layout_.progress(order.job), order.text, order.urgent, clock_.now(),
        [this, alive = std::weak_ptr<bool>(alive_), job = order.job,
         change = order.change](write_status status)
        {
            if (alive.expired())
            {
                return;
            }
            if (status == write_status::fenced)
            {
                report_lost("the fence of a job part has changed");
                return;
            }
            if (status == write_status::rejected)
            {
                metrics_.count_event("progress_rejected");
                fleet_.on_save_rejected(job, clock_.now());
                request_round();
                return;
            }
            fleet_.on_saved(job, change, clock_.now());
            if (const auto state = fleet_.state_of(job);
                state && jobs::is_final(*state))
            {
                empty_final_job(job);
            }
            acknowledge_ends();
            request_round();
        });
}

// Tells workers at once which ends they may forget. A worker lists its ends
// until then, and does not wait with its answers; one whose ends are not stored
// yet learns nothing from a further renewal.
void leadership::acknowledge_ends()
{
    for (auto& [id, state] : renewals_)
    {
        acknowledge_ends(id, state);
    }
}

bool leadership::acknowledge_ends(const base::worker_id& worker,
                                  renewal_state& state)
{
    if (fleet_.stored_ends(worker) <= state.acknowledged ||
        fleet_.acknowledged(worker) <= state.acknowledged)
    {
        return false;
    }
    state.next_at = std::min(state.next_at, clock_.now());
    return true;
}

// A leader that may have been replaced grants no lease: the next one assumes,
// seconds after taking over, that all leases of this one have expired, even at
// workers that only this one reaches.
std::optional<std::chrono::milliseconds>
leadership::grant_lease(const base::worker_id& worker)
{
    if (pauses_.paused(clock_.now()) ||
        (hooks_.isolated && hooks_.isolated()) || !roster_.stored(worker))
    {
        return std::nullopt;
    }
    return fleet_.grant_lease(worker, clock_.now());
}

// Removes a worker from the stored ones that announced its departure, is off
// the list and does not answer, as a daemon near it confirms. Otherwise the
// jobs of a service would wait for its lease after each change of leaders near
// such a departure. A worker that is cut off from the store and the daemons
// looks the same and runs on, so the removal of its entry has to prove that it
// has left, or its lease must have expired.
void leadership::remove_departed(const base::worker_id& id)
{
    const auto found = fleet_.workers().find(id);
    if (found == fleet_.workers().end() || !found->second.listing.leaving ||
        found->second.listed || !found->second.unresponsive ||
        !found->second.silence_confirmed)
    {
        return;
    }
    const bool left = departures_.has_left(id);
    if (left || fleet_.lease_expired(id, clock_.now()))
    {
        log_removal(id, left);
        roster_.remove(id);
    }
}

void leadership::log_removal(const base::worker_id& id, bool left) const
{
    if (roster_.contains(id))
    {
        base::log(base::log_level::info, log_part,
                  "Departed worker no longer waited for. worker={} reason={}",
                  id.text(), left ? "left" : "lease_expired");
    }
}

void leadership::renew_all()
{
    const base::time_point now = clock_.now();
    for (auto it = renewals_.begin(); it != renewals_.end();)
    {
        renewal_state& state = it->second;
        if (state.in_flight || state.next_at > now)
        {
            ++it;
            continue;
        }
        if (!fleet_.has_worker(it->first))
        {
            roster_.remove(it->first);
            departures_.forget(it->first);
            it = renewals_.erase(it);
            continue;
        }
        renew(it->first, state);
        ++it;
    }
}

void leadership::renew(const base::worker_id& id, renewal_state& state)
{
    const base::time_point now = clock_.now();
    const fleet::worker_record& worker = fleet_.workers().at(id);
    lease_renewal request;
    request.epoch = epoch();
    request.acknowledged = fleet_.acknowledged(id);
    request.lease_end = grant_lease(id);
    // The worker is to answer at once if it has not reported yet, may be lost,
    // or has ends that are not stored yet.
    const bool waits = worker.synced && !worker.unresponsive &&
                       worker.ends_seen == worker.ends_durable;
    request.wait = waits ? renewal_wait() : std::chrono::milliseconds(0);
    request.unresponsive = worker.unresponsive;
    request.send_by = now + options_.send_limit;
    state.in_flight = true;
    state.acknowledged = request.acknowledged;
    if (worker.unresponsive && !worker.listed && fleet_.lease_expired(id, now))
    {
        check_way_to(worker);
    }
    ports_.workers.renew(worker.listing, request,
                         posted<renewal_result>(
                             [this, id, now](renewal_result result)
                             {
                                 result.report.sent_at = now;
                                 on_renewed(id, result);
                             }));
}

std::chrono::milliseconds leadership::renewal_wait() const
{
    const auto wait = std::chrono::milliseconds(std::chrono::seconds(1)) *
                      fleet_.workers().size() /
                      options_.idle_renewals_per_second;
    return std::clamp<std::chrono::milliseconds>(
        wait, options_.min_renewal_wait, options_.max_renewal_wait);
}

// Asks a worker at once for the outcome of an unanswered order, besides the
// renewal that may be waiting there for an end.
void leadership::probe_worker(const base::worker_id& id)
{
    const auto worker = fleet_.workers().find(id);
    renewal_state& state = renewals_[id];
    if (worker == fleet_.workers().end() || state.probing)
    {
        return;
    }
    const base::time_point now = clock_.now();
    lease_renewal request;
    request.epoch = epoch();
    request.acknowledged = fleet_.acknowledged(id);
    request.lease_end = grant_lease(id);
    request.send_by = now + options_.send_limit;
    state.probing = true;
    ports_.workers.renew(
        worker->second.listing, request,
        posted<renewal_result>(
            [this, id, now](renewal_result result)
            {
                renewals_[id].probing = false;
                record_outcome(call_kind::probe, result.outcome, id);
                if (result.outcome == fleet::order_outcome::carried_out)
                {
                    result.report.sent_at = now;
                    fleet_.on_report(id, result.report, clock_.now());
                    note_answer(id);
                    request_round();
                }
            }));
}

void leadership::on_renewed(const base::worker_id& id,
                            const renewal_result& result)
{
    renewal_state& state = renewals_[id];
    state.in_flight = false;
    const base::time_point now = clock_.now();
    record_outcome(call_kind::renewal, result.outcome, id);
    if (result.outcome != fleet::order_outcome::carried_out)
    {
        if (result.outcome == fleet::order_outcome::other_worker)
        {
            fleet_.on_replaced(id);
        }
        const auto failed = fleet_.workers().find(id);
        const bool known = failed != fleet_.workers().end();
        const bool again = known && failed->second.unresponsive;
        fleet_.on_renewal_failed(
            id, result.report.sent_at,
            known && is_silence_confirmed(failed->second, result));
        remove_departed(id);
        if (again)
        {
            withdraw_idle_worker(id);
        }
        state.next_at = now + options_.renewal_retry_pause;
        loop_.after(options_.renewal_retry_pause,
                    guarded([this] { request_round(); }));
        return;
    }
    fleet_.on_report(id, result.report, now);
    const auto worker = fleet_.workers().find(id);
    if (worker != fleet_.workers().end() && !roster_.stored(id))
    {
        // It may have been taken for departed; its tasks keep their lease.
        roster_.add(worker->second.listing);
    }
    // A further renewal would list the same ends.
    const bool waits = worker != fleet_.workers().end() &&
                       worker->second.ends_seen != fleet_.acknowledged(id);
    state.next_at = waits ? now + options_.renewal_pause : now;
    request_round();
}

} // namespace coltsfootrack::cell
