// Tests of the stored format of jobs: a row is read back unchanged, and a
// malformed row is an error and not a partial job.

#include <coltsfootrack/jobs/job_progress.hpp>
#include <coltsfootrack/jobs/job_submission.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootrack::jobs
{
namespace
{

step_spec any_step(int number)
{
    step_spec step;
    step.tasks = *rc::gen::inRange(1, 50);
    step.need = {*rc::gen::inRange(0, 100000), *rc::gen::inRange(0, 100000),
                 *rc::gen::inRange(0, 9)};
    step.estimate = std::chrono::milliseconds(*rc::gen::inRange(0, 100000));
    if (number > 0)
    {
        step.after = {*rc::gen::inRange(0, number)};
    }
    step.checkpoints = *rc::gen::arbitrary<bool>();
    step.gang = *rc::gen::arbitrary<bool>();
    step.same_rack = *rc::gen::arbitrary<bool>();
    step.required_label = *rc::gen::element<std::string>("", "a", "b");
    step.data_rack = *rc::gen::element<std::string>("", "r1", "r2");
    step.max_per_worker = *rc::gen::inRange(0, 5);
    step.copies_allowed = *rc::gen::arbitrary<bool>();
    step.standing = *rc::gen::arbitrary<bool>();
    step.image = *rc::gen::element<std::string>("", "i");
    step.latency_target = std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    step.uses_leftover = *rc::gen::arbitrary<bool>();
    step.has_disruption_budget = *rc::gen::arbitrary<bool>();
    step.disruption_budget =
        step.has_disruption_budget ? *rc::gen::inRange(0, 5) : 0;
    return step;
}

job_submission any_submission()
{
    job_submission job;
    job.queue = *rc::gen::element<std::string>("q", "r");
    job.team = base::team_id(*rc::gen::element<std::string>("", "t"));
    job.submitted = std::chrono::system_clock::time_point(
        std::chrono::milliseconds(*rc::gen::inRange(0, 2000000000)));
    job.service =
        base::service_id(*rc::gen::element<std::string>("", "s", "\"{}\\"));
    job.spec.payload = *rc::gen::element<std::string>("", "text", "\"{}\\");
    const int steps = *rc::gen::inRange(1, 6);
    for (int i = 0; i < steps; ++i)
    {
        job.spec.steps.push_back(any_step(i));
    }
    if (*rc::gen::arbitrary<bool>())
    {
        job.spec.repeats = *rc::gen::inRange(1, 9);
        job.spec.first_due = std::chrono::system_clock::time_point(
            std::chrono::milliseconds(*rc::gen::inRange(0, 2000000000)));
        job.spec.interval =
            std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
    }
    return job;
}

job_progress any_progress()
{
    job_progress value;
    value.state = *rc::gen::element(job_state::queued, job_state::running);
    const int ranges = *rc::gen::inRange(0, 4);
    for (int i = 0; i < ranges; ++i)
    {
        const int first = *rc::gen::inRange(1, 9000);
        value.finished.insert_range(first, first + *rc::gen::inRange(0, 900));
    }
    const int services = *rc::gen::inRange(0, 7);
    for (int i = 0; i < services; ++i)
    {
        value.services.add(base::service_id(std::to_string(i)));
    }
    const int steps = *rc::gen::inRange(0, 5);
    for (int i = 0; i < steps; ++i)
    {
        step_progress& step = value.steps[{0, i}];
        const int tasks = *rc::gen::inRange(1, 9);
        for (int k = 0; k < tasks; ++k)
        {
            step.done.push_back(*rc::gen::arbitrary<bool>());
        }
        if (*rc::gen::arbitrary<bool>())
        {
            step.failures[*rc::gen::inRange(0, tasks)] = {
                1, static_cast<std::uint64_t>(*rc::gen::inRange(2, 99999))};
        }
    }
    return value;
}

// The last occurrences are open, every other one before them has finished, and
// every other task of an open one is done.
job_progress longest_progress(const job_spec& spec)
{
    const int open = static_cast<int>(max_open_occurrences(spec));
    job_progress value;
    value.state = job_state::running;
    for (int i = 0; i < open; ++i)
    {
        const int occurrence = max_repeats - 1 - 2 * i;
        value.finished.insert(occurrence - 1);
        for (std::size_t k = 0; k < spec.steps.size(); ++k)
        {
            auto& done = value.steps[{occurrence, static_cast<int>(k)}].done;
            for (int task = 0; task < spec.steps[k].tasks; ++task)
            {
                done.push_back(task % 2 == 0);
            }
        }
    }
    return value;
}

} // namespace

class stored_rows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stored_rows_test);
    CPPUNIT_TEST(submission_is_read_back);
    CPPUNIT_TEST(progress_is_read_back);
    CPPUNIT_TEST(progress_of_former_version_is_read);
    CPPUNIT_TEST(progress_of_any_accepted_job_fits_into_a_row);
    CPPUNIT_TEST(job_with_too_many_tasks_is_invalid);
    CPPUNIT_TEST(final_progress_keeps_only_its_state);
    CPPUNIT_TEST(malformed_row_is_an_error);
    CPPUNIT_TEST(critical_path_is_the_longest_chain);
    CPPUNIT_TEST_SUITE_END();

public:
    void submission_is_read_back()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const job_submission job = any_submission();
                const auto read = decode_submission(encode(job));
                RC_ASSERT(read.ok());
                RC_ASSERT(*read == job);
            }));
    }

    void progress_is_read_back()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const job_progress value = any_progress();
                const auto read = decode_progress(encode(value));
                RC_ASSERT(read.ok());
                RC_ASSERT(*read == value);
            }));
    }

    // Guards against tasks that run again after an upgrade.
    void progress_of_former_version_is_read()
    {
        const auto read = decode_progress(
            R"({"state":"running","steps":[[3,1,"0110",[[0,[2,7]]]]]})");
        CPPUNIT_ASSERT(read.ok());
        job_progress wanted;
        wanted.state = job_state::running;
        wanted.steps[{3, 1}] = {{false, true, true, false}, {{0, {2, 7}}}};
        CPPUNIT_ASSERT(*read == wanted);
    }

    // Guards against an accepted job whose progress the store cannot take: as
    // many open occurrences as allowed, each with progress that is as long as
    // can be, and as many failures as let a job start further tasks.
    void progress_of_any_accepted_job_fits_into_a_row()
    {
        for (const int steps : {1, 2, 20, 200})
        {
            for (const int tasks : {1, 3, 50, 100, 5000, 10000})
            {
                job_spec spec;
                spec.repeats = max_repeats;
                spec.steps.resize(static_cast<std::size_t>(steps));
                for (step_spec& step : spec.steps)
                {
                    step.tasks = tasks;
                }
                if (!check(spec).ok())
                {
                    continue;
                }
                const std::size_t bytes = encode(longest_progress(spec)).size();
                CPPUNIT_ASSERT_MESSAGE(std::to_string(steps) + "x" +
                                           std::to_string(tasks) + ": " +
                                           std::to_string(bytes),
                                       bytes < max_open_progress_bytes + 100);
            }
        }
    }

    void job_with_too_many_tasks_is_invalid()
    {
        job_spec spec;
        spec.steps.resize(2);
        spec.steps[0].tasks = max_tasks_per_step;
        spec.steps[1].tasks = max_tasks_per_step;
        CPPUNIT_ASSERT(check(spec).ok());
        spec.steps.resize(3);
        spec.steps[2].tasks = 1;
        CPPUNIT_ASSERT(!check(spec).ok());
        // A former version may have accepted it.
        job_submission job;
        job.spec = spec;
        CPPUNIT_ASSERT(decode_submission(encode(job)).ok());
    }

    void final_progress_keeps_only_its_state()
    {
        job_progress value;
        value.state = job_state::completed;
        value.steps[{0, 0}].done = {true};
        const auto read = decode_progress(encode(value));
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->state == job_state::completed);
        CPPUNIT_ASSERT(read->steps.empty());
    }

    void malformed_row_is_an_error()
    {
        const char* without_steps = R"({"queue":"q","submitted_ms":0,
            "payload":"","steps":[]})";
        for (const char* text :
             {"", "{", "[]", R"({"queue":1})", R"({"state":"unheard"})",
              without_steps, R"({"state":"running","steps":[[0]]})"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, !decode_submission(text).ok());
            CPPUNIT_ASSERT_MESSAGE(text, !decode_progress(text).ok());
        }
    }

    void critical_path_is_the_longest_chain()
    {
        job_spec spec;
        for (const int ms : {100, 300, 50})
        {
            step_spec step;
            step.estimate = std::chrono::milliseconds(ms);
            spec.steps.push_back(step);
        }
        spec.steps[2].after = {0, 1};
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(critical_path(spec, milliseconds(0)) ==
                       milliseconds(350));
        CPPUNIT_ASSERT(critical_path(spec, milliseconds(10)) ==
                       milliseconds(370));
        const std::vector<milliseconds> wanted{
            milliseconds(150), milliseconds(350), milliseconds(50)};
        CPPUNIT_ASSERT(remaining_paths(spec, milliseconds(0)) == wanted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stored_rows_test);

} // namespace coltsfootrack::jobs
