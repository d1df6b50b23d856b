#ifndef COLTSFOOTRACK_CELL_TABLE_FOLLOWER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TABLE_FOLLOWER_HPP_INCLUDED

#include <coltsfootrack/cell/page_budget.hpp>
#include <coltsfootrack/cell/store_port.hpp>
#include <coltsfootrack/cell/table_reader.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootrack::cell
{

// Follows one table: reads all of it (see table_reader), then its changes.
// Reads all of it again
// when the store no longer keeps the changes.
//
// Thread safety: belongs to the control thread; the store's answers are posted
// there. Answers that arrive after the destructor are ignored.
class table_follower
{
public:
    struct hooks
    {
        // All rows of the table; a row that is missing does not exist.
        std::function<void(const std::vector<stored_row>&)> on_snapshot;
        // Changed rows; a removed one has version 0.
        std::function<void(const std::vector<stored_row>&)> on_changes;
        // Called with true after each answer, and false after each failure.
        std::function<void(bool)> on_answer;
    };

    table_follower(daemon::control_loop& loop, const store_port& store,
                   std::string table, std::vector<std::string> parts,
                   page_budget budget, std::chrono::milliseconds wait,
                   std::chrono::milliseconds pause, hooks callbacks);

    // Starts by reading the whole table.
    void start();

    // Whether changes are asked for; true at first. After false the read in
    // flight still ends; after true the changes since then are read at once.
    void set_active(bool active);

    // The rows that the user needs are known from elsewhere up to a version;
    // earlier changes are not asked for any more.
    void skip_to(std::uint64_t version);

    // While on_changes is called: a time before which none of its rows was
    // written. The store answered an earlier read, sent at that time or later,
    // without them.
    base::time_point changed_after() const
    {
        return version_asked_at_;
    }

private:
    void on_read(std::uint64_t version);
    void call_hook(const std::function<void()>& hook) const;
    void follow();
    void on_changes_read(const read_result& result);
    void run_after(std::chrono::milliseconds pause,
                   std::function<void()> action);

    daemon::control_loop& loop_;
    const store_port& store_;
    std::string table_;
    std::vector<std::string> parts_;
    std::chrono::milliseconds wait_;
    std::chrono::milliseconds pause_;
    hooks hooks_;
    page_budget budget_;
    // While the whole table is read.
    std::unique_ptr<table_reader> reader_;
    std::vector<stored_row> rows_;
    std::uint64_t version_ = 0;
    // When the read in flight was sent, and the one that led to version_.
    base::time_point asked_at_;
    base::time_point version_asked_at_;
    // The last read of changes failed.
    bool failed_ = false;
    bool active_ = true;
    // Inactive, without a read in flight.
    bool resting_ = false;
    std::shared_ptr<bool> alive_;
};

} // namespace coltsfootrack::cell

#endif
