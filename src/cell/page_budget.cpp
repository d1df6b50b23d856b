// The size of the pages that a table is read in.

#include <coltsfootrack/cell/page_budget.hpp>

#include <algorithm>

namespace coltsfootrack::cell
{
namespace
{

// The pages in flight take the link for a third of a second, since calls of
// other purposes wait behind them.
constexpr std::uint64_t pages_in_flight_divisor = 3;

// A stored job as the platform sends it, with its payload in base64.
constexpr std::uint64_t row_bytes = 1400;

// Bytes a second; 20 Mbit/s.
constexpr std::uint64_t assumed_link_rate = 2500000;

// A page costs a round trip, so a part is not read in smaller ones.
constexpr std::size_t min_page_rows = 32;

// The platform's limit on the rows of one answer.
constexpr std::size_t max_page_rows = 500;

} // namespace

page_budget page_budget_for(std::uint64_t link_rate, std::size_t parts)
{
    const std::uint64_t rate = link_rate > 0 ? link_rate : assumed_link_rate;
    const std::size_t rows = rate / pages_in_flight_divisor / row_bytes;
    page_budget budget;
    budget.pages = std::clamp<std::size_t>(rows / (2 * min_page_rows), 1,
                                           std::max<std::size_t>(parts, 1));
    budget.rows = std::clamp(rows / budget.pages, min_page_rows, max_page_rows);
    return budget;
}

} // namespace coltsfootrack::cell
