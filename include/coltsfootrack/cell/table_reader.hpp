#ifndef COLTSFOOTRACK_CELL_TABLE_READER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TABLE_READER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/cell/page_budget.hpp>
#include <coltsfootrack/cell/store_port.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootrack::cell
{

// Reads all parts of a table once, in pages.
//
// Load answered: a table of thousands of rows on a thin link, or many tables at
// once after all daemons have restarted. The pages in flight together take the
// link for a fraction of a second, a page that fails is asked for again at half
// its size, and what was read stays read. So the read gets on at any speed, and
// leaves room for other calls.
//
// Thread safety: belongs to the control thread; the store's answers are posted
// there. Answers that arrive after the destructor are ignored.
class table_reader
{
public:
    struct hooks
    {
        // The rows of one page of a part.
        std::function<void(std::size_t part, const std::vector<stored_row>&)>
            on_rows;
        // All parts are read, with each row at this version or a later one.
        // The reader may be destroyed here.
        std::function<void(std::uint64_t version)> on_end;
        // Called with true after each answer, and false after each failure.
        std::function<void(bool)> on_answer;
    };

    table_reader(daemon::control_loop& loop, const store_port& store,
                 std::string table, std::vector<std::string> parts,
                 page_budget budget, hooks callbacks);

    void start();

    // The rows, pages and failed pages so far.
    std::size_t rows() const
    {
        return rows_;
    }

    std::size_t pages() const
    {
        return pages_;
    }

    std::size_t failures() const
    {
        return failures_;
    }

private:
    // What is left of a part, from this key on.
    struct remainder
    {
        std::size_t part = 0;
        std::string from;
    };

    void read_more();
    void read_page(const remainder& next);
    void on_page(const remainder& asked, const read_result& result);
    void retry(const remainder& failed);

    daemon::control_loop& loop_;
    const store_port& store_;
    std::string table_;
    std::vector<std::string> parts_;
    page_budget budget_;
    hooks hooks_;
    std::deque<remainder> unread_;
    std::size_t in_flight_ = 0;
    // The failed pages that wait for their retry.
    std::size_t pausing_ = 0;
    std::size_t page_rows_;
    std::uint64_t version_ = 0;
    std::size_t rows_ = 0;
    std::size_t pages_ = 0;
    std::size_t failures_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace coltsfootrack::cell

#endif
