// Loads the zone and carries out the scheduler's decisions. Worker reports and
// row writes are in zone_scheduler_rows.cpp.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/resources_json.hpp>
#include <coltsfootrack/daemon/zone_scheduler.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr auto part = "scheduler";
// After a takeover no task is started for this long, so that workers can answer
// and report ends that they could not report to the former owner. Workers retry
// their reports every 0.5 s.
constexpr std::chrono::seconds adoption_wait{2};
constexpr std::chrono::milliseconds quota_interval{200};
constexpr std::chrono::seconds claim_retry{1};
constexpr std::size_t max_actions_per_step = 200;

std::int64_t to_ms(base::duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

running_task task_of(const placement::action& action)
{
    return {action.task, action.token, action.team, action.size,
            action.exclusive};
}

} // namespace

zone_scheduler::zone_scheduler(agent_context& context, std::uint64_t epoch,
                               ownership_queries ownership)
    : context_(context)
    , epoch_(epoch)
    , ownership_(std::move(ownership))
    , scheduler_(placement::scheduler_options(),
                 base::seeded_random(context.random()))
    , started_(context.clock.now())
{
}

void zone_scheduler::start()
{
    const std::weak_ptr<zone_scheduler> weak = weak_from_this();
    // Calls in flight may keep the agents alive longer than this object.
    const auto guarded = [weak](auto member)
    {
        return [weak, member](auto&&... arguments)
        {
            if (const auto self = weak.lock(); self && !self->stopped_)
            {
                ((*self).*member)(arguments...);
            }
        };
    };
    worker_agent::events events;
    events.on_adopted = guarded(&zone_scheduler::on_adopted);
    events.on_lapsed = guarded(&zone_scheduler::on_lapsed);
    events.on_result = guarded(&zone_scheduler::on_result);
    events.on_unresponsive = [weak](const base::worker_id& worker)
    {
        if (const auto self = weak.lock())
        {
            self->scheduler_.set_worker_state(worker,
                                              placement::worker_state::lost);
        }
    };
    events.on_usage = [weak](const running_task& task)
    {
        if (const auto self = weak.lock())
        {
            self->scheduler_.report_usage(task.task, task.token, task.size,
                                          self->context_.clock.now());
        }
    };
    workers_ = std::make_shared<worker_agent>(
        context_, epoch_, ownership_.acting_until, std::move(events));
    quotas_ = std::make_shared<quota_agent>(
        context_,
        [weak](const base::team_id& team, const base::resources& slice)
        {
            if (const auto self = weak.lock())
            {
                self->scheduler_.set_quota(team, slice);
            }
        });
    on_config_changed();
    load();
}

void zone_scheduler::stop()
{
    stopped_ = true;
    if (workers_)
    {
        workers_->stop();
        quotas_->stop();
    }
    for (const reply_function& reply : std::exchange(waiting_replies_, {}))
    {
        reply(http::error_response(base::make_error(
            base::error_kind::not_owner, "the zone has a new owner")));
    }
}

void zone_scheduler::load()
{
    const std::string zone = context_.settings.zone.text();
    context_.store.read({}, {"job/" + zone + "/", "claim/" + zone + "/"},
                        [self = shared_from_this()](
                            const absl::StatusOr<store::read_result>& rows)
                        {
                            if (self->stopped_)
                            {
                                return;
                            }
                            if (rows.ok())
                            {
                                self->on_rows_loaded(*rows);
                                return;
                            }
                            self->context_.loop.after(std::chrono::seconds(1),
                                                      [self]
                                                      {
                                                          if (!self->stopped_)
                                                          {
                                                              self->load();
                                                          }
                                                      });
                        });
}

void zone_scheduler::on_rows_loaded(const store::read_result& rows)
{
    const std::string jobs = "job/" + context_.settings.zone.text() + "/";
    const std::string claims = "claim/" + context_.settings.zone.text() + "/";
    for (const store::row& row : rows.rows)
    {
        if (row.key.compare(0, jobs.size(), jobs) == 0)
        {
            add_job(row.key.substr(jobs.size()), row);
            continue;
        }
        const std::string rest = row.key.substr(claims.size());
        const auto slash = rest.rfind('/');
        if (slash == std::string::npos)
        {
            continue;
        }
        const base::task_id task{base::job_id(rest.substr(0, slash)),
                                 static_cast<std::uint32_t>(std::strtoul(
                                     rest.c_str() + slash + 1, nullptr, 10))};
        claims_[task] = {row.version, row.value.value("token", std::string()),
                         row.value.value("worker", std::string())};
    }
    loaded_ = true;
    on_vm_list();
    restore_claims();
    base::log(base::log_level::info, part,
              "Zone is loaded. epoch={} jobs={} claims={}", epoch_,
              jobs_.size(), claims_.size());
}

void zone_scheduler::restore_claims()
{
    for (const auto& [task, claim] : claims_)
    {
        const auto job = jobs_.find(task.job.text());
        if (job == jobs_.end() || job->second.record.ended() ||
            job->second.record.finished.count(task.index) != 0)
        {
            continue;
        }
        const base::worker_id worker(claim.worker);
        const placement::job_spec& spec = job->second.record.spec;
        // Booked until the worker is adopted or its lease has lapsed.
        if (known_workers_.insert(worker).second)
        {
            workers_->add_unlisted(worker);
            scheduler_.add_worker({worker, base::rack_id(), spec.task_size});
            scheduler_.set_worker_state(worker, placement::worker_state::lost);
        }
        scheduler_.restore_running({task, worker, claim.token, spec.task_size,
                                    spec.team, true, started_});
        placed_[task] = {worker,
                         {task, claim.token, spec.team, spec.task_size, true},
                         true,
                         true};
    }
}

void zone_scheduler::add_job(const std::string& id, const store::row& row)
{
    auto record = job_record_from_json(id, row.value);
    if (!record.ok())
    {
        base::log(base::log_level::error, part, "{}",
                  std::string(record.status().message()));
        return;
    }
    auto [found, added] = jobs_.try_emplace(id);
    job_entry& entry = found->second;
    if (!added)
    {
        if (row.version > entry.version && !entry.writing)
        {
            entry.version = row.version;
            if (record->cancelled && !entry.record.cancelled)
            {
                entry.record.cancelled = true;
                scheduler_.cancel(record->spec.id).IgnoreError();
                end_job(record->spec.id, "cancelled", "");
            }
        }
        return;
    }
    const auto now = context_.clock.now();
    entry.record = *std::move(record);
    entry.version = row.version;
    entry.submitted = now;
    if (entry.record.ended())
    {
        return;
    }
    if (entry.record.cancelled)
    {
        end_job(entry.record.spec.id, "cancelled", "");
        return;
    }
    const absl::Status status = scheduler_.submit(entry.record.spec, now);
    if (!status.ok())
    {
        context_.metrics.count_refusal(base::kind_of(status));
        end_job(entry.record.spec.id, "failed", std::string(status.message()));
        return;
    }
    for (const std::uint32_t index : entry.record.finished)
    {
        scheduler_.restore_finished({entry.record.spec.id, index});
    }
}

void zone_scheduler::on_vm_list()
{
    if (!loaded_)
    {
        return;
    }
    const auto directory = context_.published.directory();
    const auto& listed = directory->workers(context_.settings.zone);
    workers_->set_workers(listed);
    for (const store::vm_entry& vm : listed)
    {
        const base::worker_id id(vm.name);
        if (known_workers_.insert(id).second)
        {
            scheduler_.add_worker({id, base::rack_id(vm.rack), vm.capacity});
            scheduler_.set_worker_state(id, placement::worker_state::lost);
        }
        else if (vm.leaving)
        {
            scheduler_.set_worker_state(id, placement::worker_state::leaving);
        }
    }
}

void zone_scheduler::on_config_changed()
{
    std::vector<placement::team_policy> teams;
    for (const config::team* team : context_.published.config()->teams())
    {
        teams.push_back({team->name, team->weight, team->limit});
    }
    scheduler_.set_teams(teams);
    quotas_->config_changed();
}

void zone_scheduler::on_job_notice(const base::job_id& job)
{
    if (!loaded_)
    {
        return;
    }
    const std::string key = job_key(job.text());
    context_.store.read({key}, {},
                        [self = shared_from_this(), job,
                         key](const absl::StatusOr<store::read_result>& rows)
                        {
                            if (self->stopped_ || !rows.ok())
                            {
                                return;
                            }
                            if (const store::row* row = rows->find(key))
                            {
                                self->add_job(job.text(), *row);
                                self->place_tasks();
                            }
                        });
}

void zone_scheduler::refresh_jobs()
{
    if (!loaded_ || std::exchange(refreshing_, true))
    {
        return;
    }
    const std::string prefix = job_key("");
    context_.store.read({}, {prefix},
                        [self = shared_from_this(),
                         prefix](const absl::StatusOr<store::read_result>& rows)
                        {
                            self->refreshing_ = false;
                            if (self->stopped_ || !rows.ok())
                            {
                                return;
                            }
                            for (const store::row& row : rows->rows)
                            {
                                self->add_job(row.key.substr(prefix.size()),
                                              row);
                            }
                        });
}

void zone_scheduler::step()
{
    if (stopped_ || !loaded_)
    {
        return;
    }
    const auto now = context_.clock.now();
    scheduler_.set_unadopted_capacity(workers_->pending_capacity());
    if (now >= next_quota_ && ownership_.acting_until())
    {
        next_quota_ = now + quota_interval;
        quotas_->step(scheduler_.counters(), workers_->pending_capacity());
    }
    place_tasks();
    workers_->step();
    if (now >= next_flush_)
    {
        flush();
    }
}

bool zone_scheduler::may_place() const
{
    if (stopped_ || !loaded_ || !ownership_.acting_until())
    {
        return false;
    }
    return context_.clock.now() - started_ > adoption_wait;
}

void zone_scheduler::place_tasks()
{
    if (!may_place())
    {
        return;
    }
    const auto actions =
        scheduler_.step(context_.clock.now(), max_actions_per_step);
    for (const placement::action& action : actions)
    {
        carry_out(action);
    }
    if (!actions.empty())
    {
        workers_->step();
    }
}

void zone_scheduler::carry_out(const placement::action& action)
{
    switch (action.type)
    {
    case placement::action_type::start:
        start_task(action);
        break;
    case placement::action_type::stop:
        context_.metrics.count_event(
            "task_stop_" + std::string(placement::name_of(action.reason)));
        workers_->command(action.worker, task_of(action), "stop",
                          {{"grace_ms", to_ms(action.grace)}});
        break;
    case placement::action_type::throttle:
        workers_->command(action.worker, task_of(action), "throttle",
                          {{"resources", to_json(action.size)}});
        break;
    case placement::action_type::fail_job:
        context_.metrics.count_refusal(base::error_kind::task_failed);
        end_job(action.task.job, "failed", action.detail);
        break;
    case placement::action_type::complete:
        end_job(action.task.job, "finished", "");
        break;
    }
}

void zone_scheduler::start_task(const placement::action& action)
{
    placed_[action.task] = {action.worker, task_of(action), false, false};
    if (action.exclusive)
    {
        claim_and_start(action);
    }
    else
    {
        send_start(action);
    }
}

void zone_scheduler::claim_and_start(const placement::action& action)
{
    const std::string key = claim_key(action.task);
    const auto known = claims_.find(action.task);
    store::mutation change;
    change
        .require("owner/" + context_.settings.zone.text(),
                 ownership_.owner_version())
        .require(key, known == claims_.end() ? 0 : known->second.version)
        .put(key, {{"token", action.token},
                   {"worker", action.worker.text()},
                   {"epoch", epoch_}});
    context_.store.submit(
        std::move(change),
        [self = shared_from_this(),
         action](const store::commit_outcome& outcome)
        {
            if (self->stopped_ || !outcome.final())
            {
                return;
            }
            if (outcome.committed())
            {
                self->claims_[action.task] = {outcome.version, action.token,
                                              action.worker.text()};
                self->send_start(action);
                return;
            }
            self->context_.metrics.count_retry(outcome.reason);
            // The task keeps its worker while the store is unavailable; the
            // claim is retried with the same token.
            self->context_.loop.after(
                claim_retry,
                [self, action]
                {
                    const auto placed = self->placed_.find(action.task);
                    if (!self->stopped_ && placed != self->placed_.end() &&
                        placed->second.task.token == action.token)
                    {
                        self->claim_and_start(action);
                    }
                });
        });
}

void zone_scheduler::send_start(const placement::action& action)
{
    const auto placed = placed_.find(action.task);
    if (placed == placed_.end() || placed->second.task.token != action.token)
    {
        return;
    }
    placed->second.sent = true;
    workers_->command(action.worker, task_of(action), "start",
                      {{"team", action.team.text()},
                       {"resources", to_json(action.size)},
                       {"run_ms", to_ms(action.run_time)},
                       {"exclusive", action.exclusive}});
    workers_->step();
}

} // namespace coltsfootrack::daemon
