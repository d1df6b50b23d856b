#ifndef COLTSFOOTRACK_TEST_FLEET_FLEET_FIXTURE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_FLEET_FLEET_FIXTURE_HPP_INCLUDED

#include <coltsfootrack/fleet/fleet.hpp>

#include <chrono>
#include <cppunit/TestAssert.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootrack::fleet
{

// A fleet with one queue and one service, and helpers to drive it.
class fleet_fixture
{
public:
    explicit fleet_fixture(std::uint64_t epoch = 1)
        : fleet_fixture(options(epoch))
    {
    }

    explicit fleet_fixture(const fleet_options& options)
        : fleet_(options, now_)
    {
        queue_.name = "q";
        queue_.host = "h";
        queue_.path_prefix = "/q/";
        queue_.service = base::service_id("s");
        queue_.max_attempts = 2;
        queue_.stretch = 2;
        apply();
    }

    static fleet_options options(std::uint64_t epoch)
    {
        fleet_options made;
        made.epoch = epoch;
        return made;
    }

    // Applies changes of queue_, other_queues_ and team_ to the fleet.
    void apply()
    {
        auto value = std::make_shared<catalogue>();
        value->version = ++version_;
        value->queues[queue_.name] = queue_;
        for (const queue_policy& other : other_queues_)
        {
            value->queues[other.name] = other;
        }
        value->services[queue_.service].service = queue_.service;
        if (!team_.team.empty())
        {
            value->teams[team_.team] = team_;
        }
        fleet_.set_catalogue(value);
    }

    static jobs::step_spec step(int tasks, std::int64_t cpu)
    {
        jobs::step_spec made;
        made.tasks = tasks;
        made.need = {cpu, 100, 0};
        made.estimate = std::chrono::milliseconds(1000);
        return made;
    }

    void add_job(const std::string& id, std::vector<jobs::step_spec> steps,
                 bool inherited = false,
                 const jobs::job_progress& progress = {},
                 const std::string& queue = "q")
    {
        jobs::job_submission job;
        job.queue = queue;
        job.team = team_.team;
        job.submitted = wall();
        job.spec.payload = "p";
        job.spec.steps = std::move(steps);
        fleet_.add_job(base::job_id(id), job, progress, inherited, now_,
                       wall());
    }

    void add_worker(const std::string& id, std::int64_t cpu,
                    const std::string& rack = "r1")
    {
        worker_listing listing;
        listing.worker = base::worker_id(id);
        listing.address = "10.0.0.1:1";
        listing.service = queue_.service;
        listing.capacity = {cpu, 100000, 8};
        listing.labels = {"a", rack};
        fleet_.list_worker(listing, now_);
    }

    // Adds a worker that has reported that it runs nothing.
    void add_ready_worker(const std::string& id, std::int64_t cpu,
                          const std::string& rack = "r1")
    {
        add_worker(id, cpu, rack);
        report(id);
    }

    void report(const std::string& id, std::vector<listed_run> running = {},
                std::vector<run_end> ended = {}, std::int64_t life = 1)
    {
        worker_report made;
        made.life = life;
        made.clock = std::chrono::duration_cast<std::chrono::milliseconds>(
            now_ - base::time_point());
        made.running = std::move(running);
        made.ended = std::move(ended);
        made.sent_at = now_;
        fleet_.on_report(base::worker_id(id), made, now_);
    }

    // Sends renewals now that are not answered, which a daemon in the worker's
    // zone confirms or not.
    void fail_renewals(const std::string& id, int count, bool confirmed = true)
    {
        for (int i = 0; i < count; ++i)
        {
            fleet_.on_renewal_failed(base::worker_id(id), now_, confirmed);
        }
    }

    static jobs::task_key task(const std::string& job, int index, int step = 0)
    {
        return {{base::job_id(job), 0, step}, index};
    }

    void advance(std::chrono::milliseconds span)
    {
        now_ += span;
    }

    std::vector<order> run_round()
    {
        ticket_request_allowance allowance;
        allowance.total = 8;
        allowance.long_requests = 8;
        std::vector<order> orders = fleet_.run_round(now_, wall(), allowance);
        for (const order& next : orders)
        {
            if (const auto* start = std::get_if<start_order>(&next))
            {
                starts.push_back(*start);
            }
            else if (const auto* stop = std::get_if<stop_order>(&next))
            {
                stops.push_back(*stop);
            }
            else if (const auto* save = std::get_if<save_order>(&next))
            {
                saves.push_back(*save);
            }
            else if (const auto* ask = std::get_if<ticket_order>(&next))
            {
                asks.push_back(*ask);
            }
        }
        return orders;
    }

    // Confirms every unconfirmed start order.
    void confirm_starts()
    {
        for (; confirmed_ < starts.size(); ++confirmed_)
        {
            const start_order& start = starts[confirmed_];
            fleet_.on_start(start.worker, start.task, start.run,
                            order_outcome::carried_out, now_);
        }
    }

    void save_all()
    {
        for (const save_order& save : saves)
        {
            fleet_.on_saved(save.job, save.change, now_);
        }
        saves.clear();
    }

    std::chrono::system_clock::time_point wall() const
    {
        return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                now_ - base::time_point()));
    }

    base::time_point now_ = base::time_point(std::chrono::seconds(1000));
    queue_policy queue_;
    std::vector<queue_policy> other_queues_;
    team_policy team_;
    fleet fleet_;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<save_order> saves;
    std::vector<ticket_order> asks;

private:
    std::uint64_t version_ = 0;
    std::size_t confirmed_ = 0;
};

// The end of a run without a checkpoint.
inline run_end end_of(std::uint64_t number, const jobs::task_key& task,
                      std::uint64_t run, end_kind kind)
{
    run_end end;
    end.number = number;
    end.task = task;
    end.run = run;
    end.kind = kind;
    return end;
}

// A run as a worker lists it.
inline listed_run running(const jobs::task_key& task, std::uint64_t run)
{
    listed_run listed;
    listed.task = task;
    listed.run = run;
    return listed;
}

} // namespace coltsfootrack::fleet

#endif
