#ifndef COLTSFOOTRACK_DAEMON_METRICS_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_METRICS_HPP_INCLUDED

#include <coltsfootrack/base/error_kind.hpp>

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace coltsfootrack::daemon
{

// The metrics of one daemon, in the Prometheus text format at GET /metrics.
// The refusal and retry counters of all error kinds exist from the start, so
// that a reason that never occurred reads 0.
//
// Thread safety: all functions may be called from any thread.
class metrics
{
public:
    metrics();

    // Counts a refusal answered to a caller, or decided by the scheduler.
    void count_refusal(base::error_kind reason);

    // Counts a retry and the reason of the failed attempt.
    void count_retry(base::error_kind reason);

    // Counts an event by name, for example "task_started".
    void count_event(const std::string& name, double amount = 1);

    // Sets a gauge by name, for example "owner_epoch".
    void set_value(const std::string& name, double value);

    // The counter of worker calls of a kind, for example "start", with an
    // outcome. Callers keep it, since each look-up allocates its labels.
    prometheus::Counter& worker_calls(std::string_view call,
                                      std::string_view outcome);

    // Records the delay of an event or a timer of the control thread, in
    // seconds.
    void observe_delay(bool timer, double seconds);

    // Records the time of one transaction at the store, in seconds.
    void observe_store_time(double seconds);

    // Records the time from submission to the start of a task, in seconds.
    void observe_task_wait(bool urgent, double seconds);

    // Records the time of one request, in seconds.
    void observe_request_time(double seconds);

    // The text of GET /metrics.
    std::string text() const;

private:
    using counter_table =
        std::array<prometheus::Counter*, base::error_kind_count>;

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& events_;
    prometheus::Family<prometheus::Gauge>& values_;
    prometheus::Family<prometheus::Counter>& worker_calls_;
    counter_table refusals_{};
    counter_table retries_{};
    prometheus::Histogram* wait_ = nullptr;
    prometheus::Histogram* wait_urgent_ = nullptr;
    prometheus::Histogram* request_ = nullptr;
    prometheus::Histogram* event_delay_ = nullptr;
    prometheus::Histogram* timer_delay_ = nullptr;
    prometheus::Histogram* store_ = nullptr;
};

} // namespace coltsfootrack::daemon

#endif
