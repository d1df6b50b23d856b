#ifndef COLTSFOOTRACK_TEST_SOAK_HISTORY_CHECKER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SOAK_HISTORY_CHECKER_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace coltsfootrack::soak
{

// A step of a submitted job.
struct submitted_step
{
    int tasks = 1;
    std::int64_t cpu_milli = 0;
    std::vector<int> after;
    // Its tasks run until the job is cancelled, and are started again however
    // their runs end and as often as they end.
    bool standing = false;
};

// A job that a client submitted, and the answers it got.
struct submitted_job
{
    std::string payload;
    std::vector<submitted_step> steps;
    int max_attempts = 0;
    // Some submission succeeded, or each was refused.
    bool accepted = false;
    bool all_refused = true;
    bool cancelled = false;
};

// Checks the events at the workers against the jobs that clients submitted and
// the answers they got. It shares no code with the scheduler.
class history_checker
{
public:
    explicit history_checker(std::int64_t worker_cpu_milli);

    submitted_job& job(const std::string& id)
    {
        return jobs_[id];
    }

    const std::map<std::string, submitted_job>& jobs() const
    {
        return jobs_;
    }

    // Whether an end counts as observed by the cell 100 ms after a worker has
    // listed it in an answer, even if no daemon reads the answer. The platform
    // requires this while there is no fault; a daemon that is short of
    // processor time is not a fault.
    void set_listed_ends_observed(bool observed)
    {
        listed_ends_observed_ = observed;
    }

    // Checks events of workers, which must come in the order of their times.
    void apply(const nlohmann::json& events);

    // The standing tasks that have run and have no run, with the time at which
    // their last run ended, in milliseconds.
    const std::map<std::string, std::int64_t>& standing_gaps() const
    {
        return standing_gaps_;
    }

    // The step that a task belongs to, and its job.
    const submitted_job& job_of_task(const std::string& task) const;
    const submitted_step& step_of_task(const std::string& task) const;

    // The capacity that the active runs of a worker take.
    std::int64_t used_cpu_milli(const std::string& worker) const;

    // Whether all tasks of a job have an active run.
    bool all_running(const std::string& id) const;

    // Whether all tasks of a job have ended as done.
    bool done(const std::string& id) const;

    // Whether a task of a job has failed max_attempts times; no standing task
    // counts.
    bool attempts_exhausted(const std::string& id) const;

    // Checks that need all answers to clients; called once, at the end.
    void finish();

    const std::vector<std::string>& violations() const
    {
        return violations_;
    }

    std::uint64_t starts() const
    {
        return starts_;
    }

private:
    struct task_id
    {
        std::string job;
        int step = 0;
        int index = 0;
    };

    struct task_state
    {
        // Worker and run number of each active run.
        std::set<std::pair<std::string, std::uint64_t>> running;
        bool done = false;
        // The end of a done run was acknowledged.
        bool done_acknowledged = false;
        std::set<std::pair<std::string, std::uint64_t>> done_runs;
        std::set<std::pair<std::string, std::uint64_t>> failed_runs;
        int failures_acknowledged = 0;
    };

    // A run that ended as done.
    struct completed_run
    {
        std::string worker;
        std::uint64_t run = 0;
        // When the end counts as observed, in milliseconds, unless the lease
        // of the worker lapses before; -1 until it has been listed.
        std::int64_t due_ms = -1;
        bool observed = false;
        // The first start of the task after the end, if there was one.
        nlohmann::json started_again;
    };

    void mark_observed(completed_run& ended);
    void observe_due_ends(std::int64_t now_ms);
    void drop_unobserved_runs(const std::string& worker);
    completed_run* find_completed_run(const nlohmann::json& event,
                                      const std::string& task);
    void on_start(const nlohmann::json& event, const std::string& task);
    void on_end(const nlohmann::json& event, const std::string& task);
    void on_acknowledgement(const nlohmann::json& event,
                            const std::string& task);
    void on_worker_restart(const std::string& worker, std::int64_t now_ms);
    void check_no_repetition(const nlohmann::json& event,
                             const std::string& task, int max_attempts);
    bool is_standing(const std::string& task) const;
    void add_violation(const nlohmann::json& event, const std::string& rule);
    static task_id parse_task_id(const std::string& task);
    bool step_done(const std::string& job, int step) const;

    std::int64_t worker_cpu_milli_;
    std::map<std::string, submitted_job> jobs_;
    std::map<std::string, task_state> tasks_;
    std::map<std::string, std::vector<completed_run>> completed_runs_;
    // Listed ends by the time at which they count as observed: time, task,
    // worker, run.
    std::deque<
        std::tuple<std::int64_t, std::string, std::string, std::uint64_t>>
        listed_ends_;
    bool listed_ends_observed_ = false;
    std::map<std::string, std::int64_t> used_cpu_milli_;
    std::map<std::string, std::int64_t> standing_gaps_;
    std::set<std::string> started_jobs_;
    std::vector<std::string> violations_;
    std::uint64_t starts_ = 0;
};

} // namespace coltsfootrack::soak

#endif
