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

// The result of a write to a row.
enum class write_status
{
    stored,
    // An insert found the row with another value.
    exists,
    // An insert found the row that must not be there.
    blocked,
    // Not written, and never will be.
    refused,
    // The same; the store will not take this value later either.
    rejected,
    // It may have been written, or may still be.
    unknown,
    // The fence of the part has changed: there is another leader.
    fenced
};

// Writes rows of one part of the store, with one transaction in flight and all
// waiting writes in the next one (group commit).
//
// An update whose transaction is not answered is sent again under the same
// conditions. If the first attempt is applied in the meantime, the second finds
// its own value; once the second is applied, the first no longer can be.
//
// The class does no I/O: next() returns the transaction to send, and
// on_result() takes its result. Callbacks run inside these calls.
//
// Failure handled: a store, or a part of it, is down. An insert whose
// transaction is not answered is unknown at once, so that its caller can retry
// elsewhere under the same key. Until the next answer one insert at a time is
// sent as a probe; the others are refused at once instead of waiting for it.
//
// Failure handled: the store rejects a transaction for one of its rows. The
// writes of that transaction are then sent one by one, and the one that is
// rejected alone is dropped, so that it does not hold back the others of its
// part.
//
// Limits: an insert beyond max_waiting is refused at once. The number of queued
// updates is bounded by the number of rows that the leader writes, since a
// newer update of a row replaces the queued one.
//
// Thread safety: none.
class row_committer
{
public:
    using callback = std::function<void(write_status)>;

    // The platform allows 100 entries in a transaction. A write takes two, an
    // insert with a blocking row three, and the fence one.
    static constexpr std::size_t max_batch = 45;
    static constexpr std::size_t max_entries = 100;
    static constexpr std::size_t max_waiting = 2000;

    // The values of a transaction together: 1 MB as the platform counts them,
    // less the encoding, keys and conditions.
    static constexpr std::size_t max_batch_bytes = 600'000;

    // The back-off after a transaction that an overloaded or failed store
    // refused or did not answer.
    static constexpr std::chrono::milliseconds retry_pause{150};

    // Inserts are refused while a transaction has been in flight for longer. A
    // slow store still answers within a second; the callers wait 3 s.
    static constexpr std::chrono::milliseconds refuse_after{1000};

    // Updates that are not urgent wait this long for others of their part,
    // since the platform charges for each transaction, and workers are renewed
    // after each.
    static constexpr std::chrono::milliseconds default_group_delay{50};

    explicit row_committer(
        std::chrono::milliseconds group_delay = default_group_delay)
        : group_delay_(group_delay)
    {
    }

    // Sets the row and version that transactions with updates depend on.
    void set_fence(std::optional<row_condition> fence);

    // Writes a row that must not exist yet, in a single attempt. Refused if not
    // sent by the deadline, and blocked if the row `blocked_by` exists.
    void insert(const row_id& row, std::string value, base::time_point now,
                base::time_point deadline, callback done,
                std::optional<row_id> blocked_by = std::nullopt);

    // Writes a row that only the holder of the fence writes, whatever its value
    // was. The value replaces a queued one of the same row, whose callback is
    // then called together with this one. An update that is not urgent may wait
    // for the group delay. Without a fence the result is fenced.
    void update(const row_id& row, std::string value, bool urgent,
                base::time_point now, callback done);

    // Sets the version of a row as it was read, for its next update.
    void set_version(const row_id& row, std::uint64_t version);

    // The condition that updates are written under, if any.
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

    // Drops all updates without calling their callbacks.
    void drop_updates();

    // When the transaction in flight was sent; nullopt if there is none.
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
        std::optional<row_id> blocked_by;
        // An update that was dropped while in flight. A retry could overwrite
        // the progress of a later leader.
        bool dropped = false;
        // Inserts are refused after this.
        base::time_point deadline;
        // Updates are sent from this time on.
        base::time_point due;
        std::vector<callback> done;
    };

    static void complete(pending_write& ended, write_status status);
    void requeue(pending_write write);
    void refuse_queued_inserts();
    bool batch_overdue(base::time_point now) const;
    void handle_failure(std::vector<pending_write>& batch, base::time_point now,
                        bool uncertain);
    void handle_rejection(std::vector<pending_write>& batch,
                          base::time_point now);
    bool resolve_conflict(pending_write& write, const stored_row* current,
                          const stored_row* blocking);

    std::optional<row_condition> fence_;
    std::map<row_id, std::uint64_t> versions_;
    std::deque<pending_write> queue_;
    std::chrono::milliseconds group_delay_;
    std::vector<pending_write> batch_;
    // The fence that the batch was sent under.
    std::optional<row_condition> batch_fence_;
    base::time_point sent_at_;
    base::time_point retry_at_;
    bool last_attempt_failed_ = false;
    // How many of the next writes are sent one by one.
    std::size_t single_writes_ = 0;
};

} // namespace coltsfootrack::cell

#endif
