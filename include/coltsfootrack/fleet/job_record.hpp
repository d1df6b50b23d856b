#ifndef COLTSFOOTRACK_FLEET_JOB_RECORD_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_JOB_RECORD_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/fleet/queue_policy.hpp>
#include <coltsfootrack/jobs/job_progress.hpp>
#include <coltsfootrack/jobs/job_submission.hpp>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfootrack::fleet
{

// The placement ticket of a step for one worker.
struct held_ticket
{
    // The life of the worker that the ticket was granted for.
    std::int64_t life = 0;
    std::string text;
    base::time_point valid_until;
};

// The workers on which runs of a task, or of any task of a step, have failed,
// as far as it matters who is to blame.
struct failing_workers
{
    std::optional<base::worker_id> first;
    bool several = false;

    void add(const base::worker_id& worker)
    {
        several = several || (first && *first != worker);
        first = first.value_or(worker);
    }
};

struct task_record
{
    bool done = false;
    failing_workers failed_on;
    // The worker of the active run, if there is one.
    std::optional<base::worker_id> worker;
    // The highest run number known.
    std::uint64_t last_run = 0;
    jobs::failed_runs failures;
    std::string checkpoint;
    // The progress at the checkpoint.
    int checkpoint_percent = 0;
    // Not started before this time.
    base::time_point not_before;
    // How often a run of it was stopped for its lack of progress.
    int stalls = 0;
    // Where it failed or stalled last.
    std::optional<base::worker_id> avoided_worker;
};

struct step_record
{
    std::vector<task_record> tasks;
    int done = 0;
    failing_workers failed_on;
    // Tasks with an active run.
    int active = 0;
    // By worker_record::number.
    absl::btree_map<int, held_ticket> tickets;
    // Workers that may not run the step: the life for which that was decided,
    // by worker_record::number.
    absl::flat_hash_map<int, std::int64_t> ineligible;
    bool request_in_flight = false;
    base::time_point requested_at;
    // The start of the oldest run that is still active.
    base::time_point first_start;
};

// What the fleet knows of one job.
struct job_record
{
    base::job_id id;
    jobs::job_submission submission;
    // In the current catalogue; null if it is not there.
    const queue_policy* queue = nullptr;
    // The steps of the occurrences that have begun and not finished, by number.
    std::map<int, std::vector<step_record>> occurrences;
    // The occurrences of which all tasks are done.
    jobs::index_ranges finished;
    // All occurrences before this one have begun.
    int next_occurrence = 0;
    // The bytes that the failures of tasks which are not done take in the
    // stored progress, at most.
    std::size_t failure_bytes = 0;
    jobs::job_state state = jobs::job_state::queued;
    bool cancelled = false;
    // Submitted under a former leader or none, so that a former leader may have
    // started its tasks.
    bool inherited = false;
    // The services on whose workers a leader may have started its tasks, and
    // the change from which on the stored rows name all of them.
    jobs::service_set services;
    std::uint64_t services_change = 0;
    // A task has started, as a worker or the stored progress shows.
    bool started = false;
    // Counts the changes of the progress; the last one whose save was ordered,
    // and the last one stored.
    std::uint64_t change = 0;
    std::uint64_t change_ordered = 0;
    std::uint64_t change_saved = 0;
    // The state in the last stored row.
    jobs::job_state saved_state = jobs::job_state::queued;
    base::time_point submitted_at;
    // An occurrence that takes longer than this is late.
    base::duration objective{0};
    // For each step, the estimated time from its start to the end of the job if
    // nothing waits.
    std::vector<std::chrono::milliseconds> remaining_times;
    // Submitted beyond the share of its team.
    bool over_share = false;
    base::time_point finished_at;
    // Its final state is stored, and its occurrences are freed.
    bool retired = false;

    // When an occurrence was due, or a job without a schedule was submitted;
    // the objective counts from then.
    base::time_point release_time(int occurrence) const
    {
        const jobs::job_spec& spec = submission.spec;
        if (!spec.has_schedule())
        {
            return submitted_at;
        }
        const auto due =
            spec.first_due + occurrence * spec.interval - submission.submitted;
        return submitted_at +
               std::max(base::duration(0),
                        std::chrono::duration_cast<base::duration>(due));
    }

    bool has_final_state() const
    {
        return jobs::is_final(state);
    }
};

} // namespace coltsfootrack::fleet

#endif
