#ifndef COLTSFOOTRACK_CELL_DEPARTURE_DETECTOR_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_DEPARTURE_DETECTOR_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>

#include <chrono>
#include <map>
#include <set>

namespace coltsfootrack::cell
{

// Tells workers that have left the platform's list from workers that have only
// been silent.
//
// The platform removes the entry of a worker when the worker has left, or after
// three report intervals without a report. So an entry that was removed sooner
// after its last report is that of a worker that has left. A later removal
// proves nothing: a worker that is cut off from the store and the daemons runs
// on until its lease ends.
//
//     detector.on_report(worker, written_after);
//     detector.on_removed(worker, now);
//     if (detector.has_left(worker))
//         // Nothing is running there any more.
//
// Holds one time for each listed worker, and the workers that have left until
// forget() is called.
//
// Thread safety: none.
class departure_detector
{
public:
    // The interval at which workers report to the platform; without one, no
    // removal is a proof.
    explicit departure_detector(std::chrono::milliseconds report_interval);

    // A worker has reported, not before `written_after`.
    void on_report(const base::worker_id& worker,
                   base::time_point written_after);

    // The entry of a worker is gone, since `now` at the latest.
    void on_removed(const base::worker_id& worker, base::time_point now);

    // Whether the removal of its entry proves that the worker has left.
    bool has_left(const base::worker_id& worker) const
    {
        return left_.count(worker) != 0;
    }

    // Drops what is known of a worker.
    void forget(const base::worker_id& worker);

private:
    base::duration shortest_silence_;
    std::map<base::worker_id, base::time_point> reported_after_;
    std::set<base::worker_id> left_;
};

} // namespace coltsfootrack::cell

#endif
