// Tests of how failed runs affect the use of workers.

#include "fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <set>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fleet whose started runs end as a function of their task and worker says,
// 700 ms after their start.
class failing_fixture : public fleet_fixture
{
public:
    using outcome =
        std::function<end_kind(const std::string& job, const std::string&)>;

    failing_fixture(int workers, outcome ends)
        : ends_(std::move(ends))
    {
        queue_.max_attempts = 1000;
        apply();
        for (int i = 0; i < workers; ++i)
        {
            names_.push_back("w" + std::to_string(i));
            add_ready_worker(names_.back(), 4000);
        }
    }

    static jobs::step_spec standing(int tasks)
    {
        jobs::step_spec made = step(tasks, 500);
        made.standing = true;
        return made;
    }

    // Runs rounds of 50 ms and ends runs that are due.
    void run_for(milliseconds length)
    {
        for (const auto end = now_ + length; now_ < end;
             advance(milliseconds(50)))
        {
            const std::size_t before = starts.size();
            run_round();
            confirm_starts();
            for (std::size_t i = before; i < starts.size(); ++i)
            {
                active_[starts[i].worker.text()].push_back(
                    {starts[i].task, starts[i].run, now_ + milliseconds(700)});
            }
            for (const std::string& name : names_)
            {
                report_worker(name);
            }
            save_all();
        }
    }

    // The workers that were given a task of this job.
    std::set<std::string> workers_of(const std::string& job) const
    {
        std::set<std::string> found;
        for (const start_order& start : starts)
        {
            if (start.task.step.job.text() == job)
            {
                found.insert(start.worker.text());
            }
        }
        return found;
    }

    int starts_on(const std::string& worker) const
    {
        return static_cast<int>(
            std::count_if(starts.begin(), starts.end(),
                          [&](const start_order& start)
                          { return start.worker.text() == worker; }));
    }

private:
    struct active
    {
        jobs::task_key task;
        std::uint64_t run = 0;
        base::time_point ends_at;
    };

    void report_worker(const std::string& name)
    {
        std::vector<listed_run> listed;
        std::vector<run_end> ended;
        std::vector<active> left;
        for (const active& each : active_[name])
        {
            if (each.ends_at <= now_)
            {
                ended.push_back(end_of(++ends_of_[name], each.task, each.run,
                                       ends_(each.task.step.job.text(), name)));
                continue;
            }
            listed.push_back(running(each.task, each.run));
            left.push_back(each);
        }
        active_[name] = left;
        report(name, listed, ended);
    }

    outcome ends_;
    std::vector<std::string> names_;
    std::map<std::string, std::vector<active>> active_;
    std::map<std::string, std::uint64_t> ends_of_;
};

// Eight tasks fit on a worker. It may be filled before the failures are known,
// and again after each of the quarantines of 4, 8 and 16 s.
constexpr int most_starts_on_bad_worker = 32;

end_kind fails_if(bool failed)
{
    return failed ? end_kind::failed : end_kind::done;
}

} // namespace

class health_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(health_test);
    CPPUNIT_TEST(two_jobs_that_always_fail_keep_no_worker_from_others);
    CPPUNIT_TEST(many_jobs_that_always_fail_keep_no_worker_from_others);
    CPPUNIT_TEST(worker_that_fails_everything_is_quarantined);
    CPPUNIT_TEST(worker_that_fails_everything_is_found_beside_failing_jobs);
    CPPUNIT_TEST(one_wave_of_failures_is_one_quarantine);
    CPPUNIT_TEST(half_of_the_workers_stay_in_use_whatever_fails);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two crash-looping jobs that stop a service for all: each
    // worker that they had met was taken for the cause.
    void two_jobs_that_always_fail_keep_no_worker_from_others()
    {
        check_others_are_served(2);
    }

    void many_jobs_that_always_fail_keep_no_worker_from_others()
    {
        check_others_are_served(12);
    }

    // Guards against a worker that swallows the tasks of all jobs.
    void worker_that_fails_everything_is_quarantined()
    {
        failing_fixture f(
            6, [](const std::string& /*job*/, const std::string& worker)
            { return fails_if(worker == "w0"); });
        for (int i = 0; i < 40; ++i)
        {
            f.add_job("job" + std::to_string(i), {fleet_fixture::step(4, 500)});
            f.run_for(milliseconds(500));
        }
        f.run_for(seconds(10));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(f.starts_on("w0")),
                               f.starts_on("w0") <= most_starts_on_bad_worker);
        CPPUNIT_ASSERT(f.starts_on("w0") > 0);
        for (int i = 0; i < 40; ++i)
        {
            CPPUNIT_ASSERT(
                f.fleet_.state_of(base::job_id("job" + std::to_string(i))) ==
                jobs::job_state::completed);
        }
    }

    void worker_that_fails_everything_is_found_beside_failing_jobs()
    {
        failing_fixture f(
            6, [](const std::string& job, const std::string& worker)
            { return fails_if(worker == "w0" || job.substr(0, 3) == "bad"); });
        f.add_job("bad1", {failing_fixture::standing(2)});
        f.add_job("bad2", {failing_fixture::standing(2)});
        for (int i = 0; i < 40; ++i)
        {
            f.add_job("job" + std::to_string(i), {fleet_fixture::step(4, 500)});
            f.run_for(milliseconds(500));
        }
        int on_bad_worker = 0;
        for (const start_order& start : f.starts)
        {
            on_bad_worker += start.worker.text() == "w0" &&
                                     start.task.step.job.text()[0] == 'j'
                                 ? 1
                                 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(on_bad_worker),
                               on_bad_worker <= most_starts_on_bad_worker);
    }

    // Guards against 32 s for failures of runs that were started together.
    void one_wave_of_failures_is_one_quarantine()
    {
        bool broken = true;
        failing_fixture f(
            2, [&broken](const std::string& /*job*/, const std::string& worker)
            { return fails_if(broken && worker == "w0"); });
        for (int i = 0; i < 16; ++i)
        {
            f.add_job("job" + std::to_string(i), {fleet_fixture::step(1, 500)});
        }
        f.run_for(seconds(1));
        broken = false;
        const int before = f.starts_on("w0");
        CPPUNIT_ASSERT(before >= 8);
        // Once the first quarantine of 4 s is over.
        f.run_for(milliseconds(4100));
        f.add_job("wide", {fleet_fixture::step(16, 500)});
        f.run_for(milliseconds(200));
        CPPUNIT_ASSERT(f.starts_on("w0") > before);
    }

    // Guards against an idle service where every job fails on every worker but
    // once, so that each failure seems to be that of the worker.
    void half_of_the_workers_stay_in_use_whatever_fails()
    {
        std::set<std::pair<std::string, std::string>> met;
        failing_fixture f(
            4,
            [&met](const std::string& job, const std::string& worker) {
                return fails_if(job == "ever" ||
                                met.emplace(job, worker).second);
            });
        for (int i = 0; i < 30; ++i)
        {
            f.add_job("job" + std::to_string(i), {fleet_fixture::step(2, 500)});
        }
        const std::size_t before = f.starts.size();
        f.run_for(seconds(6));
        for (int i = 0; i < 6; ++i)
        {
            const std::size_t started = f.starts.size();
            f.add_job("more" + std::to_string(i),
                      {fleet_fixture::step(1, 500)});
            f.run_for(milliseconds(700));
            CPPUNIT_ASSERT(f.starts.size() > started);
        }
        CPPUNIT_ASSERT(f.starts.size() > before);
    }

private:
    static void check_others_are_served(int failing)
    {
        failing_fixture f(6, [](const std::string& job, const std::string&)
                          { return fails_if(job.substr(0, 3) == "bad"); });
        for (int i = 0; i < failing; ++i)
        {
            f.add_job("bad" + std::to_string(i),
                      {failing_fixture::standing(36 / failing)});
        }
        f.run_for(seconds(8));
        for (int i = 0; i < 20; ++i)
        {
            const std::string id = "job" + std::to_string(i);
            f.add_job(id, {fleet_fixture::step(2, 500)});
            f.run_for(seconds(2));
            CPPUNIT_ASSERT_MESSAGE(id, f.fleet_.state_of(base::job_id(id)) ==
                                           jobs::job_state::completed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(health_test);

} // namespace coltsfootrack::fleet
