#ifndef COLTSFOOTRACK_CELL_ROW_COMMITTER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_ROW_COMMITTER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/cell/transaction.hpp>
#include <coltsfootrack/cell/transaction_result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::cell
{

// How a write to a row ended.
enum class write_status
{
    stored,
    // An insert found the row with another value.
    exists,
    // Certainly not written, and will not be.
    refused,
    // It may have been written, or may be later.
    unknown,
    // The fence of the part has changed: another leader writes here.
    fenced
};

// Writes rows of one part of the store, with one transaction in flight and all
// waiting writes in the next one (group commit).
//
// An update whose transaction is not answered is sent again under the same
// conditions. If the first one is applied meanwhile, the repeated one finds its
// own value; if it is not, it can no longer be, once the repeated one is.
//
// The class does no input or output: next() gives the transaction to send, and
// on_result() takes its answer. Callbacks run inside these calls.
//
// Answers a store, or a part of one, that is down: an insert whose transaction
// is not answered is unknown at once, so that its caller can ask elsewhere
// under the same key. Until the next answer one insert at a time goes on, to
// find out, and the others are refused at once instead of waiting for the same.
//
// Limits: an insert beyond max_waiting is refused at once. Updates are bounded
// by the rows that the leader writes: one that waits is replaced by a newer one
// of the same row.
//
// Thread safety: none.
class row_committer
{
public:
    using callback = std::function<void(write_status)>;

    // Transactions hold at most 100 entries on the platform; a write takes
    // two.
    static constexpr std::size_t max_batch = 45;
    static constexpr std::size_t max_waiting = 2000;

    // Writes are refused by a store that is overloaded or down; the next
    // attempt waits this long.
    static constexpr std::chrono::milliseconds retry_pause{150};

    // A store that is slow still answers within a second; the callers wait 3 s.
    static constexpr std::chrono::milliseconds refuse_after{1000};

    // Updates that are not urgent wait this long for others of their part. Each
    // transaction is a call that the platform charges for, and a worker is
    // renewed when the ends that it listed are stored.
    static constexpr std::chrono::milliseconds group_delay{50};

    // A row that every transaction depends on, with the version that it must
    // have.
    void set_fence(std::optional<row_condition> fence);

    // Writes a row that must not exist yet, with one transaction. It is refused
    // if it was not sent by the deadline.
    void insert(const row_id& row, std::string value, base::time_point now,
                base::time_point deadline, callback done);

    // Writes a row that only the holder of the fence writes, whatever it held.
    // The value replaces one that waits, whose callback then comes with this
    // one. An update that is not urgent may wait for group_delay. Without a
    // fence it is refused as fenced.
    void update(const row_id& row, std::string value, bool urgent,
                base::time_point now, callback done);

    // The version of a row as read, for the next update of it.
    void set_version(const row_id& row, std::uint64_t version);

    // The condition that updates are written under; nothing without one.
    const std::optional<row_condition>& fence() const
    {
        return fence_;
    }

    // The row was removed by another transaction.
    void forget_version(const row_id& row)
    {
        versions_.erase(row);
    }

    // The next transaction, if one is due and none is in flight.
    std::optional<transaction> next(base::time_point now);

    void on_result(const transaction_result& result, base::time_point now);

    // Gives up all updates, without callbacks.
    void drop_updates();

    // When the transaction in flight was sent; nothing without one.
    std::optional<base::time_point> in_flight_since() const
    {
        return batch_.empty() ? std::nullopt
                              : std::optional<base::time_point>(sent_at_);
    }

    // The last transaction was refused or not answered.
    bool last_attempt_failed() const
    {
        return last_attempt_failed_;
    }

    bool idle() const
    {
        return queue_.empty() && batch_.empty();
    }

private:
    struct pending_write
    {
        row_id row;
        std::string value;
        bool is_insert = false;
        // An update that was given up while it was in flight. Sent again, it
        // could write over the progress of a later leader.
        bool dropped = false;
        // Inserts are refused after this.
        base::time_point deadline;
        // Updates are due at this time.
        base::time_point due;
        std::vector<callback> done;
    };

    static void complete(pending_write& ended, write_status status);
    void requeue(pending_write next);
    void refuse_queued_inserts();
    bool batch_overdue(base::time_point now) const;
    void handle_failure(std::vector<pending_write>& batch, base::time_point now,
                        bool uncertain);
    bool resolve_conflict(pending_write& next, const stored_row* current);

    std::optional<row_condition> fence_;
    std::map<row_id, std::uint64_t> versions_;
    std::deque<pending_write> queue_;
    std::vector<pending_write> batch_;
    // The fence that the batch was sent under.
    std::optional<row_condition> batch_fence_;
    base::time_point sent_at_;
    base::time_point retry_at_;
    bool last_attempt_failed_ = false;
};

} // namespace coltsfootrack::cell

#endif
