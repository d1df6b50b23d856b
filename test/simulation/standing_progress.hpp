#ifndef COLTSFOOTRACK_TEST_SIMULATION_STANDING_PROGRESS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SIMULATION_STANDING_PROGRESS_HPP_INCLUDED

#include "soak/history_checker.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace coltsfootrack::simulation
{

// Checks that standing tasks whose run has ended run again in time.
//
// A task of an accepted job that is not cancelled has a new run within 9 s of
// the end of its last one. This is judged once for each end, if there was no
// fault in the last 7 s of that time, and room for the task on two workers all
// along these 7 s.
class standing_progress
{
public:
    // The number of workers that can take a task of this size.
    using place_counter = std::function<int(std::int64_t cpu_milli)>;

    // How often `observe` must be called.
    static constexpr std::chrono::milliseconds period{50};

    // A fault happened that does not last.
    void note_fault(std::int64_t now_ms);

    // Checks the tasks without a run; `fault` tells whether a fault lasts.
    void observe(std::int64_t now_ms, bool fault,
                 const soak::history_checker& checker,
                 const place_counter& places);

    // The ends without a run in time that were not judged, because of a fault
    // or of missing room.
    int excused() const
    {
        return excused_;
    }

    const std::vector<std::string>& violations() const
    {
        return violations_;
    }

private:
    // A task without a run.
    struct gap
    {
        std::int64_t ended_ms = 0;
        // Until when there was no room on two workers.
        std::int64_t no_room_until_ms = 0;
        bool judged = false;
    };

    void judge(const std::string& task, gap& open, std::int64_t now_ms);

    std::map<std::string, gap> gaps_;
    std::int64_t fault_until_ms_ = 0;
    int excused_ = 0;
    std::vector<std::string> violations_;
};

} // namespace coltsfootrack::simulation

#endif
