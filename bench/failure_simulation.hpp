#ifndef COLTSFOOTRACK_BENCH_FAILURE_SIMULATION_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_FAILURE_SIMULATION_HPP_INCLUDED

#include <coltsfootrack/routing/request_flow.hpp>
#include <coltsfootrack/routing/router.hpp>

#include <cstdint>
#include <fmt/core.h>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootrack::routing
{

// Simulates, in simulated time, one daemon with idempotent requests at a
// constant rate while every runner of its zone fails each attempt in the same
// way.
class failure_simulation
{
public:
    struct settings
    {
        attempt_outcome outcome = attempt_outcome::timed_out;
        // Runners in a healthy zone of the same region; none if 0.
        std::uint32_t healthy_runners = 0;
        double requests_per_second = 500;
        double seconds = 20;
    };

    struct result
    {
        std::uint64_t requests = 0;
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        retry_budget_options budget;

        double amplification() const
        {
            return static_cast<double>(sent) / static_cast<double>(requests);
        }
    };

    explicit failure_simulation(const settings& values)
        : settings_(values)
        , random_(base::seeded_random(1))
        , budget_(retry_budget_options(), now_)
        , choice_(options(), base::seeded_random(2))
    {
        std::vector<runner> list;
        for (std::uint32_t i = 0; i < 35 + values.healthy_runners; ++i)
        {
            list.push_back({base::runner_id(fmt::format("r-{:04}", i)),
                            i < 35 ? failing_ : base::zone_id("a2"),
                            base::region_id("a"), "127.0.0.1:1", 8,
                            runner_state::live});
        }
        choice_.set_runners(service_, list, now_);
    }

    result run()
    {
        const auto gap = std::chrono::nanoseconds(
            static_cast<std::int64_t>(1e9 / settings_.requests_per_second));
        const auto count = static_cast<std::uint64_t>(
            settings_.seconds * settings_.requests_per_second);
        for (std::uint64_t i = 0; i < count; ++i)
        {
            at(now_ + gap * static_cast<std::int64_t>(i), [this] { arrive(); });
        }
        while (!events_.empty())
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.act();
        }
        return result_;
    }

private:
    // A request and the runners that it has tried.
    struct request
    {
        request_flow flow;
        base::time_point deadline;
        std::vector<base::runner_id> tried;
    };

    struct event
    {
        base::time_point time;
        std::uint64_t number = 0;
        std::function<void()> act;

        friend bool operator<(const event& a, const event& b)
        {
            return a.time != b.time ? a.time > b.time : a.number > b.number;
        }
    };

    router_options options() const
    {
        router_options values;
        values.zone = failing_;
        values.region = base::region_id("a");
        return values;
    }

    void at(base::time_point time, std::function<void()> act)
    {
        events_.push({time, events_made_++, std::move(act)});
    }

    void arrive()
    {
        ++result_.requests;
        request_traits traits;
        traits.idempotent = true;
        traits.deadline = now_ + std::chrono::seconds(2);
        auto value = std::make_shared<request>(
            request{request_flow(traits, backoff(), budget_, random_),
                    traits.deadline,
                    {}});
        follow(value, value->flow.start(now_));
    }

    void follow(const std::shared_ptr<request>& value, const request_step& step)
    {
        if (const auto* wait = std::get_if<wait_step>(&step))
        {
            at(wait->until,
               [this, value]
               {
                   value->tried.clear();
                   follow(value, value->flow.wait_ended(now_));
               });
        }
        else if (std::holds_alternative<send_step>(step))
        {
            send(value);
        }
        else if (!std::get<final_step>(step).error)
        {
            ++result_.answered;
        }
    }

    void send(const std::shared_ptr<request>& value)
    {
        const auto chosen = choice_.pick(service_, value->tried, now_);
        if (!chosen.ok())
        {
            follow(value,
                   value->flow.no_runner(base::kind_of(chosen.status()), now_));
            return;
        }
        ++result_.sent;
        value->tried.push_back(chosen->runner);
        const bool fails = chosen->distance == 0;
        const auto outcome =
            fails ? settings_.outcome : attempt_outcome::complete;
        // A run takes 20 ms; a failed connection is detected after 2 ms.
        const auto span = std::chrono::milliseconds(
            outcome == attempt_outcome::nothing_sent ? 2 : 20);
        at(now_ + span,
           [this, value, outcome, sent = *chosen]
           {
               choice_.complete(sent, outcome, {}, now_);
               follow(value, value->flow.attempt_ended(outcome, now_));
           });
    }

    settings settings_;
    base::service_id service_{"s"};
    base::zone_id failing_{"a1"};
    base::time_point now_ = base::time_point(std::chrono::hours(1));
    base::random_source random_;
    retry_budget budget_;
    router choice_;
    std::priority_queue<event> events_;
    std::uint64_t events_made_ = 0;
    result result_;
};

} // namespace coltsfootrack::routing

#endif
