// Jobs of a fleet: adding, cancelling, finishing and storing them.

#include "stored_bytes.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::fleet
{
namespace
{

// The number of workers per ticket request that the platform assumes in job
// objectives.
constexpr int counted_workers = 30;

constexpr std::string_view log_part = "fleet";

base::duration scaled(base::duration span, double factor)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(span) * factor);
}

} // namespace

job_record* fleet::find_job(const base::job_id& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

step_record* fleet::find_step(const jobs::step_key& key)
{
    job_record* job = find_job(key.job);
    if (job == nullptr || key.step < 0)
    {
        return nullptr;
    }
    const auto steps = job->occurrences.find(key.occurrence);
    return steps != job->occurrences.end() &&
                   static_cast<std::size_t>(key.step) < steps->second.size()
               ? &steps->second[static_cast<std::size_t>(key.step)]
               : nullptr;
}

task_record* fleet::find_task(const jobs::task_key& key)
{
    step_record* step = find_step(key.step);
    if (step == nullptr || key.index < 0 ||
        static_cast<std::size_t>(key.index) >= step->tasks.size())
    {
        return nullptr;
    }
    return &step->tasks[static_cast<std::size_t>(key.index)];
}

const jobs::step_spec& fleet::spec_of(const job_record& job, int step) const
{
    return job.submission.spec.steps[static_cast<std::size_t>(step)];
}

void fleet::set_catalogue(std::shared_ptr<const catalogue> value)
{
    catalogue_ = std::move(value);
    for (auto& [id, job] : jobs_)
    {
        set_deadlines(job);
    }
    for (auto& [id, worker] : workers_)
    {
        for (auto& [key, run] : worker.runs)
        {
            const job_record* job = find_job(key.step.job);
            run.priority = job != nullptr && job->queue != nullptr
                               ? job->queue->priority
                               : 0;
        }
    }
}

void fleet::set_deadlines(job_record& job)
{
    job.queue = catalogue_ ? catalogue_->queue(job.submission.queue) : nullptr;
    const queue_policy* queue = job.queue;
    if (queue == nullptr)
    {
        return;
    }
    // The platform counts one ticket request per step in the critical path.
    std::chrono::milliseconds tickets{0};
    if (queue->tickets)
    {
        tickets = std::chrono::ceil<std::chrono::milliseconds>(
            queue->tickets->decide_time +
            counted_workers * queue->tickets->time_per_worker);
    }
    job.remaining_times = jobs::remaining_paths(job.submission.spec, tickets);
    job.objective = scaled(jobs::critical_path(job.submission.spec, tickets),
                           queue->stretch) +
                    queue->slack;
}

void fleet::add_job(const base::job_id& id,
                    const jobs::job_submission& submission,
                    const jobs::job_progress& progress, bool inherited,
                    base::time_point now, wall_time wall)
{
    if (jobs_.count(id) != 0)
    {
        return;
    }
    job_record& job = jobs_[id];
    job.id = id;
    job.submission = submission;
    job.inherited = inherited;
    job.services = submission.service.empty() ? jobs::service_set::any()
                                              : progress.services;
    job.services.add(submission.service);
    job.state = progress.state;
    job.saved_state = progress.state;
    // The clocks of VMs differ, so the age is limited to between zero and a
    // day, the longest that a caller could wait.
    const auto age = std::clamp<std::chrono::system_clock::duration>(
        wall - submission.submitted, std::chrono::seconds(0),
        std::chrono::hours(24));
    job.submitted_at = now - age;
    job.finished_at = now;
    set_deadlines(job);
    charge_share(job);
    if (job.has_final_state())
    {
        job.started = true;
        job.retired = true;
        finished_.push_back(id);
        return;
    }
    open_jobs_[id] = &job;
    job.started = !progress.steps.empty() || !progress.finished.empty();
    for (const auto& [first, last] : progress.finished.ranges())
    {
        const int end = std::min(last, submission.spec.occurrences() - 1);
        if (first <= end)
        {
            job.finished.insert_range(first, end);
        }
    }
    for (const auto& [key, stored] : progress.steps)
    {
        const auto& [occurrence, number] = key;
        expect_occurrence({id, occurrence, number});
        step_record* step = find_step({id, occurrence, number});
        if (step == nullptr)
        {
            continue;
        }
        for (std::size_t i = 0;
             i < std::min(step->tasks.size(), stored.done.size()); ++i)
        {
            step->tasks[i].done = stored.done[i];
            step->done += stored.done[i] ? 1 : 0;
        }
        for (const auto& [index, runs] : stored.failures)
        {
            task_record* task = find_task({{id, occurrence, number}, index});
            if (task != nullptr && !runs.empty())
            {
                task->failures = runs;
                task->last_run = std::max(task->last_run, *runs.rbegin());
                job.failure_bytes += task->done ? 0 : stored_bytes(runs);
            }
        }
    }
    // Former versions stored each finished occurrence with all of its tasks.
    std::vector<int> open;
    for (const auto& [occurrence, steps] : job.occurrences)
    {
        open.push_back(occurrence);
    }
    for (const int occurrence : open)
    {
        finish_occurrence(job, occurrence);
    }
    create_due_occurrences(job, wall);
    const auto cancelled = early_cancels_.find(id);
    if (cancelled != early_cancels_.end())
    {
        early_cancels_.erase(cancelled);
        cancel_job(id, now);
    }
    adopt_orphans(id, now);
    check_completed(job, now);
}

void fleet::charge_share(job_record& job)
{
    const team_policy* team =
        catalogue_ ? catalogue_->team(job.submission.team) : nullptr;
    if (team != nullptr && team->weight > 0)
    {
        job.over_share = !shares_[team->team].try_take(
            team->weight, options_.share_window, options_.share_burst_jobs,
            job.submitted_at);
    }
}

void fleet::create_occurrence(job_record& job, int occurrence)
{
    auto& steps = job.occurrences[occurrence];
    steps.resize(job.submission.spec.steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        steps[i].tasks.resize(
            static_cast<std::size_t>(job.submission.spec.steps[i].tasks));
    }
}

// Creates an occurrence that a worker or the stored progress shows to have
// begun: the daemon that let it begin may have had another clock, or more of
// the former ones finished. Otherwise its runs would be stopped, and the ends
// of its tasks dropped.
void fleet::expect_occurrence(const jobs::step_key& key)
{
    job_record* job = find_job(key.job);
    if (job != nullptr && !job->has_final_state() && key.occurrence >= 0 &&
        key.occurrence < job->submission.spec.occurrences() &&
        job->occurrences.count(key.occurrence) == 0 &&
        !job->finished.contains(key.occurrence))
    {
        create_occurrence(*job, key.occurrence);
    }
}

// Lets occurrences begin that are due, in their order, while not too many have
// begun and not finished: the state of those is kept in memory and in one row.
void fleet::create_due_occurrences(job_record& job, wall_time wall)
{
    const jobs::job_spec& spec = job.submission.spec;
    const std::size_t most = jobs::max_open_occurrences(spec);
    for (int& next = job.next_occurrence; next < spec.occurrences(); ++next)
    {
        if (job.finished.contains(next) || job.occurrences.count(next) > 0)
        {
            continue;
        }
        const bool due = !spec.has_schedule() ||
                         wall >= spec.first_due + next * spec.interval;
        if (!due || job.occurrences.size() >= most)
        {
            return;
        }
        create_occurrence(job, next);
    }
}

// Frees an occurrence if all of its tasks are done.
void fleet::finish_occurrence(job_record& job, int occurrence)
{
    const auto found = job.occurrences.find(occurrence);
    if (found == job.occurrences.end())
    {
        return;
    }
    const std::vector<step_record>& steps = found->second;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        if (spec_of(job, static_cast<int>(i)).standing ||
            steps[i].done < static_cast<int>(steps[i].tasks.size()))
        {
            return;
        }
    }
    job.finished.insert(occurrence);
    job.occurrences.erase(found);
}

void fleet::cancel_job(const base::job_id& id, base::time_point now)
{
    job_record* job = find_job(id);
    if (job == nullptr)
    {
        early_cancels_[id] = now;
        return;
    }
    if (job->has_final_state())
    {
        return;
    }
    job->cancelled = true;
    finish_job(*job, jobs::job_state::cancelled, now);
}

void fleet::mark_changed(job_record& job)
{
    ++job.change;
    unsaved_jobs_[job.id] = true;
}

void fleet::finish_job(job_record& job, jobs::job_state state,
                       base::time_point now)
{
    job.state = state;
    job.finished_at = now;
    open_jobs_.erase(job.id);
    mark_changed(job);
    base::log(base::log_level::info, log_part,
              "Job finished. job={} state={} age_ms={}", job.id.text(),
              jobs::name_of(state),
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  now - job.submitted_at)
                  .count());
    // The remaining runs of a cancelled or failed job are useless and stopped;
    // remaining gang members of a completed one end on their own.
    if (state == jobs::job_state::completed)
    {
        return;
    }
    for (auto& [id, worker] : workers_)
    {
        for (auto run = worker.runs.lower_bound({{job.id, 0, 0}, 0});
             run != worker.runs.end() && run->first.step.job == job.id; ++run)
        {
            request_stop(worker, run->second);
        }
    }
}

void fleet::check_completed(job_record& job, base::time_point now)
{
    if (!job.has_final_state() &&
        job.finished.size() == job.submission.spec.occurrences())
    {
        finish_job(job, jobs::job_state::completed, now);
    }
}

std::string fleet::progress_text(const job_record& job) const
{
    jobs::job_progress value;
    value.state = job.state == jobs::job_state::queued && job.started
                      ? jobs::job_state::running
                      : job.state;
    value.finished = job.finished;
    if (!job.submission.service.empty())
    {
        value.services = job.services.without(job.submission.service);
    }
    for (const auto& [k, steps] : job.occurrences)
    {
        for (std::size_t s = 0; s < steps.size(); ++s)
        {
            jobs::step_progress stored;
            for (std::size_t i = 0; i < steps[s].tasks.size(); ++i)
            {
                const task_record& task = steps[s].tasks[i];
                if (!task.done && !task.failures.empty())
                {
                    stored.failures[static_cast<int>(i)] = task.failures;
                }
                stored.done.push_back(task.done);
            }
            if (steps[s].done > 0 || !stored.failures.empty())
            {
                value.steps[{k, static_cast<int>(s)}] = std::move(stored);
            }
        }
    }
    return jobs::encode(value);
}

void fleet::on_saved(const base::job_id& id, std::uint64_t change,
                     base::time_point now)
{
    job_record* job = find_job(id);
    if (job == nullptr)
    {
        return;
    }
    job->change_saved = std::max(job->change_saved, change);
    if (job->change_saved == job->change)
    {
        job->saved_state = job->state;
        if (job->has_final_state())
        {
            if (!std::exchange(job->retired, true))
            {
                job->finished_at = now;
                finished_.push_back(id);
            }
            // A final job keeps only its state; its steps and tasks are freed.
            job->occurrences.clear();
            job->finished = jobs::index_ranges();
            job->submission.spec = jobs::job_spec();
        }
    }
    for (auto& [worker_id, worker] : workers_)
    {
        advance_acknowledged(worker);
    }
}

std::vector<base::job_id> fleet::finished_before(base::time_point time,
                                                 std::size_t limit) const
{
    std::vector<base::job_id> found;
    for (const base::job_id& id : finished_)
    {
        const auto job = jobs_.find(id);
        if (found.size() >= limit ||
            (job != jobs_.end() && job->second.finished_at >= time))
        {
            break;
        }
        if (job != jobs_.end())
        {
            found.push_back(id);
        }
    }
    return found;
}

void fleet::forget_job(const base::job_id& id)
{
    const job_record* job = find_job(id);
    if (job == nullptr || !job->has_final_state())
    {
        return;
    }
    jobs_.erase(id);
    while (!finished_.empty() && jobs_.count(finished_.front()) == 0)
    {
        finished_.pop_front();
    }
}

void fleet::on_save_failed(const base::job_id& id)
{
    job_record* job = find_job(id);
    if (job != nullptr && job->change_saved < job->change)
    {
        job->change_ordered = job->change_saved;
        unsaved_jobs_[id] = true;
    }
}

void fleet::on_save_rejected(const base::job_id& id, base::time_point now)
{
    job_record* job = find_job(id);
    if (job == nullptr || job->has_final_state())
    {
        return;
    }
    base::log(base::log_level::error, log_part,
              "Job failed: the store does not take its progress. job={} "
              "open_occurrences={} failure_bytes={}",
              id.text(), job->occurrences.size(), job->failure_bytes);
    finish_job(*job, jobs::job_state::failed, now);
}

void fleet::order_saves(std::vector<order>& orders)
{
    for (const auto& [id, ignored] : unsaved_jobs_)
    {
        job_record* job = find_job(id);
        if (job != nullptr && job->change_ordered < job->change)
        {
            job->change_ordered = job->change;
            // A caller waits for a final state, and tasks for a new service.
            const bool urgent = job->has_final_state() ||
                                job->change_saved < job->services_change;
            orders.push_back(
                save_order{id, job->change, progress_text(*job), urgent});
        }
    }
    unsaved_jobs_.clear();
}

std::optional<jobs::job_state> fleet::state_of(const base::job_id& id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        return std::nullopt;
    }
    const job_record& job = found->second;
    if (jobs::is_final(job.saved_state))
    {
        return job.saved_state;
    }
    return job.started ? jobs::job_state::running : jobs::job_state::queued;
}

std::map<std::string, int> fleet::waiting_counts() const
{
    std::map<std::string, int> counts;
    for (const auto& [id, job] : open_jobs_)
    {
        if (!job->started)
        {
            ++counts[job->submission.queue];
        }
    }
    return counts;
}

base::resources fleet::usage_of(const base::team_id& team) const
{
    const auto found = usage_.find(team);
    return found == usage_.end() ? base::resources() : found->second;
}

} // namespace coltsfootrack::fleet
