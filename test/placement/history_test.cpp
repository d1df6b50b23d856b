// Random event histories with faults, compared with the reference model of a
// zone.

#include "reference_zone.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/placement/scheduler.hpp>

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootrack::placement
{
namespace
{

// The kind of an event and a number from which its details are derived.
using event = std::pair<std::uint8_t, std::uint32_t>;

constexpr int event_kinds = 14;
constexpr std::array<base::resources, 5> sizes{{{1000, 1024, 0},
                                                {3000, 1024, 0},
                                                {500, 6000, 0},
                                                {8000, 8192, 0},
                                                {1000, 2048, 2}}};
constexpr base::resources plain{8000, 8192, 0};
constexpr base::resources accelerator{8000, 16384, 4};
constexpr base::resources plenty{48000, 65536, 8};

// Runs one history on a scheduler and on the model.
class history
{
public:
    history(const scheduler_options& options, bool exact)
        : zone_(options, base::seeded_random(3))
        , exact_(exact)
    {
        std::vector<team_policy> policies;
        for (const auto& [name, weight] :
             {std::pair<std::string, int>{"ta", 1}, {"tb", 2}, {"tc", 4}})
        {
            policies.push_back({base::team_id(name), weight, plenty});
            model_.teams[name] = {plenty, weight};
        }
        zone_.set_teams(policies);
        for (const auto& [name, team] : model_.teams)
        {
            zone_.set_quota(base::team_id(name), team.slice);
        }
        for (int i = 0; i < 6; ++i)
        {
            add_worker(i);
        }
    }

    void play(const event& next)
    {
        const std::uint32_t number = next.second;
        switch (next.first % event_kinds)
        {
        case 0:
        case 1:
        case 2:
        case 3:
            return submit(number);
        case 4:
        case 5:
            return end(number, task_outcome_finished);
        case 6:
            return end(number, task_outcome_failed);
        case 7:
            return end(number, task_outcome_stopped);
        case 8:
            return cancel(number);
        case 9:
            return change_worker(number);
        case 10:
            return change_slice(number);
        case 11:
            return report_late(number);
        case 12:
            return use(number);
        default:
            return step();
        }
    }

    // Ends everything, and checks that nothing is left over.
    void drain()
    {
        for (int i = 0; i < 6; ++i)
        {
            add_worker(i);
        }
        for (auto& [name, team] : model_.teams)
        {
            team.slice = plenty;
            zone_.set_quota(base::team_id(name), plenty);
        }
        for (int round = 0; round < 1000 && !model_.jobs.empty(); ++round)
        {
            step();
            for (const auto& [name, index] : model_.running())
            {
                finish(name, index);
            }
            now_ += std::chrono::seconds(5);
        }
        for (const std::string& name : model_.order)
        {
            RC_FAIL(name +
                    " is left: " + zone_.explain(base::job_id(name)).text);
        }
        step();
        const scheduler_counters counters = zone_.counters();
        RC_ASSERT(counters.running_tasks == 0U);
        RC_ASSERT(counters.stopping_tasks == 0U);
        RC_ASSERT(counters.waiting_tasks == 0U);
        RC_ASSERT(counters.waiting_jobs == 0U);
        RC_ASSERT(counters.free == counters.capacity);
        for (const team_counters& team : counters.teams)
        {
            RC_ASSERT(team.used == base::resources());
            RC_ASSERT(team.waiting == base::resources());
        }
    }

    void step()
    {
        now_ += std::chrono::milliseconds(100);
        std::map<std::string, std::size_t> gang_starts;
        // Steps must make progress while has_more is true.
        int rounds = 0;
        do
        {
            RC_ASSERT(++rounds < 1000);
            for (const action& decided : zone_.step(now_, 1000))
            {
                if (exact_ && decided.type == action_type::start &&
                    gang_starts[decided.task.job.text()]-- == 0)
                {
                    const std::optional<std::string> expected =
                        model_.next_job();
                    RC_ASSERT(expected.has_value());
                    RC_ASSERT(decided.task.job.text() == *expected);
                    const reference_zone::known_job& job =
                        model_.jobs.at(*expected);
                    gang_starts[*expected] = job.spec.kind == job_kind::gang
                                                 ? job.waiting.size() - 1
                                                 : 0;
                }
                const std::string wrong = model_.apply(decided);
                RC_ASSERT(wrong == std::string());
                tokens_.emplace_back(decided.task, decided.token);
            }
        } while (zone_.has_more());
        if (exact_)
        {
            RC_ASSERT(!model_.next_job().has_value());
        }
        check_gangs();
        check_counters();
    }

private:
    enum outcome
    {
        task_outcome_finished,
        task_outcome_failed,
        task_outcome_stopped
    };

    void add_worker(int number)
    {
        const std::string name = "w" + std::to_string(number);
        const base::resources capacity = number < 4 ? plain : accelerator;
        model_.workers[name] = {capacity, true};
        zone_.add_worker({base::worker_id(name),
                          base::rack_id("r" + std::to_string(number % 3)),
                          capacity});
        zone_.set_worker_state(base::worker_id(name), worker_state::live);
    }

    void submit(std::uint32_t number)
    {
        static const std::array<const char*, 3> names{"ta", "tb", "tc"};
        job_spec spec;
        spec.id = base::job_id("j" + std::to_string(jobs_++));
        spec.team = base::team_id(names[number % 3]);
        number /= 3;
        spec.kind = static_cast<job_kind>(number % 3);
        number /= 3;
        spec.task_size = sizes[number % sizes.size()];
        number /= sizes.size();
        spec.task_count = 1 + number % 4;
        number /= 4;
        spec.urgent = number % 5 == 0;
        spec.exclusive = number % 7 == 0;
        spec.rack_spread = number % 4 == 0;
        spec.run_time = std::chrono::seconds(number % 60);
        const absl::Status status = zone_.submit(spec, now_);
        if (status.ok())
        {
            model_.submit(spec);
        }
        else
        {
            RC_ASSERT(base::kind_of(status) ==
                      base::error_kind::impossible_job);
        }
    }

    void finish(const std::string& name, std::uint32_t index)
    {
        const reference_zone::running_task& task =
            model_.jobs.at(name).running.at(index);
        RC_ASSERT(zone_.report_finished({base::job_id(name), index}, task.token,
                                        now_));
        model_.end(name, index, true);
    }

    void end(std::uint32_t number, outcome how)
    {
        const auto running = model_.running();
        if (running.empty())
        {
            return;
        }
        const auto& [name, index] = running[number % running.size()];
        if (how == task_outcome_finished)
        {
            return finish(name, index);
        }
        const std::string token = model_.jobs.at(name).running.at(index).token;
        const base::task_id task{base::job_id(name), index};
        RC_ASSERT((how == task_outcome_failed
                       ? zone_.report_failed(task, token, "fault", now_)
                       : zone_.report_stopped(task, token, now_)));
        model_.end(name, index, false);
    }

    void cancel(std::uint32_t number)
    {
        if (!model_.order.empty())
        {
            const std::string name = model_.order[number % model_.order.size()];
            RC_ASSERT(zone_.cancel(base::job_id(name)).ok());
            if (!model_.jobs.at(name).ending)
            {
                model_.cancel(name);
            }
        }
    }

    void change_worker(std::uint32_t number)
    {
        const int worker = static_cast<int>(number % 6);
        const std::string name = "w" + std::to_string(worker);
        switch (number / 6 % 4)
        {
        case 0:
            zone_.remove_worker(base::worker_id(name));
            return model_.remove_worker(name);
        case 1:
            return add_worker(worker);
        default:
            zone_.set_worker_state(base::worker_id(name),
                                   number % 2 == 0 ? worker_state::lost
                                                   : worker_state::leaving);
            if (model_.workers.count(name) > 0)
            {
                model_.workers[name].live = false;
            }
        }
    }

    void change_slice(std::uint32_t number)
    {
        auto team = std::next(model_.teams.begin(), number % 3);
        base::resources slice{static_cast<std::int64_t>(number % 7) * 4000,
                              static_cast<std::int64_t>(number % 5) * 8192,
                              number % 4};
        if (exact_)
        {
            // A slice below the use would cause stops, which the model does not
            // predict.
            slice = base::component_max(slice, model_.used_by(team->first));
        }
        team->second.slice = slice;
        zone_.set_quota(base::team_id(team->first), slice);
    }

    void report_late(std::uint32_t number)
    {
        if (tokens_.empty())
        {
            return;
        }
        const auto& [task, token] = tokens_[number % tokens_.size()];
        const auto job = model_.jobs.find(task.job.text());
        if (job != model_.jobs.end() &&
            job->second.running.count(task.index) > 0 &&
            job->second.running.at(task.index).token == token)
        {
            return;
        }
        RC_ASSERT(!zone_.report_finished(task, token, now_));
        RC_ASSERT(!zone_.report_failed(task, token, "late", now_));
        RC_ASSERT(!zone_.report_stopped(task, token, now_));
    }

    void use(std::uint32_t number)
    {
        const auto running = model_.running();
        if (exact_ || running.empty())
        {
            return;
        }
        const auto& [name, index] = running[number % running.size()];
        const reference_zone::running_task& task =
            model_.jobs.at(name).running.at(index);
        const std::int64_t percent = number / 100 % 150;
        RC_ASSERT(zone_.report_usage({base::job_id(name), index}, task.token,
                                     {task.size.cpu_milli * percent / 100,
                                      task.size.memory_mb * percent / 100, 0},
                                     now_));
    }

    // After a step a gang has all its tasks, or its tasks are being stopped.
    void check_gangs() const
    {
        for (const auto& [name, job] : model_.jobs)
        {
            if (job.spec.kind == job_kind::gang && !job.ending &&
                !job.waiting.empty())
            {
                for (const auto& [index, task] : job.running)
                {
                    RC_ASSERT(task.stopping);
                }
            }
        }
    }

    void check_counters() const
    {
        const scheduler_counters counters = zone_.counters();
        RC_ASSERT(counters.running_tasks == model_.running().size());
        for (const team_counters& team : counters.teams)
        {
            // Usage can only raise what is booked.
            const base::resources used = model_.used_by(team.team.text());
            RC_ASSERT((exact_ ? used == team.used : used.fits_in(team.used)));
        }
        for (const auto& [name, job] : model_.jobs)
        {
            const explanation text = zone_.explain(base::job_id(name));
            RC_ASSERT(text.tasks_waiting == job.waiting.size());
            RC_ASSERT(text.tasks_running == job.running.size());
        }
    }

    scheduler zone_;
    reference_zone model_;
    bool exact_;
    base::time_point now_{std::chrono::hours(1)};
    int jobs_ = 0;
    std::vector<std::pair<base::task_id, std::string>> tokens_;
};

// Histories are long enough to fill the fleet and to empty it again.
constexpr std::size_t history_length = 250;

std::vector<event> any_events()
{
    return *rc::gen::container<std::vector<event>>(
        history_length,
        rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, event_kinds),
                      rc::gen::inRange<std::uint32_t>(0, 1U << 30U)));
}

} // namespace

class history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(history_test);
    CPPUNIT_TEST(history_of_faults_starts_what_the_model_starts);
    CPPUNIT_TEST(history_of_faults_keeps_all_rules_and_loses_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job that is skipped, started out of order, or not tried
    // again after room was freed; and against broken rules.
    void history_of_faults_starts_what_the_model_starts()
    {
        scheduler_options options;
        options.preemption = false;
        options.reservations = false;
        options.keep_accelerators = false;
        options.avoid_time = {};
        options.retry_backoff = {};
        options.fail_job_after_workers = 100000;
        options.fail_job_after_failures = 100000;
        options.quarantine_jobs = 100000;
        options.max_searches_per_step = 100000;
        options.max_classes_per_team = 100000;
        CPPUNIT_ASSERT(rc::check("the model starts the same jobs",
                                 [&options]
                                 {
                                     history run(options, true);
                                     for (const event& next : any_events())
                                     {
                                         run.play(next);
                                     }
                                     run.step();
                                     run.drain();
                                 }));
    }

    // Guards against broken rules, lost tasks and leaked bookings with all
    // features enabled.
    void history_of_faults_keeps_all_rules_and_loses_nothing()
    {
        scheduler_options options;
        options.reserve_after = std::chrono::milliseconds(300);
        options.replan_interval = std::chrono::milliseconds(500);
        options.max_searches_per_step = 5;
        options.max_preemption_plans_per_step = 2;
        options.max_cancel_stops_per_step = 2;
        CPPUNIT_ASSERT(rc::check("all rules are kept",
                                 [&options]
                                 {
                                     history run(options, false);
                                     for (const event& next : any_events())
                                     {
                                         run.play(next);
                                     }
                                     run.step();
                                     run.drain();
                                 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(history_test);

} // namespace coltsfootrack::placement
