// Submission, cancellation and takeover of jobs.

#include "scheduler_core.hpp"

#include "fit.hpp"
#include <coltsfootrack/base/error_kind.hpp>

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace coltsfootrack::placement
{
namespace
{

// The largest amount of one resource that a task may ask for. It keeps sums
// over the largest job from overflowing.
constexpr std::int64_t max_amount = 1'000'000'000'000;

absl::Status invalid(std::string_view detail)
{
    return base::make_error(base::error_kind::invalid_request, detail);
}

absl::Status impossible(std::string_view detail)
{
    return base::make_error(base::error_kind::impossible_job, detail);
}

} // namespace

scheduler::core::core(scheduler_options options, base::random_source random)
    : options_(options)
    , random_(std::move(random))
{
}

absl::Status scheduler::core::check_job(const job_spec& spec) const
{
    if (spec.id.empty())
    {
        return invalid("id: empty");
    }
    if (spec.team.empty())
    {
        return invalid("team: empty");
    }
    if (spec.task_count == 0 || spec.task_count > options_.max_tasks_per_job)
    {
        return invalid(fmt::format("task_count: must be from 1 to {}",
                                   options_.max_tasks_per_job));
    }
    const base::resources& size = spec.task_size;
    if (!size.is_valid() || size == base::resources() ||
        !size.fits_in({max_amount, max_amount, max_amount}))
    {
        return invalid(
            fmt::format("task_size: must be from 0 to {} of each resource and "
                        "not all 0",
                        max_amount));
    }
    if (spec.run_time < base::duration::zero())
    {
        return invalid("run_time: negative");
    }
    return absl::OkStatus();
}

absl::Status scheduler::core::check_possible(const job_spec& spec,
                                             const base::resources& size,
                                             const team_record& team) const
{
    if (pool_.size() > 0 && !pool_.could_fit(size, 1))
    {
        return impossible(fmt::format(
            "no worker of the zone has {}; the largest amounts are {}",
            base::to_string(size), base::to_string(pool_.largest())));
    }
    if (pool_.size() > 0 && spec.kind == job_kind::gang &&
        !pool_.could_fit(size, spec.task_count))
    {
        return impossible(fmt::format(
            "all workers of the zone together hold fewer than {} tasks of {}",
            spec.task_count, base::to_string(size)));
    }
    // The tasks of a batch job can run one after another; all others run at the
    // same time. The upper limit decides, not the slice, since slices follow
    // demand up to the limit.
    const base::resources need =
        spec.kind == job_kind::batch ? size : size * spec.task_count;
    if (!need.fits_in(team.policy.limit))
    {
        return impossible(fmt::format(
            "the job needs {} at a time; the upper limit of team {} is {}",
            base::to_string(need), team.id.text(),
            base::to_string(team.policy.limit)));
    }
    return absl::OkStatus();
}

absl::Status scheduler::core::submit(const job_spec& spec, base::time_point now)
{
    const auto refuse = [this](absl::Status status)
    {
        ++totals_.refused;
        return status;
    };
    if (absl::Status status = check_job(spec); !status.ok())
    {
        return refuse(status);
    }
    const auto known = jobs_by_id_.find(spec.id);
    if (known != jobs_by_id_.end())
    {
        job_record& job = jobs_[known->second];
        if (!job.implicit || job.ending || !(job.spec.team == spec.team))
        {
            return refuse(base::make_error(base::error_kind::already_exists,
                                           "job " + spec.id.text()));
        }
        // The job was accepted before the takeover, so no limit applies.
        job.implicit = false;
        job.spec = spec;
        job.size = spec.task_size;
        job.submitted = now;
        job.waiting = index_set(spec.task_count);
        for (const handle booking_handle : job.bookings)
        {
            booking& booked = bookings_[booking_handle];
            job.waiting.erase(booked.index);
            if (spec.rack_spread)
            {
                job.rack_tasks.resize(pool_.racks());
                ++job.rack_tasks[booked.rack];
            }
            if (spec.run_time > base::duration::zero())
            {
                booked.expected_end = booked.started + spec.run_time;
            }
        }
        complete_or_requeue(known->second);
        return absl::OkStatus();
    }
    const handle team = find_or_add_team(spec.team);
    const team_record& owner = teams_[team];
    if (!owner.has_policy)
    {
        return refuse(base::make_error(base::error_kind::limit_reached,
                                       "no policy is known for team " +
                                           spec.team.text()));
    }
    if (absl::Status status = check_possible(spec, spec.task_size, owner);
        !status.ok())
    {
        return refuse(status);
    }
    const std::size_t reserved_for_urgent =
        spec.urgent ? 0
                    : std::min(options_.queued_jobs_reserved_for_urgent,
                               options_.max_queued_jobs);
    if (queued_jobs_ >= options_.max_queued_jobs - reserved_for_urgent)
    {
        return refuse(base::make_error(
            base::error_kind::queue_full,
            fmt::format("{} jobs are queued in the zone", queued_jobs_)));
    }
    if (owner.waiting_jobs() >= options_.max_queued_jobs_per_team)
    {
        return refuse(base::make_error(
            base::error_kind::queue_full,
            fmt::format("{} jobs of team {} are queued in the zone",
                        owner.waiting_jobs(), spec.team.text())));
    }
    job_record job;
    job.spec = spec;
    job.size = spec.task_size;
    job.sequence = next_sequence_++;
    job.submitted = now;
    job.team = team;
    job.waiting = index_set(spec.task_count);
    const handle job_handle = jobs_.insert(std::move(job));
    jobs_by_id_.emplace(spec.id, job_handle);
    update_queue(job_handle);
    return absl::OkStatus();
}

absl::Status scheduler::core::cancel(const base::job_id& id)
{
    const auto found = jobs_by_id_.find(id);
    if (found == jobs_by_id_.end())
    {
        return base::make_error(base::error_kind::not_found,
                                "job " + id.text());
    }
    const handle job_handle = found->second;
    job_record& job = jobs_[job_handle];
    if (job.ending)
    {
        return absl::OkStatus();
    }
    job.ending = true;
    drop_pending_work(job_handle);
    if (job.bookings.empty())
    {
        erase_job(job_handle);
        return absl::OkStatus();
    }
    queue_ending_tasks(job);
    return absl::OkStatus();
}

void scheduler::core::restore_running(const restored_task& running)
{
    const handle worker = pool_.find(running.worker);
    if (worker == no_handle || by_token_.contains(running.token))
    {
        return;
    }
    const auto [known, inserted] =
        jobs_by_id_.try_emplace(running.task.job, no_handle);
    if (inserted)
    {
        job_record job;
        job.spec.id = running.task.job;
        job.spec.team = running.team;
        job.spec.exclusive = running.exclusive;
        job.spec.task_size = running.size;
        job.size = running.size;
        job.sequence = next_sequence_++;
        job.submitted = running.started;
        job.team = find_or_add_team(running.team);
        job.implicit = true;
        known->second = jobs_.insert(std::move(job));
    }
    const handle job_handle = known->second;
    job_record& job = jobs_[job_handle];
    const std::uint32_t index = running.task.index;
    const bool duplicate =
        job.implicit ? std::any_of(job.bookings.begin(), job.bookings.end(),
                                   [this, index](handle b)
                                   { return bookings_[b].index == index; })
                     : !job.ending && !job.waiting.contains(index);
    job.waiting.erase(index);
    const handle booked = book(job_handle, index, worker, running.size,
                               running.token, running.started);
    if (duplicate)
    {
        bookings_[booked].duplicate = true;
        request_stop(booked, stop_reason::duplicate, options_.stop_grace,
                     false);
    }
    if (job.ending)
    {
        ending_tasks_.push_back({booked, bookings_[booked].serial});
    }
    slices_lowered_ = true;
    changed_ = true;
    update_queue(job_handle);
}

void scheduler::core::restore_finished(const base::task_id& task)
{
    const auto found = jobs_by_id_.find(task.job);
    if (found == jobs_by_id_.end() ||
        !jobs_[found->second].waiting.contains(task.index))
    {
        return;
    }
    jobs_[found->second].waiting.erase(task.index);
    ++jobs_[found->second].finished;
    complete_or_requeue(found->second);
}

} // namespace coltsfootrack::placement
