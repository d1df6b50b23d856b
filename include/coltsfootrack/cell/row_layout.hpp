#ifndef COLTSFOOTRACK_CELL_ROW_LAYOUT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_ROW_LAYOUT_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/cell/cancel_right.hpp>
#include <coltsfootrack/cell/row_id.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::cell
{

// The location of each row of a cell in the store. The part and key of a job
// follow from its id alone, so that any daemon finds it.
//
// | table    | part       | key         | written by                          |
// | cell     |            | leader      | a daemon that becomes the leader    |
// | cell     |            | daemon/NAME | that daemon, when it starts         |
// | cell     | job part   | fence       | a new leader, before it reads jobs  |
// | jobs     | job part   | ID          | the daemon that accepted the job;   |
// |          |            |             | emptied by the leader once final    |
// | jobs     | job part   | ID!         | the daemon that accepted the cancel |
// | jobs     | job part   | ID~HASH     | the same, if there was no such job; |
// |          |            |             | HASH is that of a cancel_right      |
// | progress | job part   | ID          | the leader, if the fence is its own |
// | progress | job part   | !workers    | the same; see worker_roster         |
class row_layout
{
public:
    static constexpr const char* cell_table = "cell";
    static constexpr const char* jobs_table = "jobs";
    static constexpr const char* progress_table = "progress";
    static constexpr const char* daemon_prefix = "daemon/";
    static constexpr const char* roster_key = "!workers";

    explicit row_layout(std::size_t parts);

    std::size_t part_count() const
    {
        return part_names_.size();
    }

    // The names of all job parts.
    const std::vector<std::string>& part_names() const
    {
        return part_names_;
    }

    // The index of the part of a job.
    std::size_t part_of(const base::job_id& job) const;

    row_id leader() const;
    row_id daemon(const base::daemon_id& id) const;
    row_id fence(std::size_t part) const;
    row_id job(const base::job_id& id) const;
    row_id cancel(const base::job_id& id) const;
    row_id early_cancel(const base::job_id& id,
                        const cancel_right& right) const;
    row_id progress(const base::job_id& id) const;
    row_id roster(std::size_t part) const;

    // The job that a key of the jobs table cancels; nullopt for other keys.
    static std::optional<base::job_id> cancelled_job(const std::string& key);

    // The job that a key of the jobs table cancels before it is stored; nullopt
    // for other keys.
    static std::optional<base::job_id>
    early_cancelled_job(const std::string& key);

private:
    std::vector<std::string> part_names_;
};

} // namespace coltsfootrack::cell

#endif
