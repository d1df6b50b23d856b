#ifndef COLTSFOOTRACK_TEST_SOAK_FACT_CHECKER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SOAK_FACT_CHECKER_HPP_INCLUDED

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

// A step of a job that a client handed in.
struct known_step
{
    int tasks = 1;
    std::int64_t cpu_milli = 0;
    std::vector<int> after;
};

// A job that a client handed in, and what it was told.
struct known_job
{
    std::string payload;
    std::vector<known_step> steps;
    int max_attempts = 0;
    // Some answer was a success, or every answer was a refusal.
    bool accepted = false;
    bool all_refused = true;
    bool cancelled = false;
};

// Judges what workers saw against what clients handed in and were told: the
// promises of the cell, by their plainest reading. It shares no code with the
// scheduler.
class fact_checker
{
public:
    explicit fact_checker(std::int64_t worker_cpu_milli);

    known_job& job(const std::string& id)
    {
        return jobs_[id];
    }

    const std::map<std::string, known_job>& jobs() const
    {
        return jobs_;
    }

    // Whether an end counts as taken note of 100 ms after a worker has listed
    // it, read or not. The platform says so while no fault is near; a daemon
    // that is short of processor is none.
    void count_listed_ends(bool count)
    {
        count_listed_ends_ = count;
    }

    // Takes facts of workers in the order in which they happened.
    void apply(const nlohmann::json& facts);

    // Whether all tasks of a job have ended as done.
    bool done(const std::string& id) const;

    // Whether a task of a job has failed as often as it may.
    bool spent(const std::string& id) const;

    // Checks that need the answers of clients, at the end.
    void finish();

    const std::vector<std::string>& faults() const
    {
        return faults_;
    }

    std::uint64_t starts() const
    {
        return starts_;
    }

private:
    struct task_name
    {
        std::string job;
        int step = 0;
        int index = 0;
    };

    struct task_facts
    {
        // The worker and number of the runs that are active.
        std::set<std::pair<std::string, std::uint64_t>> running;
        bool done = false;
        // A done end was taken note of.
        bool done_acknowledged = false;
        std::set<std::pair<std::string, std::uint64_t>> done_runs;
        std::set<std::pair<std::string, std::uint64_t>> failed_runs;
        int failures_acknowledged = 0;
    };

    // A done end that may still be taken note of.
    struct open_end
    {
        std::string worker;
        std::uint64_t run = 0;
        // When it counts as taken note of, in milliseconds, unless the lease
        // lapses before; -1 while it has not been listed.
        std::int64_t due_ms = -1;
        bool noted = false;
        // The start after the end, if there was one.
        nlohmann::json started_again;
    };

    void note_end(open_end& own);
    void settle_ends(std::int64_t now_ms);
    void drop_open_ends(const std::string& worker);
    open_end* find_end(const nlohmann::json& fact, const std::string& task);
    void start(const nlohmann::json& fact, const std::string& task);
    void end(const nlohmann::json& fact, const std::string& task);
    void acknowledge(const nlohmann::json& fact, const std::string& task);
    void lose_worker(const std::string& worker);
    void fail(const nlohmann::json& fact, const std::string& what);
    static task_name parse(const std::string& task);
    bool step_done(const std::string& job, int step) const;

    std::int64_t worker_cpu_milli_;
    std::map<std::string, known_job> jobs_;
    std::map<std::string, task_facts> tasks_;
    std::map<std::string, std::vector<open_end>> done_ends_;
    // Listed ends in the order of their times: time, task, worker, run.
    std::deque<
        std::tuple<std::int64_t, std::string, std::string, std::uint64_t>>
        listed_;
    bool count_listed_ends_ = false;
    std::map<std::string, std::int64_t> used_;
    std::set<std::string> started_jobs_;
    std::vector<std::string> faults_;
    std::uint64_t starts_ = 0;
};

} // namespace coltsfootrack::soak

#endif
