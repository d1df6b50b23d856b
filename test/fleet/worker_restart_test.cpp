// Tests of acknowledgements to a worker that restarts under the same id. Its
// new life numbers its ends from 1 again. An acknowledgement of ends of the
// former life would discard unread ends of the new one, whose tasks would then
// run twice.

#include "fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::worker_id w("w");

// A worker whose end 1 is stored, and a job that is waiting.
class stored_end_fixture : public fleet_fixture
{
public:
    stored_end_fixture()
    {
        add_worker("w", 1000);
        advance(milliseconds(5000));
        report("w");
        add_job("first", {step(1, 1000)});
        run_round();
        confirm_starts();
        advance(milliseconds(100));
        report("w", {},
               {end_of(1, task("first", 0), starts[0].run, end_kind::done)});
        run_round();
        save_all();
        report("w", {},
               {end_of(1, task("first", 0), starts[0].run, end_kind::done)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet_.acknowledged(w));
        add_job("second", {step(1, 1000)});
        advance(milliseconds(10));
        run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    }

    // The start of the second job has the given outcome.
    void finish_start(order_outcome outcome)
    {
        fleet_.on_start(w, starts[1].task, starts[1].run, outcome, now_);
    }

    // The clock of the worker that reported.
    milliseconds clock() const
    {
        return std::chrono::duration_cast<milliseconds>(now_ -
                                                        base::time_point());
    }

    using fleet_fixture::step;
};

// A worker that restarts, runs tasks for a short time and loses calls, and a
// leader that knows of it only what its answers say.
class restarting_worker
{
public:
    // `any_first_clock`: whether the clock of a life starts at any time, not at
    // zero.
    explicit restarting_worker(std::uint64_t seed, bool any_first_clock = false)
        : random_(seed)
        , any_first_clock_(any_first_clock)
    {
        fixture_.queue_.max_attempts = 1000;
        fixture_.apply();
        fixture_.add_worker("w", capacity);
        boot();
    }

    void run()
    {
        constexpr int steps = 1500;
        for (int i = 0; i < steps; ++i)
        {
            fixture_.advance(milliseconds(1 + below(30)));
            act();
        }
    }

    // The number of ends that were acknowledged unread.
    int acknowledged_unread() const
    {
        return acknowledged_unread_;
    }

    int restarts() const
    {
        return restarts_;
    }

    int acknowledged() const
    {
        return acknowledged_;
    }

private:
    static constexpr std::int64_t capacity = 4000;

    int below(int limit)
    {
        return static_cast<int>(random_() % static_cast<unsigned>(limit));
    }

    void boot()
    {
        ++life_;
        booted_at_ = fixture_.now_;
        constexpr int latest_first_clock_ms = 100000;
        first_clock_ =
            milliseconds(any_first_clock_ ? below(latest_first_clock_ms) : 0);
        running_.clear();
        ended_.clear();
        next_end_ = 1;
    }

    milliseconds clock() const
    {
        return first_clock_ + std::chrono::duration_cast<milliseconds>(
                                  fixture_.now_ - booted_at_);
    }

    void act()
    {
        constexpr int choices = 20;
        constexpr int restart_one_in = 4;
        switch (below(choices))
        {
        case 0:
            fixture_.add_job(std::to_string(++jobs_),
                             {fleet_fixture::step(1, 1000)});
            return;
        case 1:
            renew();
            return;
        case 2:
        case 3:
            order();
            return;
        case 4:
        case 5:
            end_a_run();
            return;
        case 6:
            if (below(restart_one_in) == 0)
            {
                ++restarts_;
                boot();
            }
            return;
        case 7:
        case 8:
            fixture_.save_all();
            return;
        default:
            break;
        }
        if (below(2) == 0)
        {
            deliver(calls_);
            return;
        }
        if (!answers_.empty())
        {
            // Answers on different connections overtake each other.
            std::swap(answers_.front(),
                      answers_[static_cast<std::size_t>(
                          below(static_cast<int>(answers_.size())))]);
        }
        deliver(answers_);
    }

    static void deliver(std::deque<std::function<void()>>& queue)
    {
        if (!queue.empty())
        {
            const auto next = std::move(queue.front());
            queue.pop_front();
            next();
        }
    }

    void order()
    {
        const std::size_t first = fixture_.starts.size();
        fixture_.run_round();
        for (std::size_t i = first; i < fixture_.starts.size(); ++i)
        {
            calls_.push_back([this, order = fixture_.starts[i],
                              sent = fixture_.now_] { start(order, sent); });
        }
        for (const stop_order& stop : std::exchange(fixture_.stops, {}))
        {
            calls_.push_back(
                [this, stop]
                {
                    running_.erase(stop.task);
                    fixture_.fleet_.on_stop(w, stop.task, stop.run,
                                            order_outcome::carried_out,
                                            fixture_.now_);
                });
        }
    }

    void start(const start_order& order, base::time_point sent)
    {
        running_[order.task] = order.run;
        const bool lost = below(4) == 0;
        answers_.push_back(
            [this, order, sent, lost, clock = clock()]
            {
                if (!lost)
                {
                    fixture_.fleet_.on_clock(w, clock, sent, fixture_.now_);
                }
                fixture_.fleet_.on_start(w, order.task, order.run,
                                         lost ? order_outcome::unknown
                                              : order_outcome::carried_out,
                                         fixture_.now_);
            });
    }

    void renew()
    {
        const std::uint64_t acknowledged = fixture_.fleet_.acknowledged(w);
        calls_.push_back([this, acknowledged, sent = fixture_.now_]
                         { answer_renewal(acknowledged, sent); });
    }

    void answer_renewal(std::uint64_t acknowledged, base::time_point sent)
    {
        while (!ended_.empty() && ended_.front().number <= acknowledged)
        {
            ++acknowledged_;
            const bool unread =
                read_.count({life_, ended_.front().number}) == 0;
            acknowledged_unread_ += unread ? 1 : 0;
            ended_.pop_front();
        }
        worker_report report;
        report.life = life_;
        report.clock = clock();
        report.sent_at = sent;
        report.ended.assign(ended_.begin(), ended_.end());
        for (const auto& [task, run] : running_)
        {
            report.running.push_back(running(task, run));
        }
        answers_.push_back(
            [this, report]
            {
                for (const run_end& end : report.ended)
                {
                    read_.insert({report.life, end.number});
                }
                fixture_.fleet_.on_report(w, report, fixture_.now_);
            });
    }

    void end_a_run()
    {
        if (!running_.empty())
        {
            const auto first = running_.begin();
            ended_.push_back(end_of(next_end_++, first->first, first->second,
                                    end_kind::done));
            running_.erase(first);
        }
    }

    std::mt19937_64 random_;
    fleet_fixture fixture_;
    // The worker.
    std::int64_t life_ = 0;
    base::time_point booted_at_;
    bool any_first_clock_ = false;
    milliseconds first_clock_{0};
    std::map<jobs::task_key, std::uint64_t> running_;
    std::deque<run_end> ended_;
    std::uint64_t next_end_ = 1;
    // Calls reach it in the order in which they were made.
    std::deque<std::function<void()>> calls_;
    std::deque<std::function<void()>> answers_;
    // The ends, by life and number, in reports that the leader received.
    std::set<std::pair<std::int64_t, std::uint64_t>> read_;
    int jobs_ = 0;
    int restarts_ = 0;
    int acknowledged_ = 0;
    int acknowledged_unread_ = 0;
};

} // namespace

class worker_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_restart_test);
    CPPUNIT_TEST(start_in_flight_withholds_acknowledgement);
    CPPUNIT_TEST(start_without_answer_withholds_acknowledgement_until_listed);
    CPPUNIT_TEST(start_answered_by_new_life_withholds_acknowledgement);
    CPPUNIT_TEST(start_answered_by_new_life_with_later_clock_is_noticed);
    CPPUNIT_TEST(start_answered_by_same_life_allows_acknowledgement);
    CPPUNIT_TEST(start_is_awaited_until_outcome_listing_or_stop);
    CPPUNIT_TEST(stopped_start_without_answer_withholds_acknowledgement);
    CPPUNIT_TEST(acknowledgement_never_reaches_ends_of_another_life);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_in_flight_withholds_acknowledgement()
    {
        stored_end_fixture f;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.fleet_.acknowledged(w));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.fleet_.stored_ends(w));
        f.finish_start(order_outcome::no_room);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.fleet_.acknowledged(w));
    }

    void start_without_answer_withholds_acknowledgement_until_listed()
    {
        stored_end_fixture f;
        f.finish_start(order_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.fleet_.acknowledged(w));
        f.advance(milliseconds(10));
        f.report("w", {running(f.starts[1].task, f.starts[1].run)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.fleet_.acknowledged(w));
    }

    void start_answered_by_new_life_withholds_acknowledgement()
    {
        stored_end_fixture f;
        const base::time_point sent = f.now_;
        f.advance(milliseconds(20));
        CPPUNIT_ASSERT(f.fleet_.on_clock(w, milliseconds(700), sent, f.now_));
        f.finish_start(order_outcome::carried_out);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.fleet_.acknowledged(w));
        f.advance(milliseconds(10));
        f.report("w", {},
                 {end_of(1, f.starts[1].task, f.starts[1].run, end_kind::done)},
                 2);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.fleet_.acknowledged(w));
        f.save_all();
        f.report("w", {}, {}, 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.fleet_.acknowledged(w));
    }

    // Guards against ends of a new life that are acknowledged unread: its clock
    // starts later than that of the former one.
    void start_answered_by_new_life_with_later_clock_is_noticed()
    {
        stored_end_fixture f;
        const base::time_point sent = f.now_;
        f.advance(milliseconds(20));
        CPPUNIT_ASSERT(
            f.fleet_.on_clock(w, f.clock() + milliseconds(700), sent, f.now_));
        f.finish_start(order_outcome::carried_out);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.fleet_.acknowledged(w));
    }

    void start_answered_by_same_life_allows_acknowledgement()
    {
        stored_end_fixture f;
        const base::time_point sent = f.now_;
        f.advance(milliseconds(20));
        // The clock of the worker may be 2% slow.
        CPPUNIT_ASSERT(
            !f.fleet_.on_clock(w, f.clock() - milliseconds(20), sent, f.now_));
        f.finish_start(order_outcome::carried_out);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, f.fleet_.acknowledged(w));
    }

    // A start is repeated only while nothing is known of it.
    void start_is_awaited_until_outcome_listing_or_stop()
    {
        const auto awaited = [](stored_end_fixture& f)
        {
            return f.fleet_.awaits_start(w, f.starts[1].task, f.starts[1].run);
        };
        stored_end_fixture answered;
        CPPUNIT_ASSERT(awaited(answered));
        answered.finish_start(order_outcome::carried_out);
        CPPUNIT_ASSERT(!awaited(answered));

        stored_end_fixture ended;
        ended.advance(milliseconds(50));
        ended.report("w", {},
                     {end_of(2, ended.starts[1].task, ended.starts[1].run,
                             end_kind::done)});
        CPPUNIT_ASSERT(!awaited(ended));

        stored_end_fixture listed;
        listed.advance(milliseconds(50));
        listed.report("w",
                      {running(listed.starts[1].task, listed.starts[1].run)});
        CPPUNIT_ASSERT(!awaited(listed));

        stored_end_fixture stopped;
        stopped.fleet_.cancel_job(base::job_id("second"), stopped.now_);
        stopped.run_round();
        CPPUNIT_ASSERT(!awaited(stopped));
    }

    // The answer to the start is lost after the run was to be stopped.
    void stopped_start_without_answer_withholds_acknowledgement()
    {
        stored_end_fixture f;
        f.fleet_.cancel_job(base::job_id("second"), f.now_);
        f.run_round();
        f.finish_start(order_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.fleet_.acknowledged(w));
    }

    // Random calls, losses and restarts. The seed of a failure is printed.
    void acknowledgement_never_reaches_ends_of_another_life()
    {
        constexpr std::uint64_t seeds = 400;
        constexpr std::uint64_t seeds_from_zero = 200;
        int restarts = 0;
        int acknowledged = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            restarting_worker both(seed, seed > seeds_from_zero);
            both.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), 0,
                                         both.acknowledged_unread());
            restarts += both.restarts();
            acknowledged += both.acknowledged();
        }
        // The runs must exercise both sides.
        CPPUNIT_ASSERT_GREATER(1000, restarts);
        CPPUNIT_ASSERT_GREATER(1000, acknowledged);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_restart_test);

} // namespace coltsfootrack::fleet
