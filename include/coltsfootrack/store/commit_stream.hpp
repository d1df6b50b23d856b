#ifndef COLTSFOOTRACK_STORE_COMMIT_STREAM_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_COMMIT_STREAM_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/store/commit_answer.hpp>
#include <coltsfootrack/store/commit_report.hpp>
#include <coltsfootrack/store/mutation_queue.hpp>
#include <coltsfootrack/store/row.hpp>
#include <coltsfootrack/store/session_row.hpp>
#include <coltsfootrack/store/stream_call.hpp>
#include <coltsfootrack/store/table_options.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::store
{

// The state machine of a daemon's commit stream, without I/O: decides what to
// send next and what an answer means for each mutation.
//
// The caller alternates between next and the call that it asks for, and takes
// the reports and the renewal after each:
//
//     const stream_call call = stream.next(now);
//     // commit call.content
//     stream.commit_answered(answer, now);
//
// Registration: the session row is read, and a commit without mutations
// replaces it on condition of its version. After that each commit is
// conditional on the version that the last one wrote.
//
// Lost answers: the session row is read. If it holds the token of the commit in
// doubt, that commit applied. If it is unchanged, a barrier rewrites it on
// condition of the same version; once the barrier applies, the commit in doubt
// never can. Otherwise the session was fenced, and the token that the row still
// holds proves whether the commit applied before.
//
// Limits: those of mutation_queue; at most two commits are in doubt.
//
// Thread safety: as a standard container.
class commit_stream
{
public:
    commit_stream(const table_options& options, base::random_source random);

    // Queues a mutation under an ID chosen by the caller. Refused as by
    // mutation_queue::push, and with fenced.
    absl::Status submit(std::uint64_t id, mutation change,
                        base::time_point now);

    // The next call to make. Must not be called while a call is unanswered.
    stream_call next(base::time_point now);

    // Handles the answer to the last commit.
    void commit_answered(const commit_answer& answer, base::time_point now);

    // Handles the answer to the last read of the session row: the row, nothing
    // if it is absent, or an error if it could not be read.
    void session_read(const absl::StatusOr<std::optional<row>>& answer,
                      base::time_point now);

    // Gives up all mutations at a shutdown: unsent ones are reported as failed
    // (draining), others as unknown.
    void abandon();

    // Returns the outcomes since the last call.
    std::vector<commit_report> take_reports();

    // The start of the latest commit that is known to have applied; nothing if
    // it was already taken.
    std::optional<base::time_point> take_renewal();

    bool fenced() const
    {
        return phase_ == phase::fenced;
    }

    // Whether no mutation is waiting or in doubt.
    bool idle() const;

private:
    enum class phase
    {
        // The session row has not been read yet.
        initial_read,
        ready,
        // The answer to a commit was lost: the session row must be read.
        in_doubt,
        // The row was unchanged: the barrier must be written.
        barrier,
        fenced
    };

    // A commit that was sent on condition of session_version_.
    struct attempt
    {
        std::string token;
        base::time_point start;
        std::vector<mutation_queue::entry> batch;
    };

    stream_call commit_call(attempt& sent);
    stream_call send_batch(base::time_point now);
    stream_call send_barrier(base::time_point now);
    void expire_mutations(base::time_point now);
    base::time_point wake_time() const;

    void on_applied(const attempt& done, version sequence);
    void retry_batch(std::vector<mutation_queue::entry> batch);
    void on_conflict(const commit_answer& answer, base::time_point now);
    void on_refused(base::time_point now);
    void on_lost(base::time_point now);

    void resolve_in_doubt(const std::optional<row>& found,
                          base::time_point now);
    void start_registration(const std::optional<row>& found);
    void enter_fenced(const std::optional<session_row>& found);

    void report(const mutation_queue::entry& entry, commit_outcome outcome);
    void report_all(const std::vector<mutation_queue::entry>& entries,
                    const commit_outcome& outcome);
    void back_off(base::time_point now);

    table_options options_;
    base::random_source random_;
    mutation_queue queue_;
    phase phase_ = phase::initial_read;
    bool registered_ = false;

    // The session row as last known: its version and token.
    version session_version_ = 0;
    std::string session_token_;
    std::string predecessor_token_;
    std::uint64_t counter_ = 0;

    // The commit that is in flight or in doubt, and its barrier.
    std::optional<attempt> sent_;
    std::optional<attempt> barrier_;
    bool barrier_in_flight_ = false;

    // Mutations still to be committed one by one after a batch was refused.
    std::size_t single_commits_left_ = 0;
    bool last_conflicted_ = false;
    std::uint32_t consecutive_failures_ = 0;
    base::time_point retry_at_;
    base::time_point renew_at_;
    // No commit with mutations starts earlier.
    base::time_point next_batch_at_;

    std::vector<commit_report> reports_;
    std::optional<base::time_point> renewal_;
};

} // namespace coltsfootrack::store

#endif
