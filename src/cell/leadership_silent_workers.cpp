// Workers that do not answer: what confirms their silence, and the idle ones,
// which the next leader has no reason to wait for; with the preparation of a
// planned change of leaders.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/leadership.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace coltsfootrack::cell
{

// Asks another worker of the zone of a silent one, in the same way and at the
// same time: an answer shows that the way is not at fault.
void leadership::check_way_to(const fleet::worker_record& silent)
{
    std::vector<const fleet::worker_record*> others;
    for (const auto& [id, worker] : fleet_.workers())
    {
        if (worker.listing.zone == silent.listing.zone && worker.synced &&
            !worker.unresponsive)
        {
            others.push_back(&worker);
        }
    }
    if (others.empty())
    {
        return;
    }
    const fleet::worker_record& other = *others[way_checks_++ % others.size()];
    const base::time_point now = clock_.now();
    lease_renewal request;
    request.epoch = epoch();
    request.send_by = now + options_.send_limit;
    request.direct = true;
    ports_.workers.renew(
        other.listing, request,
        posted<renewal_result>(
            [this, id = other.listing.worker, zone = other.listing.zone,
             now](const renewal_result& result)
            {
                record_outcome(call_kind::probe, result.outcome, id);
                if (result.outcome == fleet::order_outcome::carried_out)
                {
                    base::time_point& newest = way_checked_[zone];
                    newest = std::max(newest, now);
                }
            }));
}

// Whether the silence of a worker is its own. Without a daemon in its zone that
// would know, it is if another worker there has answered the leader meanwhile
// and the platform does not hear from this one either.
bool leadership::is_silence_confirmed(const fleet::worker_record& worker,
                                      const renewal_result& result) const
{
    if (result.confirmed_unanswered || !result.no_daemon_near)
    {
        return result.confirmed_unanswered;
    }
    const auto checked = way_checked_.find(worker.listing.zone);
    return !worker.listed && checked != way_checked_.end() &&
           checked->second >= result.report.sent_at;
}

// Takes an idle worker out of the stored ones. Nothing is started on it before
// it is stored again, which it is once it answers.
void leadership::withdraw_idle_worker(const base::worker_id& id)
{
    if (!roster_.contains(id) || !fleet_.is_idle(id))
    {
        return;
    }
    metrics_.count_event("idle_worker_withdrawn");
    base::log(base::log_level::info, "leader",
              "Idle worker does not answer; the next leader does not wait for "
              "it. worker={}",
              id.text());
    fleet_.hold_starts(id, true);
    withdrawn_workers_.insert(id);
    roster_.remove(id);
}

void leadership::reuse_stored_workers()
{
    for (auto it = withdrawn_workers_.begin(); it != withdrawn_workers_.end();)
    {
        const bool stored = roster_.stored(*it);
        if (stored)
        {
            fleet_.hold_starts(*it, false);
        }
        it = stored || !fleet_.has_worker(*it) ? withdrawn_workers_.erase(it)
                                               : std::next(it);
    }
}

void leadership::prepare_hand_over(std::function<void()> ready)
{
    if (!loaded_ || lost_ || hand_over_)
    {
        ready();
        return;
    }
    hand_over_.emplace(std::move(ready));
    for (const auto& [id, worker] : fleet_.workers())
    {
        if (roster_.contains(id) && fleet_.is_idle(id))
        {
            hand_over_->silent.insert(id);
        }
    }
    const std::set<base::worker_id> asked = hand_over_->silent;
    for (const base::worker_id& id : asked)
    {
        probe_worker(id);
    }
    loop_.after(options_.idle_answer_timeout,
                guarded([this] { withdraw_silent_workers(); }));
    check_hand_over();
}

// A worker has answered a call that did not wait there.
void leadership::note_answer(const base::worker_id& id)
{
    if (hand_over_ && hand_over_->silent.erase(id) > 0)
    {
        check_hand_over();
    }
}

void leadership::withdraw_silent_workers()
{
    if (!hand_over_ || hand_over_->withdrawn)
    {
        return;
    }
    hand_over_->withdrawn = true;
    for (const base::worker_id& id : hand_over_->silent)
    {
        withdraw_idle_worker(id);
    }
    write_roster();
    hooks_.commit();
    check_hand_over();
}

// Calls `ready` once the workers have answered or are withdrawn, and the rows
// are stored.
void leadership::check_hand_over()
{
    if (!hand_over_ || !hand_over_->ready)
    {
        return;
    }
    const bool decided = hand_over_->withdrawn || hand_over_->silent.empty();
    if (decided && roster_.all_stored())
    {
        const auto ready = std::exchange(hand_over_->ready, nullptr);
        ready();
    }
}

} // namespace coltsfootrack::cell
