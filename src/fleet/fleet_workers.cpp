// Workers of a fleet: the platform's list, leases, and the outcomes of orders.
// Their health is in fleet_health.cpp.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

} // namespace

void fleet::list_worker(const worker_listing& listing, base::time_point now)
{
    const auto found = workers_.find(listing.worker);
    if (found == workers_.end())
    {
        worker_record added(listing,
                            worker_lease(options_.lease, options_.longest_lease,
                                         options_.lease_delivery));
        added.number = static_cast<int>(workers_by_number_.size());
        const auto placed =
            workers_.emplace(listing.worker, std::move(added)).first;
        workers_by_number_.push_back(&placed->second);
        base::log(base::log_level::info, log_part,
                  "Worker listed. worker={} service={} address={} leaving={}",
                  listing.worker.text(), listing.service.text(),
                  listing.address, listing.leaving);
        return;
    }
    worker_record& worker = found->second;
    if (worker.listing.leaving != listing.leaving)
    {
        base::log(base::log_level::info, log_part,
                  "Worker state changed. worker={} leaving={}",
                  listing.worker.text(), listing.leaving);
    }
    if (!(worker.listing == listing))
    {
        worker.refused_until = std::min(worker.refused_until, now);
        worker.quarantined_until = std::min(worker.quarantined_until, now);
    }
    worker.listing = listing;
    worker.listed = true;
}

void fleet::expect_workers(const std::vector<worker_listing>& workers,
                           base::time_point now)
{
    for (const worker_listing& listing : workers)
    {
        if (!has_worker(listing.worker))
        {
            list_worker(listing, now);
            unlist_worker(listing.worker);
            workers_.at(listing.worker).former_service = listing.service;
        }
    }
}

void fleet::unlist_worker(const base::worker_id& id)
{
    const auto found = workers_.find(id);
    if (found != workers_.end() && found->second.listed)
    {
        found->second.listed = false;
        base::log(base::log_level::info, log_part,
                  "Worker no longer listed. worker={} runs={}", id.text(),
                  found->second.runs.size());
    }
}

void fleet::set_list_complete(bool complete)
{
    list_complete_ = complete;
}

bool fleet::has_worker(const base::worker_id& id) const
{
    return workers_.count(id) != 0;
}

std::optional<std::chrono::milliseconds>
fleet::grant_lease(const base::worker_id& id, base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second.unresponsive)
    {
        return std::nullopt;
    }
    return found->second.lease.grant(now);
}

std::uint64_t fleet::acknowledged(const base::worker_id& id) const
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second.ends_durable == 0)
    {
        return 0;
    }
    const worker_record& worker = found->second;
    // A worker that has restarted under the same id numbers its ends from 1
    // again. It has ends only if a start has reached it.
    const bool may_have_restarted =
        worker.unresponsive || worker.restart_seen_at ||
        std::any_of(worker.runs.begin(), worker.runs.end(),
                    [](const auto& entry) {
                        return entry.second.start_pending ||
                               entry.second.start_uncertain;
                    });
    return may_have_restarted ? 0 : worker.ends_durable;
}

bool fleet::awaits_start(const base::worker_id& id, const jobs::task_key& task,
                         std::uint64_t run) const
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return false;
    }
    const auto active = found->second.runs.find(task);
    return active != found->second.runs.end() && active->second.run == run &&
           active->second.phase == run_phase::starting &&
           active->second.start_pending;
}

std::uint64_t fleet::stored_ends(const base::worker_id& id) const
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? 0 : found->second.ends_durable;
}

bool fleet::on_clock(const base::worker_id& id, std::chrono::milliseconds clock,
                     base::time_point sent, base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() ||
        found->second.lease.same_clock(clock, sent, now))
    {
        return false;
    }
    base::log(base::log_level::info, log_part,
              "Worker has restarted since its last report. worker={} "
              "clock_ms={} last_clock_ms={}",
              id.text(), clock.count(), found->second.report_clock.count());
    found->second.restart_seen_at = now;
    return true;
}

void fleet::on_renewal_failed(const base::worker_id& id, base::time_point sent,
                              bool confirmed)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    worker_record& worker = found->second;
    if (!worker.unresponsive)
    {
        worker.unresponsive = true;
        base::log(base::log_level::info, log_part,
                  "Worker does not answer. worker={} runs={} confirmed={} "
                  "listed={}",
                  id.text(), worker.runs.size(), confirmed, worker.listed);
    }
    const auto note = [confirmed](unanswered_renewals& renewals)
    {
        ++renewals.count;
        renewals.confirmed += confirmed ? 1 : 0;
    };
    if (lease_expired(worker, sent))
    {
        note(worker.unanswered_after_lease);
        if (worker.lease.expired_in_later_life(sent))
        {
            note(worker.unanswered_after_later_lease);
        }
        worker.last_unanswered_at = sent;
    }
    worker.silence_confirmed = confirmed;
}

void fleet::on_replaced(const base::worker_id& id)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    worker_record& worker = found->second;
    if (!worker.replaced)
    {
        base::log(base::log_level::info, log_part,
                  "Worker replaced: another one answers at its address. "
                  "worker={} runs={}",
                  id.text(), worker.runs.size());
    }
    worker.replaced = true;
    worker.unresponsive = true;
    drop_all_runs(worker);
}

bool fleet::has_uncertain_start(const base::worker_id& id) const
{
    const auto found = workers_.find(id);
    return found != workers_.end() && !found->second.unresponsive &&
           std::any_of(found->second.runs.begin(), found->second.runs.end(),
                       [](const auto& entry)
                       {
                           const active_run& run = entry.second;
                           return run.phase == run_phase::uncertain ||
                                  (run.phase == run_phase::stopping &&
                                   run.stop_done && run.start_uncertain);
                       });
}

void fleet::on_start(const base::worker_id& id, const jobs::task_key& task,
                     std::uint64_t run, order_outcome outcome,
                     base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    worker_record& worker = found->second;
    const auto active = worker.runs.find(task);
    if (active == worker.runs.end() || active->second.run != run)
    {
        return;
    }
    const bool pending = std::exchange(active->second.start_pending, false);
    if (outcome == order_outcome::carried_out)
    {
        note_started(task);
        if (active->second.phase == run_phase::starting)
        {
            active->second.phase = run_phase::running;
            active->second.known_at = now;
            active->second.progress_at = now;
        }
        return;
    }
    if (outcome == order_outcome::unknown)
    {
        active->second.start_uncertain =
            active->second.start_uncertain || pending;
        if (active->second.phase == run_phase::starting)
        {
            active->second.phase = run_phase::uncertain;
            active->second.known_at = now;
        }
        return;
    }
    if (active->second.phase == run_phase::running)
    {
        // The refusal of a retried order: the first one was executed.
        return;
    }
    drop_run(worker, active);
    step_record* step = find_step(task.step);
    if (step == nullptr)
    {
        return;
    }
    if (outcome == order_outcome::bad_ticket)
    {
        step->tickets.erase(worker.number);
    }
    else if (outcome == order_outcome::old_run)
    {
        // The worker has seen a run that this leader does not know of.
        constexpr std::uint64_t skipped_runs = 100;
        find_task(task)->last_run += skipped_runs;
    }
    else if (outcome != order_outcome::late)
    {
        worker.refused_until = now + options_.refusal_backoff;
    }
}

void fleet::on_stop(const base::worker_id& id, const jobs::task_key& task,
                    std::uint64_t run, order_outcome outcome,
                    base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    const auto active = found->second.runs.find(task);
    if (active == found->second.runs.end() || active->second.run != run ||
        active->second.phase != run_phase::stopping)
    {
        return;
    }
    if (outcome != order_outcome::carried_out)
    {
        // retry_stops retries it after stop_retry_interval.
        return;
    }
    active->second.stop_done = true;
    active->second.stop_at = now;
}

} // namespace coltsfootrack::fleet
