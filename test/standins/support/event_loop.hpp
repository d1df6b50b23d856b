#ifndef COLTSFOOTRACK_TEST_STANDINS_SUPPORT_EVENT_LOOP_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_SUPPORT_EVENT_LOOP_HPP_INCLUDED

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace coltsfootrack::standins
{

// Serves the timers and file descriptors of a stand-in on one thread, so that
// stand-ins need no locks and one process can host hundreds of servers.
//
// Thread safety: only post may be called from other threads.
class event_loop
{
public:
    using clock = std::chrono::steady_clock;
    using task = std::function<void()>;

    // Must be constructed before any thread is started, because it blocks the
    // signals that end the program.
    event_loop()
        : wakeup_(::eventfd(0, EFD_NONBLOCK))
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        watch(::signalfd(-1, &signals, SFD_NONBLOCK), POLLIN,
              [this](short) { running_ = false; });
        watch(wakeup_, POLLIN,
              [this](short)
              {
                  std::uint64_t count = 0;
                  static_cast<void>(::read(wakeup_, &count, sizeof count) < 0);
                  run_posted();
              });
    }

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs the task once, at or soon after the given time. Tasks of the same
    // time run in the order of the calls.
    void at(clock::time_point time, task run)
    {
        timers_.emplace(std::pair(time, ++timer_count_), std::move(run));
    }

    void after(std::chrono::milliseconds delay, task run)
    {
        at(clock::now() + delay, std::move(run));
    }

    // Runs the task repeatedly.
    void every(std::chrono::milliseconds interval, const task& run)
    {
        after(interval,
              [this, interval, run]
              {
                  run();
                  every(interval, run);
              });
    }

    // Runs the task on the loop's thread.
    void post(task run)
    {
        {
            const std::lock_guard<std::mutex> lock(posted_mutex_);
            posted_.push_back(std::move(run));
        }
        const std::uint64_t one = 1;
        static_cast<void>(::write(wakeup_, &one, sizeof one) < 0);
    }

    // Calls the function when the descriptor has one of the events of poll(2).
    // Replaces an earlier function of the descriptor.
    void watch(int descriptor, short events, std::function<void(short)> ready)
    {
        watches_[descriptor] = {events, std::move(ready)};
    }

    void unwatch(int descriptor)
    {
        watches_.erase(descriptor);
    }

    // Calls the function before each wait. It returns true if work is left, so
    // that the loop does not block.
    void before_wait(std::function<bool()> check)
    {
        checks_.push_back(std::move(check));
    }

    // Serves until SIGTERM or SIGINT.
    void run()
    {
        while (running_)
        {
            run_timers();
            bool busy = false;
            for (const auto& check : checks_)
            {
                busy = check() || busy;
            }
            wait(busy ? 0 : timeout_ms());
        }
    }

private:
    struct watched
    {
        short events;
        std::function<void(short)> ready;
    };

    int timeout_ms() const
    {
        if (timers_.empty())
        {
            return 1000;
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            timers_.begin()->first.first - clock::now());
        return static_cast<int>(
            std::clamp<std::int64_t>(left.count(), 0, 1000));
    }

    void run_timers()
    {
        const auto now = clock::now();
        while (!timers_.empty() && timers_.begin()->first.first <= now)
        {
            const task run = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            run();
        }
    }

    void run_posted()
    {
        std::vector<task> tasks;
        {
            const std::lock_guard<std::mutex> lock(posted_mutex_);
            tasks.swap(posted_);
        }
        for (const task& run : tasks)
        {
            run();
        }
    }

    void wait(int timeout)
    {
        std::vector<pollfd> descriptors;
        descriptors.reserve(watches_.size());
        for (const auto& [descriptor, entry] : watches_)
        {
            descriptors.push_back({descriptor, entry.events, 0});
        }
        if (::poll(descriptors.data(), descriptors.size(), timeout) <= 0)
        {
            return;
        }
        for (const pollfd& entry : descriptors)
        {
            const auto found = watches_.find(entry.fd);
            if (entry.revents != 0 && found != watches_.end())
            {
                // A copy, since the function may remove its own entry.
                const auto ready = found->second.ready;
                ready(entry.revents);
            }
        }
    }

    int wakeup_;
    bool running_ = true;
    std::uint64_t timer_count_ = 0;
    std::map<std::pair<clock::time_point, std::uint64_t>, task> timers_;
    std::map<int, watched> watches_;
    std::vector<std::function<bool()>> checks_;
    std::mutex posted_mutex_;
    std::vector<task> posted_;
};

} // namespace coltsfootrack::standins

#endif
