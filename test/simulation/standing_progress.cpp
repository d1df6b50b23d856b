// Checks that standing tasks whose run has ended run again in time.

#include "standing_progress.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <iterator>

namespace coltsfootrack::simulation
{
namespace
{

// The time until the run of a lost worker has certainly ended, and the time
// from there to the next start.
constexpr std::int64_t longest_gap_ms = 6000 + 3000;

// Faults and missing room count if they fall into this last part of the gap.
constexpr std::int64_t calm_ms = 7000;

constexpr int wanted_places = 2;

double to_seconds(std::int64_t ms)
{
    // The simulation begins at 1000 s.
    return static_cast<double>(ms) / 1000 - 1000;
}

} // namespace

void standing_progress::note_fault(std::int64_t now_ms)
{
    fault_until_ms_ = std::max(fault_until_ms_, now_ms);
}

void standing_progress::observe(std::int64_t now_ms, bool fault,
                                const soak::history_checker& checker,
                                const place_counter& places)
{
    // What is seen may last until right before the next call.
    if (fault)
    {
        note_fault(now_ms + period.count());
    }
    const auto& current = checker.standing_gaps();
    for (auto it = gaps_.begin(); it != gaps_.end();)
    {
        it = current.count(it->first) == 0 ? gaps_.erase(it) : std::next(it);
    }
    for (const auto& [task, ended_ms] : current)
    {
        gap& open = gaps_[task];
        if (open.ended_ms != ended_ms)
        {
            open = {};
            open.ended_ms = ended_ms;
        }
        if (open.judged)
        {
            continue;
        }
        if (places(checker.step_of_task(task).cpu_milli) < wanted_places)
        {
            open.no_room_until_ms = now_ms + period.count();
        }
        const soak::submitted_job& job = checker.job_of_task(task);
        if (now_ms >= ended_ms + longest_gap_ms)
        {
            open.judged = true;
            if (job.accepted && !job.cancelled)
            {
                judge(task, open, now_ms);
            }
        }
    }
}

void standing_progress::judge(const std::string& task, gap& open,
                              std::int64_t now_ms)
{
    const std::int64_t calm_since =
        std::max(fault_until_ms_, open.no_room_until_ms);
    if (calm_since > open.ended_ms + longest_gap_ms - calm_ms)
    {
        ++excused_;
        return;
    }
    violations_.push_back(fmt::format(
        "standing task has no run in time: task={} run ended at {:.3f} s, no "
        "new run at {:.3f} s, last fault at {:.3f} s",
        task, to_seconds(open.ended_ms), to_seconds(now_ms),
        to_seconds(fault_until_ms_)));
}

} // namespace coltsfootrack::simulation
