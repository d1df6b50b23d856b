// Tells workers that have left from workers that are silent.

#include <coltsfootrack/cell/departure_detector.hpp>

namespace coltsfootrack::cell
{
namespace
{

// The platform removes an entry after this many intervals without a report.
constexpr int silent_intervals = 3;

// How much faster the platform's clock may run than this one.
constexpr double max_clock_drift = 0.1;

} // namespace

departure_detector::departure_detector(
    std::chrono::milliseconds report_interval)
    : shortest_silence_(std::chrono::duration_cast<base::duration>(
          std::chrono::duration<double>(silent_intervals * report_interval) *
          (1 - max_clock_drift)))
{
}

void departure_detector::on_report(const base::worker_id& worker,
                                   base::time_point written_after)
{
    reported_after_[worker] = written_after;
    left_.erase(worker);
}

void departure_detector::on_removed(const base::worker_id& worker,
                                    base::time_point now)
{
    const auto reported = reported_after_.find(worker);
    if (reported == reported_after_.end())
    {
        return;
    }
    if (now - reported->second < shortest_silence_)
    {
        left_.insert(worker);
    }
    reported_after_.erase(reported);
}

void departure_detector::forget(const base::worker_id& worker)
{
    reported_after_.erase(worker);
    left_.erase(worker);
}

} // namespace coltsfootrack::cell
