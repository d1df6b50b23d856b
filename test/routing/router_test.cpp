// Tests of router: safety against a simple model under random events, the
// order of zones, leaving runners, suspected runners and slot leases.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/routing/router.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <thread>

namespace coltsfootrack::routing
{
namespace
{

using base::error_kind;
using base::runner_id;

const base::service_id service("s");
const base::time_point start = base::time_point(std::chrono::hours(1));

router_options options_of(slot_strategy strategy)
{
    router_options options;
    options.zone = base::zone_id("a1");
    options.region = base::region_id("a");
    options.strategy = strategy;
    return options;
}

// The zone a1 is the own zone, a2 is in the own region, b1 in the other one.
runner runner_of(const std::string& name, const std::string& zone,
                 std::uint32_t slots = 2,
                 runner_state state = runner_state::live)
{
    return {runner_id(name),
            base::zone_id(zone),
            base::region_id(zone.substr(0, 1)),
            name + ":1",
            slots,
            state};
}

error_kind kind_of(const absl::StatusOr<attempt>& result)
{
    return base::kind_of(result.status());
}

// One runner in the model.
struct model_runner
{
    runner info;
    int in_flight = 0;
    bool listed = false;
};

// A model of the router: the listed runners and the attempts in flight.
struct model
{
    std::map<runner_id, model_runner> runners;
    std::vector<attempt> open;
    std::set<std::string> ids;

    bool has_free_live(const std::vector<runner_id>& excluded) const
    {
        for (const auto& [id, each] : runners)
        {
            if (each.listed && each.info.state == runner_state::live &&
                each.in_flight < static_cast<int>(each.info.slots) &&
                std::find(excluded.begin(), excluded.end(), id) ==
                    excluded.end())
            {
                return true;
            }
        }
        return false;
    }
};

} // namespace

class router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(pick_random_events_safe_against_model);
    CPPUNIT_TEST(pick_nearer_runners_first);
    CPPUNIT_TEST(pick_cross_region_attempts_bounded);
    CPPUNIT_TEST(pick_leaving_runner_never_chosen);
    CPPUNIT_TEST(pick_refused_leaving_held_back);
    CPPUNIT_TEST(pick_failing_runner_suspected_and_probed);
    CPPUNIT_TEST(pick_full_view_expires);
    CPPUNIT_TEST(pick_high_average_expires);
    CPPUNIT_TEST(pick_least_loaded_takes_freest);
    CPPUNIT_TEST(slot_leases_are_disjoint_and_complete);
    CPPUNIT_TEST(complete_twice_or_foreign_has_no_effect);
    CPPUNIT_TEST(pick_and_complete_from_many_threads);
    CPPUNIT_TEST_SUITE_END();

    static void set_list(router& choice, model& state, base::time_point now)
    {
        std::vector<runner> list;
        for (auto& [id, each] : state.runners)
        {
            each.listed = false;
        }
        const int count = *rc::gen::inRange(0, 7);
        for (int i = 0; i < count; ++i)
        {
            const std::string name =
                "r" + std::to_string(*rc::gen::inRange(0, 8));
            const runner value = runner_of(
                name, *rc::gen::element<std::string>("a1", "a2", "b1"),
                *rc::gen::inRange(0U, 4U),
                *rc::gen::inRange(0, 3) == 0 ? runner_state::leaving
                                             : runner_state::live);
            model_runner& known = state.runners[value.id];
            if (!known.listed)
            {
                known.listed = true;
                known.info = value;
            }
            list.push_back(value);
        }
        choice.set_runners(service, list, now);
    }

    static void pick_one(router& choice, model& state, bool must_find,
                         base::time_point now)
    {
        std::vector<runner_id> excluded;
        if (*rc::gen::arbitrary<bool>())
        {
            excluded.emplace_back("r" +
                                  std::to_string(*rc::gen::inRange(0, 8)));
        }
        const auto chosen = choice.pick(service, excluded, now);
        if (!chosen.ok())
        {
            RC_ASSERT((!must_find || !state.has_free_live(excluded)));
            return;
        }
        model_runner& known = state.runners[chosen->runner];
        RC_ASSERT(known.listed);
        RC_ASSERT(known.info.state == runner_state::live);
        RC_ASSERT(known.info.address == chosen->address);
        RC_ASSERT(std::find(excluded.begin(), excluded.end(), chosen->runner) ==
                  excluded.end());
        RC_ASSERT(++known.in_flight <= static_cast<int>(known.info.slots));
        RC_ASSERT(state.ids.insert(chosen->id).second);
        state.open.push_back(*chosen);
    }

    static void complete_one(router& choice, model& state, base::time_point now)
    {
        if (state.open.empty())
        {
            return;
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, state.open.size());
        const attempt done = state.open[index];
        state.open.erase(state.open.begin() +
                         static_cast<std::ptrdiff_t>(index));
        --state.runners[done.runner].in_flight;
        choice.complete(done,
                        *rc::gen::element(attempt_outcome::nothing_sent,
                                          attempt_outcome::refused_full,
                                          attempt_outcome::timed_out,
                                          attempt_outcome::truncated,
                                          attempt_outcome::complete),
                        *rc::gen::inRange(0U, 4U), now);
        RC_ASSERT(choice.in_flight() == state.open.size());
    }

    static std::vector<attempt> take_all(router& choice, base::time_point now)
    {
        std::vector<attempt> taken;
        for (auto next = choice.pick(service, {}, now); next.ok();
             next = choice.pick(service, {}, now))
        {
            taken.push_back(*next);
        }
        return taken;
    }

public:
    // Guards against attempts on a leaving or unknown runner and against more
    // attempts than slots. Until the first completion brings a report or a
    // failure, a free runner must also be found.
    void pick_random_events_safe_against_model()
    {
        for (const auto strategy :
             {slot_strategy::least_loaded, slot_strategy::power_of_two,
              slot_strategy::slot_leases, slot_strategy::random_choice})
        {
            CPPUNIT_ASSERT(rc::check(
                [&]
                {
                    router choice(options_of(strategy), base::seeded_random(1));
                    model state;
                    base::time_point now = start;
                    bool completed = false;
                    set_list(choice, state, now);
                    for (int i = 0; i < 60; ++i)
                    {
                        now += std::chrono::milliseconds(
                            *rc::gen::inRange(0, 100));
                        const int action = *rc::gen::inRange(0, 10);
                        if (action == 0)
                        {
                            set_list(choice, state, now);
                        }
                        else if (action < 7)
                        {
                            pick_one(choice, state, !completed, now);
                        }
                        else
                        {
                            complete_one(choice, state, now);
                            completed = true;
                        }
                    }
                }));
        }
    }

    // Guards against requests over the paid link between regions while nearer
    // runners have free slots.
    void pick_nearer_runners_first()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        choice.set_runners(service,
                           {runner_of("x", "b1", 9), runner_of("y", "a2", 3),
                            runner_of("z", "a1", 2)},
                           start);
        std::string order;
        for (const attempt& each : take_all(choice, start))
        {
            order += each.runner.text();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("zzyyyxxxxxxxxx"), order);
        CPPUNIT_ASSERT(kind_of(choice.pick(service, {}, start)) ==
                       error_kind::upstream_full);
    }

    void pick_cross_region_attempts_bounded()
    {
        auto options = options_of(slot_strategy::least_loaded);
        options.max_cross_region_attempts = 3;
        router choice(options, base::seeded_random(1));
        choice.set_runners(service, {runner_of("x", "b1", 9)}, start);
        const auto taken = take_all(choice, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), taken.size());
        choice.complete(taken[0], attempt_outcome::complete, {}, start);
        CPPUNIT_ASSERT(choice.pick(service, {}, start).ok());
    }

    void pick_leaving_runner_never_chosen()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        CPPUNIT_ASSERT(kind_of(choice.pick(service, {}, start)) ==
                       error_kind::no_upstream);
        choice.set_runners(service, {runner_of("x", "a1")}, start);
        CPPUNIT_ASSERT(choice.pick(service, {}, start).ok());
        CPPUNIT_ASSERT(kind_of(choice.pick(service, {runner_id("x")}, start)) ==
                       error_kind::upstream_unreachable);
        choice.set_runners(
            service, {runner_of("x", "a1", 2, runner_state::leaving)}, start);
        CPPUNIT_ASSERT(kind_of(choice.pick(service, {}, start)) ==
                       error_kind::no_upstream);
    }

    // Guards against an outdated list that makes a leaving runner live again.
    void pick_refused_leaving_held_back()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        choice.set_runners(service, {runner_of("x", "a1")}, start);
        const auto sent = choice.pick(service, {}, start);
        choice.complete(*sent, attempt_outcome::refused_leaving, {}, start);
        choice.set_runners(service, {runner_of("x", "a1")}, start);
        const auto hold = router_options().leaving_hold;
        const auto before = start + hold - std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(!choice.pick(service, {}, before).ok());
        CPPUNIT_ASSERT(choice.pick(service, {}, start + hold).ok());
    }

    void pick_failing_runner_suspected_and_probed()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        choice.set_runners(
            service, {runner_of("x", "a1", 8), runner_of("y", "a2", 8)}, start);
        auto now = start;
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(!choice.suspected(service, runner_id("x")));
            const auto sent = choice.pick(service, {}, now);
            CPPUNIT_ASSERT(sent->runner == runner_id("x"));
            choice.complete(*sent, attempt_outcome::nothing_sent, {}, now);
        }
        CPPUNIT_ASSERT(choice.suspected(service, runner_id("x")));
        CPPUNIT_ASSERT(choice.pick(service, {}, now)->runner == runner_id("y"));
        const auto first = router_options().probe_pause;
        // Each failed probe doubles the pause, up to max_probe_pause.
        for (int i = 0; i < 8; ++i)
        {
            const auto pause =
                std::min(first * (1 << i), router_options().max_probe_pause);
            const auto early = now + pause - std::chrono::milliseconds(1);
            auto other = choice.pick(service, {}, early);
            CPPUNIT_ASSERT(other->runner == runner_id("y"));
            choice.complete(*other, attempt_outcome::complete, 8, early);
            now += pause;
            const auto probe = choice.pick(service, {}, now);
            CPPUNIT_ASSERT(probe->runner == runner_id("x") && probe->probe);
            // Only one probe at a time.
            other = choice.pick(service, {}, now);
            CPPUNIT_ASSERT(other->runner == runner_id("y"));
            choice.complete(*other, attempt_outcome::complete, 8, now);
            choice.complete(*probe, attempt_outcome::nothing_sent, {}, now);
        }
        now += router_options().max_probe_pause;
        const auto probe = choice.pick(service, {}, now);
        CPPUNIT_ASSERT(probe->probe);
        choice.complete(*probe, attempt_outcome::complete, 8, now);
        CPPUNIT_ASSERT(!choice.suspected(service, runner_id("x")));
        CPPUNIT_ASSERT(choice.pick(service, {}, now)->runner == runner_id("x"));
    }

    // Guards against a service that stays full in the view for ever: without
    // attempts there are no new reports.
    void pick_full_view_expires()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        choice.set_runners(service, {runner_of("x", "a1", 8)}, start);
        auto now = start;
        for (int i = 0; i < 5000; ++i)
        {
            const auto sent = choice.pick(service, {}, now);
            if (sent.ok())
            {
                choice.complete(*sent, attempt_outcome::refused_full, 0, now);
                CPPUNIT_ASSERT(kind_of(choice.pick(service, {}, now)) ==
                               error_kind::upstream_full);
                now += 2 * router_options().view_lifetime;
            }
            CPPUNIT_ASSERT(sent.ok());
        }
    }

    // Guards against a runner that stays full in the view because the average
    // over other, full runners is applied to it while it has no reports.
    void pick_high_average_expires()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        choice.set_runners(service, {runner_of("x", "a1", 8)}, start);
        for (int i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(choice.pick(service, {}, start).ok());
        }
        const auto both = {runner_of("x", "a1", 8), runner_of("y", "a1", 8)};
        choice.set_runners(service, both, start);
        const auto lifetime = router_options().view_lifetime;
        auto now = start;
        for (int i = 0; i < 1000; ++i)
        {
            now += 2 * lifetime;
            const auto sent = choice.pick(service, {runner_id("x")}, now);
            CPPUNIT_ASSERT(sent.ok());
            choice.complete(*sent, attempt_outcome::refused_full, 0, now);
        }
        choice.set_runners(service, {runner_of("x", "a1", 8)}, now);
        const auto sent = choice.pick(service, {}, now);
        CPPUNIT_ASSERT(sent.ok());
        choice.complete(*sent, attempt_outcome::refused_full, 0, now);
        CPPUNIT_ASSERT(!choice.pick(service, {}, now + lifetime).ok());
        CPPUNIT_ASSERT(choice.pick(service, {}, now + 2 * lifetime).ok());
    }

    void pick_least_loaded_takes_freest()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        choice.set_runners(
            service, {runner_of("x", "a1", 8), runner_of("y", "a1", 8)}, start);
        const auto first = choice.pick(service, {}, start);
        const auto second = choice.pick(service, {}, start);
        CPPUNIT_ASSERT(first->runner != second->runner);
        choice.complete(*first, attempt_outcome::complete, 2, start);
        choice.complete(*second, attempt_outcome::complete, 6, start);
        for (int i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(choice.pick(service, {}, start)->runner ==
                           second->runner);
        }
    }

    // Guards against daemons that together use more slots than a runner has.
    void slot_leases_are_disjoint_and_complete()
    {
        std::vector<runner> list;
        for (std::uint32_t i = 0; i < 7; ++i)
        {
            list.push_back(runner_of("r" + std::to_string(i),
                                     i % 2 == 0 ? "a1" : "a2", i + 1));
        }
        std::map<runner_id, std::uint32_t> used;
        std::size_t least = 100;
        std::size_t most = 0;
        for (std::uint32_t rank = 0; rank < 3; ++rank)
        {
            router choice(options_of(slot_strategy::slot_leases),
                          base::seeded_random(1));
            choice.set_runners(service, list, start);
            choice.set_daemons(rank, 3);
            const auto taken = take_all(choice, start);
            for (const attempt& each : taken)
            {
                ++used[each.runner];
            }
            least = std::min(least, taken.size());
            most = std::max(most, taken.size());
        }
        for (const runner& each : list)
        {
            CPPUNIT_ASSERT_EQUAL(each.slots, used[each.id]);
        }
        CPPUNIT_ASSERT(most - least <= 1);
    }

    void complete_twice_or_foreign_has_no_effect()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        choice.set_runners(service, {runner_of("x", "a1", 2)}, start);
        const auto taken = take_all(choice, start);
        attempt foreign = taken[1];
        foreign.id = "other";
        choice.complete(foreign, attempt_outcome::complete, 2, start);
        choice.complete(taken[0], attempt_outcome::complete, {}, start);
        choice.complete(taken[0], attempt_outcome::complete, {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), choice.in_flight());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take_all(choice, start).size());
    }

    void pick_and_complete_from_many_threads()
    {
        router choice(options_of(slot_strategy::least_loaded),
                      base::seeded_random(1));
        std::vector<runner> list;
        list.reserve(5);
        for (int i = 0; i < 5; ++i)
        {
            list.push_back(runner_of("r" + std::to_string(i), "a1", 4));
        }
        choice.set_runners(service, list, start);
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i)
        {
            threads.emplace_back(
                [&]
                {
                    for (int n = 0; n < 2000; ++n)
                    {
                        const auto sent = choice.pick(service, {}, start);
                        if (n % 100 == 0)
                        {
                            choice.set_runners(service, list, start);
                        }
                        if (sent.ok())
                        {
                            choice.complete(*sent, attempt_outcome::complete,
                                            {}, start);
                        }
                    }
                });
        }
        for (std::thread& each : threads)
        {
            each.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), choice.in_flight());
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), take_all(choice, start).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_test);

} // namespace coltsfootrack::routing
