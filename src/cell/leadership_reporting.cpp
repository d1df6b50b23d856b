// The logs and metrics of a leader's orders.

#include <coltsfootrack/base/log_list.hpp>
#include <coltsfootrack/cell/leadership.hpp>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string_view>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "leader";

// How often the workers are counted for the metrics; each time takes a pass
// over all of them.
constexpr std::chrono::seconds count_period{1};

// The names in the metrics, indexed by call_kind; a probe is named "look".
constexpr std::array<std::string_view, 5> call_names = {"start", "stop", "pace",
                                                        "renewal", "look"};

} // namespace

void leadership::register_metrics()
{
    for (std::size_t call = 0; call < call_names.size(); ++call)
    {
        for (std::size_t i = 0; i < fleet::order_outcome_count; ++i)
        {
            worker_calls_[call][i] = &metrics_.worker_calls(
                call_names[call],
                fleet::name_of(static_cast<fleet::order_outcome>(i)));
        }
    }
    loop_.after(count_period, guarded([this] { count_workers(); }));
}

void leadership::count_workers()
{
    const auto& workers = fleet_.workers();
    metrics_.set_value("workers_known", static_cast<double>(workers.size()));
    metrics_.set_value(
        "workers_silent",
        static_cast<double>(std::count_if(
            workers.begin(), workers.end(),
            [](const auto& entry) { return entry.second.unresponsive; })));
    metrics_.set_value(
        "standing_tasks_without_run",
        static_cast<double>(fleet_.standing_tasks_without_run()));
    loop_.after(count_period, guarded([this] { count_workers(); }));
}

// A daemon that is not the leader reports no workers.
void leadership::clear_worker_counts()
{
    metrics_.set_value("workers_known", 0);
    metrics_.set_value("workers_silent", 0);
    metrics_.set_value("standing_tasks_without_run", 0);
}

void leadership::record_outcome(call_kind call, fleet::order_outcome outcome,
                                const base::worker_id& worker)
{
    worker_calls_[static_cast<std::size_t>(call)]
                 [static_cast<std::size_t>(outcome)]
                     ->Increment();
    if (outcome == fleet::order_outcome::fenced)
    {
        report_lost("worker " + worker.text() + " has seen a higher epoch");
    }
}

void leadership::record_unconfirmed(ordered_start start)
{
    if (unconfirmed_starts_.empty())
    {
        // Posted, so that outcomes that are already queued are logged as well.
        loop_.post(guarded([this] { log_starts(unconfirmed_starts_, true); }));
    }
    unconfirmed_starts_.push_back(std::move(start));
}

// Logs one line for each step of a job, so that a burst of starts takes few
// lines, and clears the list.
void leadership::log_starts(std::vector<ordered_start>& starts, bool outcomes)
{
    std::stable_sort(starts.begin(), starts.end(),
                     [](const ordered_start& a, const ordered_start& b)
                     { return a.task.step < b.task.step; });
    const char* const event =
        outcomes ? "Starts not confirmed" : "Starts ordered";
    for (auto first = starts.begin(); first != starts.end();)
    {
        const jobs::step_key step = first->task.step;
        base::log_list line(
            base::log_level::info, log_part,
            fmt::format("{}. job={} occurrence={} step={} starts=", event,
                        step.job.text(), step.occurrence, step.step));
        for (; first != starts.end() && first->task.step == step; ++first)
        {
            line.add("{}:{}@{}{}{}", first->task.index, first->run,
                     first->worker.text(), outcomes ? ":" : "",
                     outcomes ? fleet::name_of(first->outcome)
                              : std::string_view());
        }
    }
    starts.clear();
}

} // namespace coltsfootrack::cell
