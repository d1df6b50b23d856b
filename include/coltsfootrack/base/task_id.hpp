#ifndef COLTSFOOTRACK_BASE_TASK_ID_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_TASK_ID_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <tuple>
#include <utility>

namespace coltsfootrack::base
{

// One task of a job: the job's id and the task's index, from 0.
struct task_id
{
    job_id job;
    std::uint32_t index = 0;

    friend bool operator==(const task_id& a, const task_id& b)
    {
        return a.index == b.index && a.job == b.job;
    }

    friend bool operator!=(const task_id& a, const task_id& b)
    {
        return !(a == b);
    }

    friend bool operator<(const task_id& a, const task_id& b)
    {
        return std::tie(a.job, a.index) < std::tie(b.job, b.index);
    }

    template <typename H>
    friend H AbslHashValue(H state, const task_id& value) // NOLINT
    {
        return H::combine(std::move(state), value.job, value.index);
    }
};

} // namespace coltsfootrack::base

#endif
