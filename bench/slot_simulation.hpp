#ifndef COLTSFOOTRACK_BENCH_SLOT_SIMULATION_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_SLOT_SIMULATION_HPP_INCLUDED

#include <coltsfootrack/routing/request_flow.hpp>
#include <coltsfootrack/routing/router.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <fmt/core.h>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace coltsfootrack::routing
{

// Simulates daemons that share the runners of one service, in simulated time:
// Poisson arrivals spread evenly over the daemons, exponential run times, and a
// fixed latency between daemon and runner. Each request follows a request_flow.
// With wake_waiting a daemon wakes its oldest waiting request when an answer
// arrives; otherwise each request waits until its own pause has ended.
class slot_simulation
{
public:
    struct settings
    {
        slot_strategy strategy = router_options().strategy;
        std::uint32_t daemons = 8;
        std::uint32_t runners = 35;
        std::uint32_t slots = 8;
        double load = 0.9;
        double mean_run_ms = 200;
        double latency_ms = 1;
        bool wake_waiting = true;
        std::uint32_t requests = 60000;
        base::duration view_lifetime = router_options().view_lifetime;
        std::uint64_t seed = 1;
    };

    struct result
    {
        // Refusals per attempt.
        double refusal_rate = 0;
        // From the arrival at the daemon to the start on the runner.
        double mean_wait_ms = 0;
        double p99_wait_ms = 0;
        // Requests that were not started within 10 s.
        double failed = 0;
    };

    explicit slot_simulation(const settings& values)
        : settings_(values)
        , random_(base::seeded_random(values.seed))
        , budget_(retry_budget_options(), at(0))
        , busy_(values.runners, 0)
    {
        std::vector<runner> list;
        for (std::uint32_t i = 0; i < values.runners; ++i)
        {
            list.push_back({base::runner_id(fmt::format("r-{:04}", i)),
                            base::zone_id("a1"), base::region_id("a"),
                            "127.0.0.1:1", values.slots, runner_state::live});
        }
        router_options options;
        options.zone = base::zone_id("a1");
        options.region = base::region_id("a");
        options.strategy = values.strategy;
        options.view_lifetime = values.view_lifetime;
        for (std::uint32_t i = 0; i < values.daemons; ++i)
        {
            daemons_.push_back(std::make_unique<daemon>(
                options, base::seeded_random(values.seed * 1000 + i)));
            daemons_.back()->choice.set_daemons(i, values.daemons);
            daemons_.back()->choice.set_runners(service_, list, at(0));
        }
    }

    result run()
    {
        arrive(0);
        while (!events_.empty())
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.act();
        }
        std::sort(waits_.begin(), waits_.end());
        result values;
        values.failed =
            static_cast<double>(settings_.requests - waits_.size()) /
            settings_.requests;
        for (const double wait : waits_)
        {
            values.mean_wait_ms += wait / static_cast<double>(waits_.size());
        }
        values.p99_wait_ms = waits_[waits_.size() * 99 / 100];
        values.refusal_rate =
            static_cast<double>(refused_) / static_cast<double>(sent_);
        return values;
    }

private:
    struct request
    {
        request_flow flow;
        double arrived = 0;
        std::vector<base::runner_id> excluded;
        // The number of the current wait, to detect that it was ended early.
        std::uint32_t wait = 0;
        bool waiting = false;
    };

    using request_pointer = std::shared_ptr<request>;

    struct daemon
    {
        daemon(const router_options& options, base::random_source random)
            : choice(options, std::move(random))
        {
        }

        router choice;
        std::deque<request_pointer> waiting;
    };

    struct event
    {
        double time = 0;
        std::uint64_t number = 0;
        std::function<void()> act;

        friend bool operator<(const event& a, const event& b)
        {
            return a.time != b.time ? a.time > b.time : a.number > b.number;
        }
    };

    static base::time_point at(double ms)
    {
        return base::time_point(std::chrono::nanoseconds(
            static_cast<std::int64_t>((ms + 1e6) * 1e6)));
    }

    double exponential(double mean)
    {
        // The 53 high bits give a number above 0 and at most 1.
        const double uniform =
            (static_cast<double>(random_() >> 11U) + 1) * 0x1.0p-53;
        return -mean * std::log(uniform);
    }

    void after(double delay, std::function<void()> act)
    {
        events_.push({now_ + delay, events_made_++, std::move(act)});
    }

    void arrive(std::uint32_t number)
    {
        if (number == settings_.requests)
        {
            return;
        }
        daemon& to = *daemons_[random_() % daemons_.size()];
        request_traits traits;
        traits.idempotent = true;
        traits.deadline = at(now_) + std::chrono::seconds(10);
        const auto value = std::make_shared<request>(request{
            request_flow(traits, backoff(), budget_, random_), now_, {}});
        follow(to, value, value->flow.start(at(now_)));
        const double slots = settings_.runners * settings_.slots;
        after(exponential(settings_.mean_run_ms / (slots * settings_.load)),
              [this, number] { arrive(number + 1); });
    }

    void follow(daemon& from, const request_pointer& value,
                const request_step& step)
    {
        if (std::holds_alternative<send_step>(step))
        {
            send(from, value);
        }
        else if (const auto* wait = std::get_if<wait_step>(&step))
        {
            value->excluded.clear();
            value->waiting = true;
            ++value->wait;
            from.waiting.push_back(value);
            const std::chrono::duration<double, std::milli> span =
                wait->until - at(now_);
            after(span.count(),
                  [this, &from, value, number = value->wait]
                  {
                      if (value->waiting && value->wait == number)
                      {
                          end_wait(from, value);
                      }
                  });
        }
    }

    void end_wait(daemon& from, const request_pointer& value)
    {
        value->waiting = false;
        from.waiting.erase(
            std::find(from.waiting.begin(), from.waiting.end(), value));
        follow(from, value, value->flow.wait_ended(at(now_)));
    }

    void send(daemon& from, const request_pointer& value)
    {
        const auto sent = from.choice.pick(service_, value->excluded, at(now_));
        if (!sent.ok())
        {
            follow(
                from, value,
                value->flow.no_runner(base::kind_of(sent.status()), at(now_)));
            return;
        }
        ++sent_;
        const auto index =
            static_cast<std::size_t>(std::stoul(sent->runner.text().substr(2)));
        after(settings_.latency_ms, [this, &from, value, sent = *sent, index]
              { receive(from, value, sent, index); });
    }

    void receive(daemon& from, const request_pointer& value,
                 const attempt& sent, std::size_t index)
    {
        if (busy_[index] >= settings_.slots)
        {
            ++refused_;
            after(settings_.latency_ms,
                  [this, &from, value, sent]
                  {
                      value->excluded.push_back(sent.runner);
                      end(from, value, sent, attempt_outcome::refused_full, 0);
                  });
            return;
        }
        ++busy_[index];
        waits_.push_back(now_ - value->arrived);
        after(exponential(settings_.mean_run_ms),
              [this, &from, value, sent, index]
              {
                  --busy_[index];
                  const std::uint32_t free = settings_.slots - busy_[index];
                  after(settings_.latency_ms,
                        [this, &from, value, sent, free]
                        {
                            end(from, value, sent, attempt_outcome::complete,
                                free);
                            if (settings_.wake_waiting && !from.waiting.empty())
                            {
                                end_wait(from, from.waiting.front());
                            }
                        });
              });
    }

    void end(daemon& from, const request_pointer& value, const attempt& sent,
             attempt_outcome outcome, std::uint32_t free)
    {
        from.choice.complete(sent, outcome, free, at(now_));
        follow(from, value, value->flow.attempt_ended(outcome, at(now_)));
    }

    settings settings_;
    base::service_id service_{"s"};
    base::random_source random_;
    retry_budget budget_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::vector<std::uint32_t> busy_;
    std::priority_queue<event> events_;
    std::uint64_t events_made_ = 0;
    double now_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t refused_ = 0;
    std::vector<double> waits_;
};

} // namespace coltsfootrack::routing

#endif
