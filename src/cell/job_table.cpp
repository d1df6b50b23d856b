// The names of the rows of a cell.

#include <coltsfootrack/cell/job_table.hpp>

#include <cstdint>

namespace coltsfootrack::cell
{
namespace
{

constexpr char cancel_suffix = '!';

// FNV-1a: the part of a job must be the same in every daemon and version.
std::uint64_t stable_hash(const std::string& text)
{
    std::uint64_t hash = 14695981039346656037U;
    for (const char c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    }
    return hash;
}

} // namespace

job_table::job_table(std::size_t parts)
{
    for (std::size_t i = 0; i < parts; ++i)
    {
        names_.push_back("p" + std::to_string(i));
    }
}

std::size_t job_table::part_of(const base::job_id& job) const
{
    return stable_hash(job.text()) % names_.size();
}

row_id job_table::leader() const
{
    return {cell_table, "", "leader"};
}

row_id job_table::daemon(const base::daemon_id& id) const
{
    return {cell_table, "", daemon_prefix + id.text()};
}

row_id job_table::fence(std::size_t part) const
{
    return {cell_table, names_[part], "fence"};
}

row_id job_table::job(const base::job_id& id) const
{
    return {jobs_table, names_[part_of(id)], id.text()};
}

row_id job_table::cancel(const base::job_id& id) const
{
    return {jobs_table, names_[part_of(id)], id.text() + cancel_suffix};
}

row_id job_table::progress(const base::job_id& id) const
{
    return {progress_table, names_[part_of(id)], id.text()};
}

std::optional<base::job_id> job_table::cancelled_job(const std::string& key)
{
    if (key.empty() || key.back() != cancel_suffix)
    {
        return std::nullopt;
    }
    return base::job_id(key.substr(0, key.size() - 1));
}

} // namespace coltsfootrack::cell
