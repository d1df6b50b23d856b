// Reads all parts of a table in pages.

#include <coltsfootrack/cell/table_reader.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::cell
{
namespace
{

// The pause before a failed page is asked for again.
constexpr std::chrono::milliseconds retry_pause{100};

// The smallest page after failures.
constexpr std::size_t min_retried_rows = 4;

} // namespace

table_reader::table_reader(daemon::control_loop& loop, const store_port& store,
                           std::string table, std::vector<std::string> parts,
                           page_budget budget, hooks callbacks)
    : loop_(loop)
    , store_(store)
    , table_(std::move(table))
    , parts_(std::move(parts))
    , budget_(budget)
    , hooks_(std::move(callbacks))
    , page_rows_(budget.rows)
    , alive_(std::make_shared<bool>(true))
{
}

void table_reader::start()
{
    for (std::size_t part = 0; part < parts_.size(); ++part)
    {
        unread_.push_back({part, ""});
    }
    read_more();
}

void table_reader::read_more()
{
    while (in_flight_ < budget_.pages && !unread_.empty())
    {
        const remainder next = std::move(unread_.front());
        unread_.pop_front();
        read_page(next);
    }
}

void table_reader::read_page(const remainder& next)
{
    ++in_flight_;
    store_.read(table_, parts_[next.part], next.from, page_rows_,
                [this, next, alive = std::weak_ptr<bool>(alive_),
                 &loop = loop_](read_result result)
                {
                    loop.post(
                        [this, next, alive, result = std::move(result)]
                        {
                            if (!alive.expired())
                            {
                                on_page(next, result);
                            }
                        });
                });
}

void table_reader::on_page(const remainder& asked, const read_result& result)
{
    --in_flight_;
    hooks_.on_answer(result.status == read_status::ok);
    if (result.status != read_status::ok)
    {
        retry(asked);
        return;
    }
    ++pages_;
    rows_ += result.rows.size();
    page_rows_ = std::min(2 * page_rows_, budget_.rows);
    // What is followed from the oldest page on misses no change.
    version_ =
        version_ == 0 ? result.version : std::min(version_, result.version);
    const std::weak_ptr<bool> alive = alive_;
    hooks_.on_rows(asked.part, result.rows);
    if (alive.expired())
    {
        return;
    }
    if (result.more && !result.rows.empty())
    {
        // Keys have no control characters, so this is the next possible key.
        // First, so that a part is read to its end before the next begins.
        unread_.push_front({asked.part, result.rows.back().id.key + ' '});
    }
    read_more();
    if (in_flight_ == 0 && pausing_ == 0 && unread_.empty())
    {
        hooks_.on_end(version_);
    }
}

void table_reader::retry(const remainder& failed)
{
    ++failures_;
    ++pausing_;
    page_rows_ = std::max(page_rows_ / 2, min_retried_rows);
    loop_.after(retry_pause,
                [this, failed, alive = std::weak_ptr<bool>(alive_)]
                {
                    if (alive.expired())
                    {
                        return;
                    }
                    --pausing_;
                    unread_.push_front(failed);
                    read_more();
                });
}

} // namespace coltsfootrack::cell
