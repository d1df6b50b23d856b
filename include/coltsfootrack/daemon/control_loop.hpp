#ifndef COLTSFOOTRACK_DAEMON_CONTROL_LOOP_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_CONTROL_LOOP_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace coltsfootrack::daemon
{

// The event queue and timers of the control thread. Only functions that run
// here access the control state of the daemon, so it needs no locks.
//
//     control_loop loop(clock, 65536);
//     loop.every(std::chrono::seconds(2), [&] { renew(); });
//     std::thread control([&] { loop.run(); });
//     loop.post([&] { handle(event); });   // from any thread
//
// Limits: try_post refuses an event while `capacity` events are queued, and the
// caller answers `overloaded`. post accepts every event: these are completions
// of operations that were bounded when they started, and losing one would lose
// state.
//
// Thread safety: post, try_post and stop may be called from any thread; after,
// every and run only on the control thread, or before it starts.
class control_loop
{
public:
    using event = std::function<void()>;

    control_loop(const base::clock& clock, std::size_t capacity);

    // The clock of the timers.
    const base::clock& clock() const
    {
        return clock_;
    }

    // Called on the control thread with the delay of each event and timer. To
    // be set before the loop runs.
    using delay_observer = std::function<void(bool timer, base::duration)>;
    void observe_delays(delay_observer observer);

    // Queues an event of an operation that has already been admitted.
    void post(event action);

    // Queues an event of a new operation. Returns false if the queue is full.
    bool try_post(event action);

    // Runs the event once, after the given delay.
    void after(base::duration span, event action);

    // Runs the event periodically; the period counts from the end of one run to
    // the start of the next, so that runs do not pile up.
    void every(base::duration period, event action);

    // Runs events until stop is called.
    void run();

    // Runs one due timer, or else one queued event; false if there is neither.
    // For programs that drive the loop themselves instead of calling run.
    bool run_next();

    // When run_next has something to run; nullopt if nothing is scheduled.
    std::optional<base::time_point> next_due() const;

    void stop();

    // The total time spent in events and timers, for the metrics.
    base::duration busy_time() const;

private:
    struct timer
    {
        event action;
        base::duration period{0};
    };

    using timer_key = std::pair<base::time_point, std::uint64_t>;

    struct queued_event
    {
        event action;
        base::time_point posted;
    };

    bool run_due_timer();

    const base::clock& clock_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    delay_observer observer_;
    std::deque<queued_event> queue_;
    std::map<timer_key, timer> timers_;
    std::uint64_t next_timer_ = 0;
    base::duration busy_time_{0};
    bool stopped_ = false;
};

} // namespace coltsfootrack::daemon

#endif
