#ifndef COLTSFOOTRACK_JOBS_STEP_KEY_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_STEP_KEY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <tuple>

namespace coltsfootrack::jobs
{

// Identifies one step of one occurrence of a job. Occurrences, steps and tasks
// are numbered from 0.
struct step_key
{
    base::job_id job;
    int occurrence = 0;
    int step = 0;

    friend bool operator==(const step_key& a, const step_key& b)
    {
        return a.step == b.step && a.occurrence == b.occurrence &&
               a.job == b.job;
    }

    friend bool operator!=(const step_key& a, const step_key& b)
    {
        return !(a == b);
    }

    friend bool operator<(const step_key& a, const step_key& b)
    {
        return std::tie(a.job, a.occurrence, a.step) <
               std::tie(b.job, b.occurrence, b.step);
    }

    template <typename H>
    friend H AbslHashValue(H state, const step_key& key) // NOLINT
    {
        return H::combine(std::move(state), key.job, key.occurrence, key.step);
    }
};

} // namespace coltsfootrack::jobs

#endif
