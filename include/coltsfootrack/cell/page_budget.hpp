#ifndef COLTSFOOTRACK_CELL_PAGE_BUDGET_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_PAGE_BUDGET_HPP_INCLUDED

#include <cstddef>
#include <cstdint>

namespace coltsfootrack::cell
{

// How much of a table is read at a time.
struct page_budget
{
    // The rows of a page, and the pages that are read at a time.
    std::size_t rows = 0;
    std::size_t pages = 0;

    friend bool operator==(const page_budget& a, const page_budget& b)
    {
        return a.rows == b.rows && a.pages == b.pages;
    }

    friend bool operator!=(const page_budget& a, const page_budget& b)
    {
        return !(a == b);
    }
};

// The budget for a table of that many parts over a link of that rate, in bytes
// a second; 0 if the rate is not known.
page_budget page_budget_for(std::uint64_t link_rate, std::size_t parts);

} // namespace coltsfootrack::cell

#endif
