#ifndef COLTSFOOTRACK_JOBS_TASK_KEY_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_TASK_KEY_HPP_INCLUDED

#include <coltsfootrack/jobs/step_key.hpp>

#include <tuple>

namespace coltsfootrack::jobs
{

struct task_key
{
    step_key step;
    int index = 0;

    friend bool operator==(const task_key& a, const task_key& b)
    {
        return a.index == b.index && a.step == b.step;
    }

    friend bool operator!=(const task_key& a, const task_key& b)
    {
        return !(a == b);
    }

    friend bool operator<(const task_key& a, const task_key& b)
    {
        return std::tie(a.step, a.index) < std::tie(b.step, b.index);
    }

    template <typename H>
    friend H AbslHashValue(H state, const task_key& key) // NOLINT
    {
        return H::combine(std::move(state), key.step, key.index);
    }
};

} // namespace coltsfootrack::jobs

#endif
