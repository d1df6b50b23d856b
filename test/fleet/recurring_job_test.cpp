// Tests of jobs that repeat: what is stored and kept of them, and when their
// occurrences begin.

#include "fleet_fixture.hpp"

#include <coltsfootrack/jobs/job_progress.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t row_bytes = 65536;

jobs::job_submission recurring(const fleet_fixture& f, int repeats,
                               milliseconds interval, int tasks = 1)
{
    jobs::job_submission job;
    job.queue = "q";
    job.submitted = f.wall();
    job.spec.payload = "p";
    job.spec.steps = {fleet_fixture::step(tasks, 10)};
    job.spec.repeats = repeats;
    job.spec.first_due = f.wall();
    job.spec.interval = interval;
    return job;
}

jobs::task_key task_of(int occurrence, int index = 0)
{
    return {{base::job_id("job"), occurrence, 0}, index};
}

} // namespace

class recurring_job_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recurring_job_test);
    CPPUNIT_TEST(job_of_many_repeats_fits_into_a_row);
    CPPUNIT_TEST(job_with_every_task_failing_fits_into_a_row);
    CPPUNIT_TEST(job_with_rejected_progress_fails_alone);
    CPPUNIT_TEST(finished_occurrences_are_not_run_again_by_next_leader);
    CPPUNIT_TEST(run_of_occurrence_not_due_yet_is_kept);
    CPPUNIT_TEST(end_of_occurrence_not_due_yet_counts);
    CPPUNIT_TEST(end_of_finished_occurrence_waits_for_its_store);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stored progress that grows with the repeats that are
    // done, until the store refuses it and the cell stops.
    void job_of_many_repeats_fits_into_a_row()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 40);
        f.fleet_.add_job(base::job_id("job"),
                         recurring(f, 8000, milliseconds(3)), {}, false, f.now_,
                         f.wall());
        std::uint64_t ends = 0;
        std::size_t longest = 0;
        std::size_t answered = 0;
        // Newest first, so that ends leave gaps.
        while (f.fleet_.state_of(base::job_id("job")) !=
               jobs::job_state::completed)
        {
            f.advance(milliseconds(20));
            f.run_round();
            f.confirm_starts();
            for (const save_order& save : f.saves)
            {
                longest = std::max(longest, save.text.size());
            }
            f.save_all();
            std::vector<run_end> ended;
            for (std::size_t i = f.starts.size(); i > answered; --i)
            {
                const start_order& start = f.starts[i - 1];
                ended.push_back(
                    end_of(++ends, start.task, start.run, end_kind::done));
            }
            answered = f.starts.size();
            f.report("w", {}, ended);
            CPPUNIT_ASSERT(f.starts.size() <= 8000);
            CPPUNIT_ASSERT(f.now_ < base::time_point(std::chrono::hours(1)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8000), f.starts.size());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(longest), longest < row_bytes);
        CPPUNIT_ASSERT(longest > 0);
    }

    // Guards against the same by the failures of its tasks.
    void job_with_every_task_failing_fits_into_a_row()
    {
        fleet_fixture f;
        f.queue_.max_attempts = 100;
        f.apply();
        for (int i = 0; i < 10; ++i)
        {
            f.add_ready_worker("w" + std::to_string(i), 1000);
        }
        f.add_job("wide", {fleet_fixture::step(10000, 10)});
        std::map<std::string, std::uint64_t> ends;
        std::size_t longest = 0;
        std::size_t answered = 0;
        for (int round = 0; round < 200; ++round)
        {
            f.advance(milliseconds(4500));
            f.run_round();
            f.confirm_starts();
            for (const save_order& save : f.saves)
            {
                longest = std::max(longest, save.text.size());
            }
            f.save_all();
            std::map<std::string, std::vector<run_end>> ended;
            for (; answered < f.starts.size(); ++answered)
            {
                const start_order& start = f.starts[answered];
                const std::string worker = start.worker.text();
                ended[worker].push_back(end_of(++ends[worker], start.task,
                                               start.run, end_kind::failed));
            }
            for (int i = 0; i < 10; ++i)
            {
                const std::string worker = "w" + std::to_string(i);
                f.report(worker, {}, ended[worker]);
            }
        }
        CPPUNIT_ASSERT(answered > 5000);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(longest), longest < row_bytes);
    }

    void job_with_rejected_progress_fails_alone()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 20);
        f.add_job("bad", {fleet_fixture::step(1, 10)});
        f.add_job("good", {fleet_fixture::step(1, 10)});
        f.run_round();
        f.confirm_starts();
        f.fleet_.on_save_rejected(base::job_id("bad"), f.now_);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.stops.size());
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("bad")) ==
                       jobs::job_state::failed);
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("good")) ==
                       jobs::job_state::running);
    }

    // Guards against tasks that run twice after a change of leaders.
    void finished_occurrences_are_not_run_again_by_next_leader()
    {
        jobs::job_progress stored;
        stored.state = jobs::job_state::running;
        stored.finished.insert_range(0, 3);
        stored.finished.insert(5);
        stored.steps[{6, 0}].done = {true, false};
        fleet_fixture f(2);
        f.add_ready_worker("w", 1000);
        f.fleet_.add_job(base::job_id("job"),
                         recurring(f, 8, milliseconds(0), 2), stored, true,
                         f.now_, f.wall());
        f.run_round();
        std::set<std::pair<int, int>> started;
        for (const start_order& start : f.starts)
        {
            started.emplace(start.task.step.occurrence, start.task.index);
        }
        const std::set<std::pair<int, int>> wanted = {
            {4, 0}, {4, 1}, {6, 1}, {7, 0}, {7, 1}};
        CPPUNIT_ASSERT(started == wanted);
    }

    // Guards against a run that is stopped, since the clock of the daemon that
    // started it was ahead.
    void run_of_occurrence_not_due_yet_is_kept()
    {
        fleet_fixture f;
        f.add_worker("w", 100);
        f.fleet_.add_job(base::job_id("job"),
                         recurring(f, 3, milliseconds(60000)), {}, true, f.now_,
                         f.wall());
        f.report("w", {running(task_of(1), 1)});
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    // Guards against the end of such a run that is dropped, so that its task
    // runs again.
    void end_of_occurrence_not_due_yet_counts()
    {
        fleet_fixture f;
        f.add_worker("w", 100);
        f.fleet_.add_job(base::job_id("job"),
                         recurring(f, 2, milliseconds(1000)), {}, true, f.now_,
                         f.wall());
        f.report("w", {}, {end_of(1, task_of(1), 1, end_kind::done)});
        f.advance(milliseconds(2000));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.starts.size());
        CPPUNIT_ASSERT_EQUAL(0, f.starts[0].task.step.occurrence);
    }

    // Guards against an end that is acknowledged before it is stored.
    void end_of_finished_occurrence_waits_for_its_store()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 100);
        f.fleet_.add_job(base::job_id("job"),
                         recurring(f, 2, milliseconds(60000)), {}, false,
                         f.now_, f.wall());
        f.run_round();
        f.confirm_starts();
        f.report("w", {},
                 {end_of(1, task_of(0), 1, end_kind::done),
                  end_of(2, task_of(0), 1, end_kind::done)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             f.fleet_.acknowledged(base::worker_id("w")));
        f.save_all();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                             f.fleet_.acknowledged(base::worker_id("w")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recurring_job_test);

} // namespace coltsfootrack::fleet
