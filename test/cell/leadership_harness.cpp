#include "leadership_harness.hpp"

#include <coltsfootrack/cell/leader_row.hpp>

#include <algorithm>
#include <cppunit/TestAssert.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr const char* worker_table = "workers";
// The row of a worker that announces its departure.
constexpr const char* leaving_value = "leaving";
// The row of a worker of a service that no catalogue names.
constexpr const char* other_service_value = "other";
const base::service_id service("s");
const base::service_id other_service("o");

} // namespace

leadership_harness::leadership_harness(std::uint64_t epoch,
                                       const cell_options& given)
    : layout_(parts)
    , loop_(clock_, 4096)
    , ports_(make_ports())
    , committers_(parts)
{
    cell_options options = given;
    options.job_parts = parts;
    options.follow_pause = milliseconds(5);
    leadership::hooks callbacks;
    callbacks.on_lost = [this](const std::string& /*reason*/)
    {
        lost_ = true;
    };
    callbacks.committer = [this](std::size_t part) -> row_committer&
    {
        return committers_[part];
    };
    callbacks.commit = [this]
    {
        commit();
    };
    callbacks.ticket_request_allowance = []
    {
        return fleet::ticket_request_allowance();
    };
    callbacks.list_complete = [this]
    {
        return list_complete_;
    };
    callbacks.isolated = [this]
    {
        return isolated_;
    };
    callbacks.on_store = [](bool /*answered*/) {
    };
    leadership_ =
        std::make_unique<leadership>(loop_, clock_, options, ports_, layout_,
                                     metrics_, epoch, std::move(callbacks));
    apply_catalogue();
    thread_ = std::thread([this] { loop_.run(); });
}

void leadership_harness::apply_catalogue()
{
    auto value = std::make_shared<fleet::catalogue>();
    value->version = ++catalogue_version_;
    fleet::queue_policy queue;
    queue.name = "q";
    queue.service = service;
    queue.max_attempts = 3;
    value->queues["q"] = queue;
    value->services[service].service = service;
    if (other_service_named_)
    {
        value->services[other_service].service = other_service;
    }
    if (!team_.team.empty())
    {
        value->teams[team_.team] = team_;
    }
    leadership_->set_catalogue(value);
}

void leadership_harness::add_worker_of_other_service(const std::string& id)
{
    store_.put({worker_table, "", id}, other_service_value);
    unresponsive_.insert(id);
}

void leadership_harness::name_other_service()
{
    other_service_named_ = true;
    apply_catalogue();
}

void leadership_harness::limit_team(std::int64_t cpu_milli)
{
    team_.team = base::team_id("t");
    team_.limit = {cpu_milli, 0, 0};
    run([this] { apply_catalogue(); });
}

leadership_harness::~leadership_harness()
{
    run([this] { leadership_.reset(); });
    loop_.stop();
    thread_.join();
}

ports leadership_harness::make_ports()
{
    ports made;
    made.store.transact = [this](const transaction& value, const auto& done)
    {
        done(store_.apply(value));
    };
    made.store.read_row = [this](const row_id& id, const auto& done)
    {
        read_result result;
        if (!reads_answered_)
        {
            loop_.after(milliseconds(20), [done, result] { done(result); });
            return;
        }
        result.status = read_status::ok;
        result.version = store_.version();
        if (const stored_row row = store_.read(id); row.exists())
        {
            result.rows.push_back(row);
        }
        done(result);
    };
    made.store.read = [this](const std::string& table, const std::string& part,
                             const std::string& from, std::size_t limit,
                             const auto& done)
    {
        read_result result;
        result.status = read_status::ok;
        if (!list_readable_ && table == worker_table)
        {
            result.status = read_status::failed;
            done(result);
            return;
        }
        result.version = store_.version();
        for (const auto& [id, row] : store_.rows())
        {
            if (id.table != table || id.part != part || id.key < from)
            {
                continue;
            }
            if (result.rows.size() == limit)
            {
                result.more = true;
                break;
            }
            result.rows.push_back(row);
        }
        done(result);
    };
    made.store.follow = [this](const std::string& table, std::uint64_t after,
                               milliseconds /*wait*/, const auto& done)
    {
        constexpr int attempts = 20;
        answer_follow(table, after, attempts, done);
    };
    made.workers.list_table = worker_table;
    made.workers.read_listing =
        [](const std::string& key,
           const std::string& value) -> absl::StatusOr<fleet::worker_listing>
    {
        fleet::worker_listing listing;
        listing.worker = base::worker_id(key);
        listing.service =
            value == other_service_value ? other_service : service;
        listing.capacity = {8000, 8000, 0};
        listing.leaving = value == leaving_value;
        return listing;
    };
    made.workers.renew = [this](const fleet::worker_listing& worker,
                                const lease_renewal& renewal, const auto& done)
    {
        renewal_result result;
        result.report.life = 1;
        ++renewal_counts_[worker.worker.text()];
        for (const fleet::run_end& end : reported_ends_[worker.worker.text()])
        {
            if (end.number > renewal.acknowledged)
            {
                result.report.ended.push_back(end);
            }
        }
        result.report.running = reported_runs_[worker.worker.text()];
        leases_ += renewal.lease_end ? 1 : 0;
        unstored_worker_used_ =
            unstored_worker_used_ ||
            (renewal.lease_end && !is_stored(worker.worker));
        result.outcome = unresponsive_.count(worker.worker.text()) != 0
                             ? fleet::order_outcome::unhealthy
                             : fleet::order_outcome::carried_out;
        // As a peer in the worker's zone finds, if there is one.
        const bool answered =
            result.outcome == fleet::order_outcome::carried_out;
        result.confirmed_unanswered = !answered && daemon_near_;
        result.no_daemon_near = !answered && !daemon_near_;
        loop_.after(milliseconds(10), [done, result] { done(result); });
    };
    made.workers.start =
        [this](const fleet::worker_listing& worker, std::uint64_t /*epoch*/,
               const fleet::start_order& order, milliseconds /*lease_end*/,
               base::time_point /*send_by*/, const auto& done)
    {
        unstored_worker_used_ =
            unstored_worker_used_ || !is_stored(worker.worker);
        starts_.push_back(order);
        done({start_outcome_, std::nullopt});
    };
    made.workers.stop = [](const fleet::worker_listing& /*worker*/,
                           std::uint64_t /*epoch*/,
                           const fleet::stop_order& /*order*/, const auto& done)
    {
        done(fleet::order_outcome::carried_out);
    };
    return made;
}

// Answers once a row has changed, or when no attempts are left.
void leadership_harness::answer_follow(const std::string& table,
                                       std::uint64_t after, int attempts,
                                       store_port::read_callback done)
{
    read_result result;
    result.status = read_status::ok;
    result.version = store_.version();
    for (const auto& [id, row] : store_.rows())
    {
        if (id.table == table && row.version > after)
        {
            result.rows.push_back(row);
        }
    }
    for (const auto& [id, version] : store_.removals())
    {
        if (id.table == table && version > after)
        {
            result.rows.push_back({id, "", 0});
        }
    }
    if (!result.rows.empty() || attempts == 0)
    {
        done(result);
        return;
    }
    loop_.after(milliseconds(5), [this, table, after, attempts, done]
                { answer_follow(table, after, attempts - 1, done); });
}

void leadership_harness::report_end(const std::string& worker,
                                    const std::string& job)
{
    std::vector<fleet::run_end>& ends = reported_ends_[worker];
    fleet::run_end end;
    end.number = ends.size() + 1;
    end.task = {{base::job_id(job), 0, 0}, 0};
    end.run = (leadership_->epoch() - 1) * 1000 + 1;
    end.kind = fleet::end_kind::done;
    ends.push_back(end);
}

void leadership_harness::report_run(const std::string& worker)
{
    fleet::listed_run listed;
    listed.task = {{base::job_id("run-on-" + worker), 0, 0}, 0};
    listed.run = 1;
    reported_runs_[worker].push_back(listed);
}

bool leadership_harness::wait_reported(const std::string& worker,
                                       milliseconds limit)
{
    // One asks whether there is a worker, the next one for its first report.
    constexpr int read = 3;
    return wait_for([&] { return renewals(worker) >= read; }, limit);
}

bool leadership_harness::wait_hand_over(milliseconds limit)
{
    return wait_for([this] { return hand_over_ready_; }, limit);
}

void leadership_harness::hold_writes(const std::string& job, bool held)
{
    const std::size_t part = layout_.part_of(base::job_id(job));
    if (held)
    {
        held_parts_.insert(part);
        return;
    }
    held_parts_.erase(part);
}

bool leadership_harness::same_part(const std::string& a,
                                   const std::string& b) const
{
    return layout_.part_of(base::job_id(a)) == layout_.part_of(base::job_id(b));
}

void leadership_harness::commit()
{
    for (std::size_t part = 0; part < committers_.size(); ++part)
    {
        if (held_parts_.count(part) != 0)
        {
            continue;
        }
        row_committer& committer = committers_[part];
        if (const auto next = committer.next(clock_.now()))
        {
            committer.on_result(store_.apply(*next), clock_.now());
        }
    }
}

template <class Condition>
bool leadership_harness::wait_for(Condition condition, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    bool met = false;
    do
    {
        run([&] { met = condition(); });
        std::this_thread::sleep_for(milliseconds(2));
    } while (!met && std::chrono::steady_clock::now() < end);
    return met;
}

void leadership_harness::add_worker(const std::string& id, bool answers)
{
    store_.put({worker_table, "", id}, "");
    if (!answers)
    {
        unresponsive_.insert(id);
    }
}

void leadership_harness::announce_departure(const std::string& id)
{
    store_.put({worker_table, "", id}, leaving_value);
}

void leadership_harness::remove_worker(const std::string& id)
{
    store_.remove({worker_table, "", id});
    unresponsive_.insert(id);
}

bool leadership_harness::wait_stored(const std::string& id, milliseconds limit)
{
    return wait_for([&] { return is_stored(base::worker_id(id)); }, limit);
}

bool leadership_harness::wait_not_stored(const std::string& id,
                                         milliseconds limit)
{
    return wait_for([&] { return !is_stored(base::worker_id(id)); }, limit);
}

void leadership_harness::put_used_worker(const std::string& id,
                                         const std::string& zone)
{
    fleet::worker_listing listing;
    listing.worker = base::worker_id(id);
    listing.service = service;
    listing.zone = base::zone_id(zone);
    worker_roster roster(parts);
    roster.add(listing);
    for (std::size_t part = 0; part < parts; ++part)
    {
        if (const auto row = roster.next_write(part))
        {
            store_.put(layout_.roster(part), row->text);
        }
    }
    unresponsive_.insert(id);
}

bool leadership_harness::is_stored(const base::worker_id& worker) const
{
    worker_roster roster(parts);
    for (std::size_t part = 0; part < parts; ++part)
    {
        if (const auto text = store_.value(layout_.roster(part)))
        {
            CPPUNIT_ASSERT(roster.load(part, *text).ok());
        }
    }
    return roster.stored(worker);
}

std::string leadership_harness::job_row(std::uint64_t leader_epoch) const
{
    jobs::job_submission job;
    job.queue = "q";
    job.team = team_.team;
    job.leader_epoch = leader_epoch;
    jobs::step_spec step;
    step.tasks = tasks_;
    step.need = {1000, 100, 0};
    step.estimate = milliseconds(1000);
    job.spec.steps = {step};
    return jobs::encode(job);
}

void leadership_harness::put_job(const std::string& id,
                                 std::uint64_t leader_epoch)
{
    store_.put(layout_.job(base::job_id(id)), job_row(leader_epoch));
}

void leadership_harness::put_early_cancel(const std::string& id,
                                          const cancel_right& right)
{
    store_.put(layout_.early_cancel(base::job_id(id), right), encode(right));
}

bool leadership_harness::wait_no_early_cancel(const std::string& id,
                                              const cancel_right& right,
                                              milliseconds limit)
{
    const row_id row = layout_.early_cancel(base::job_id(id), right);
    return wait_for([&] { return !store_.read(row).exists(); }, limit);
}

void leadership_harness::put_completed(const std::string& id)
{
    jobs::job_progress progress;
    progress.state = jobs::job_state::completed;
    store_.put(layout_.progress(base::job_id(id)), jobs::encode(progress));
}

void leadership_harness::put_emptied(const std::string& id)
{
    put_completed(id);
    store_.put(layout_.job(base::job_id(id)), "");
}

bool leadership_harness::wait_emptied(const std::string& job,
                                      milliseconds limit)
{
    return wait_for(
        [&] { return store_.value(layout_.job(base::job_id(job))) == ""; },
        limit);
}

std::optional<jobs::job_state>
leadership_harness::state_of(const std::string& job)
{
    std::optional<jobs::job_state> state;
    run([&] { state = leadership_->state_of(base::job_id(job)); });
    return state;
}

bool leadership_harness::wait_removed(const std::string& job,
                                      milliseconds limit)
{
    const base::job_id id(job);
    return wait_for(
        [&]
        {
            return !store_.read(layout_.job(id)).exists() &&
                   !store_.read(layout_.progress(id)).exists() &&
                   !store_.read(layout_.cancel(id)).exists();
        },
        limit);
}

void leadership_harness::send_job(const std::string& id,
                                  std::uint64_t leader_epoch)
{
    run([&] { leadership_->on_job(base::job_id(id), job_row(leader_epoch)); });
}

void leadership_harness::put_leader_row(std::uint64_t epoch)
{
    leader_row row;
    row.epoch = epoch;
    row.daemon = base::daemon_id("d");
    store_.put(layout_.leader(), encode(row));
}

void leadership_harness::begin()
{
    run(
        [this]
        {
            put_leader_row(leadership_->epoch());
            leadership_->begin();
        });
}

bool leadership_harness::wait_started(const std::string& job,
                                      milliseconds limit)
{
    return wait_for(
        [&]
        {
            return std::any_of(starts_.begin(), starts_.end(),
                               [&](const fleet::start_order& order)
                               { return order.task.step.job.text() == job; });
        },
        limit);
}

bool leadership_harness::wait_lost(milliseconds limit)
{
    return wait_for([this] { return lost_; }, limit);
}

bool leadership_harness::wait_loaded(milliseconds limit)
{
    return wait_for([this] { return leadership_->loaded(); }, limit);
}

} // namespace coltsfootrack::cell
