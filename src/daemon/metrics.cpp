// Prometheus metrics of the daemon.

#include <coltsfootrack/daemon/metrics.hpp>

#include <prometheus/text_serializer.h>

namespace coltsfootrack::daemon
{
namespace
{

prometheus::Family<prometheus::Counter>&
make_counters(prometheus::Registry& registry, const std::string& name,
              const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

const prometheus::Histogram::BucketBoundaries wait_buckets = {
    0.05, 0.1, 0.2, 0.5, 1, 2, 3.6, 7, 15, 30, 60, 300, 1800, 7200};
const prometheus::Histogram::BucketBoundaries request_buckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

} // namespace

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , events_(make_counters(*registry_, "coltsfootrack_events_total",
                            "Events by name."))
    , values_(prometheus::BuildGauge()
                  .Name("coltsfootrack_value")
                  .Help("Values by name.")
                  .Register(*registry_))
    , worker_calls_(make_counters(*registry_,
                                  "coltsfootrack_worker_calls_total",
                                  "Calls to workers by kind and outcome."))
{
    auto& refusals = make_counters(*registry_, "coltsfootrack_refusals_total",
                                   "Refusals by reason.");
    auto& retries = make_counters(*registry_, "coltsfootrack_retries_total",
                                  "Retries by reason.");
    for (const base::error_answer& answer : base::error_answers())
    {
        const auto index = static_cast<std::size_t>(answer.kind);
        const std::string reason(answer.name);
        refusals_[index] = &refusals.Add({{"reason", reason}});
        retries_[index] = &retries.Add({{"reason", reason}});
    }
    auto& waits = prometheus::BuildHistogram()
                      .Name("coltsfootrack_task_wait_seconds")
                      .Help("Time from submission to the start of a task.")
                      .Register(*registry_);
    wait_ = &waits.Add({{"urgent", "no"}}, wait_buckets);
    wait_urgent_ = &waits.Add({{"urgent", "yes"}}, wait_buckets);
    request_ = &prometheus::BuildHistogram()
                    .Name("coltsfootrack_request_seconds")
                    .Help("Time of a request from arrival to answer.")
                    .Register(*registry_)
                    .Add({}, request_buckets);
    auto& delays = prometheus::BuildHistogram()
                       .Name("coltsfootrack_control_delay_seconds")
                       .Help("Time that an event waited for the control "
                             "thread, and that a timer was late.")
                       .Register(*registry_);
    event_delay_ = &delays.Add({{"of", "event"}}, request_buckets);
    timer_delay_ = &delays.Add({{"of", "timer"}}, request_buckets);
    store_ = &prometheus::BuildHistogram()
                  .Name("coltsfootrack_store_seconds")
                  .Help("Time of a transaction at the store until the control "
                        "thread handles its answer.")
                  .Register(*registry_)
                  .Add({}, request_buckets);
}

void metrics::count_refusal(base::error_kind reason)
{
    refusals_[static_cast<std::size_t>(reason)]->Increment();
}

void metrics::count_retry(base::error_kind reason)
{
    retries_[static_cast<std::size_t>(reason)]->Increment();
}

void metrics::count_event(const std::string& name, double amount)
{
    events_.Add({{"event", name}}).Increment(amount);
}

void metrics::set_value(const std::string& name, double value)
{
    values_.Add({{"name", name}}).Set(value);
}

prometheus::Counter& metrics::worker_calls(std::string_view call,
                                           std::string_view outcome)
{
    return worker_calls_.Add(
        {{"call", std::string(call)}, {"outcome", std::string(outcome)}});
}

void metrics::observe_delay(bool timer, double seconds)
{
    (timer ? timer_delay_ : event_delay_)->Observe(seconds);
}

void metrics::observe_store_time(double seconds)
{
    store_->Observe(seconds);
}

void metrics::observe_task_wait(bool urgent, double seconds)
{
    (urgent ? wait_urgent_ : wait_)->Observe(seconds);
}

void metrics::observe_request_time(double seconds)
{
    request_->Observe(seconds);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace coltsfootrack::daemon
