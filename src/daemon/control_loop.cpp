// The event queue of the control thread. Timers run before queued events, so
// that a long queue does not delay the renewal of leases.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>

#include <algorithm>
#include <exception>

namespace coltsfootrack::daemon
{
namespace
{

// A library's exception, for example for a table row of the wrong type, ends
// only the event and not the daemon.
void run_event(const control_loop::event& action)
{
    try
    {
        action();
    }
    catch (const std::exception& error)
    {
        base::log(base::log_level::error, "daemon",
                  "Event threw an exception. error={}", error.what());
    }
}

} // namespace

control_loop::control_loop(const base::clock& clock, std::size_t capacity)
    : clock_(clock)
    , capacity_(capacity)
{
}

void control_loop::observe_delays(delay_observer observer)
{
    observer_ = std::move(observer);
}

void control_loop::post(event action)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        queue_.push_back({std::move(action), clock_.now()});
    }
    wake_.notify_one();
}

bool control_loop::try_post(event action)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (queue_.size() >= capacity_ || stopped_)
        {
            return false;
        }
        queue_.push_back({std::move(action), clock_.now()});
    }
    wake_.notify_one();
    return true;
}

void control_loop::after(base::duration span, event action)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    timers_.emplace(timer_key(clock_.now() + span, next_timer_++),
                    timer{std::move(action), base::duration(0)});
    wake_.notify_one();
}

void control_loop::every(base::duration period, event action)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    timers_.emplace(timer_key(clock_.now() + period, next_timer_++),
                    timer{std::move(action), period});
    wake_.notify_one();
}

bool control_loop::run_due_timer()
{
    timer due;
    base::time_point due_at;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (timers_.empty() || timers_.begin()->first.first > clock_.now())
        {
            return false;
        }
        due_at = timers_.begin()->first.first;
        due = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
    }
    const auto start = clock_.now();
    if (observer_)
    {
        observer_(true, start - due_at);
    }
    run_event(due.action);
    const auto end = clock_.now();
    const std::lock_guard<std::mutex> lock(mutex_);
    busy_time_ += end - start;
    if (due.period > base::duration(0))
    {
        timers_.emplace(timer_key(end + due.period, next_timer_++),
                        std::move(due));
    }
    return true;
}

bool control_loop::run_next()
{
    if (run_due_timer())
    {
        return true;
    }
    queued_event next;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (queue_.empty() || stopped_)
        {
            return false;
        }
        next = std::move(queue_.front());
        queue_.pop_front();
    }
    const auto start = clock_.now();
    if (observer_)
    {
        observer_(false, start - next.posted);
    }
    run_event(next.action);
    const auto end = clock_.now();
    const std::lock_guard<std::mutex> lock(mutex_);
    busy_time_ += end - start;
    return true;
}

std::optional<base::time_point> control_loop::next_due() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!queue_.empty())
    {
        return queue_.front().posted;
    }
    return timers_.empty()
               ? std::nullopt
               : std::optional<base::time_point>(timers_.begin()->first.first);
}

void control_loop::run()
{
    for (;;)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (stopped_)
            {
                return;
            }
        }
        if (run_next())
        {
            continue;
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (stopped_ || !queue_.empty())
        {
            continue;
        }
        // Wakes at least this often to notice that a test advanced its manual
        // clock.
        auto wait = base::duration(std::chrono::milliseconds(100));
        if (!timers_.empty())
        {
            wait = std::min(wait, timers_.begin()->first.first - clock_.now());
        }
        if (wait > base::duration(0))
        {
            wake_.wait_for(lock, wait);
        }
    }
}

void control_loop::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopped_ = true;
    }
    wake_.notify_all();
}

base::duration control_loop::busy_time() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return busy_time_;
}

} // namespace coltsfootrack::daemon
