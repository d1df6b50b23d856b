// The tables, parts and keys of the rows of a cell.

#include "stable_hash.hpp"

#include <coltsfootrack/cell/row_layout.hpp>

namespace coltsfootrack::cell
{
namespace
{

constexpr char cancel_suffix = '!';
// Between the job and the hash of the right to cancel it.
constexpr char early_cancel_mark = '~';

} // namespace

row_layout::row_layout(std::size_t parts)
{
    for (std::size_t i = 0; i < parts; ++i)
    {
        part_names_.push_back("p" + std::to_string(i));
    }
}

std::size_t row_layout::part_of(const base::job_id& job) const
{
    return stable_hash(job.text()) % part_names_.size();
}

row_id row_layout::leader() const
{
    return {cell_table, "", "leader"};
}

row_id row_layout::daemon(const base::daemon_id& id) const
{
    return {cell_table, "", daemon_prefix + id.text()};
}

row_id row_layout::fence(std::size_t part) const
{
    return {cell_table, part_names_[part], "fence"};
}

row_id row_layout::job(const base::job_id& id) const
{
    return {jobs_table, part_names_[part_of(id)], id.text()};
}

row_id row_layout::cancel(const base::job_id& id) const
{
    return {jobs_table, part_names_[part_of(id)], id.text() + cancel_suffix};
}

row_id row_layout::early_cancel(const base::job_id& id,
                                const cancel_right& right) const
{
    return {jobs_table, part_names_[part_of(id)],
            id.text() + early_cancel_mark +
                std::to_string(stable_hash(encode(right)))};
}

row_id row_layout::progress(const base::job_id& id) const
{
    return {progress_table, part_names_[part_of(id)], id.text()};
}

row_id row_layout::roster(std::size_t part) const
{
    return {progress_table, part_names_[part], roster_key};
}

std::optional<base::job_id> row_layout::cancelled_job(const std::string& key)
{
    if (key.empty() || key.back() != cancel_suffix)
    {
        return std::nullopt;
    }
    return base::job_id(key.substr(0, key.size() - 1));
}

std::optional<base::job_id>
row_layout::early_cancelled_job(const std::string& key)
{
    const std::size_t mark = key.rfind(early_cancel_mark);
    if (mark == std::string::npos)
    {
        return std::nullopt;
    }
    return base::job_id(key.substr(0, mark));
}

} // namespace coltsfootrack::cell
