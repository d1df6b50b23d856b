// Guards against ticket requests that name the wrong workers, so that a gang
// waits although workers are free for it.

#include "fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

// A service of 40 workers with two slots each, which requires tickets.
class ticket_fixture : public fleet_fixture
{
public:
    static constexpr int workers = 40;

    ticket_fixture()
    {
        ticket_policy policy;
        policy.decide_time = milliseconds(100);
        policy.valid_for = milliseconds(2000);
        queue_.tickets = policy;
        apply();
        for (int i = 0; i < workers; ++i)
        {
            add_worker(name(i), 2000, "r" + std::to_string(i / 8));
            report(name(i));
        }
    }

    static std::string name(int number)
    {
        return "w" + std::to_string(100 + number);
    }

    static jobs::step_spec gang(int tasks)
    {
        jobs::step_spec made = step(tasks, 1000);
        made.gang = true;
        return made;
    }

    // Answers the last request: the `eligible` workers may run the step.
    void answer(const std::set<std::string>& eligible)
    {
        const ticket_order asked = asks.back();
        std::vector<ticket_grant> grants;
        for (const base::worker_id& id : asked.workers)
        {
            if (eligible.count(id.text()) != 0)
            {
                grants.push_back({id, "ticket"});
            }
        }
        fleet_.on_tickets(asked.step, asked.workers, grants,
                          now_ + asked.valid_for);
    }

    // Fills every slot of a worker with runs of another job.
    void fill(const std::string& worker)
    {
        report(worker, {{task("other" + worker, 0), 1, "", 10, 0},
                        {task("other" + worker, 1), 1, "", 10, 0}});
    }
};

} // namespace

class ticket_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ticket_test);
    CPPUNIT_TEST(gang_few_eligible_workers_asks_for_others);
    CPPUNIT_TEST(gang_eligible_workers_partly_full_asks_for_others);
    CPPUNIT_TEST(gang_enough_eligible_workers_renews_only_those);
    CPPUNIT_TEST(gang_every_worker_refused_asks_no_more);
    CPPUNIT_TEST_SUITE_END();

public:
    // A gang on a service where few workers may run it. Guards against a gang
    // that never starts although workers are free, because only those known to
    // be eligible were named again.
    void gang_few_eligible_workers_asks_for_others()
    {
        ticket_fixture f;
        f.add_job("gang", {ticket_fixture::gang(5)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.asks.size());
        const std::set<std::string> eligible{"w100", "w101", "w139"};
        f.answer(eligible);
        f.advance(milliseconds(100));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.asks.size());
        CPPUNIT_ASSERT(named(f, "w139"));
        f.answer(eligible);
        f.advance(milliseconds(100));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), f.starts.size());
    }

    void gang_eligible_workers_partly_full_asks_for_others()
    {
        ticket_fixture f;
        const std::set<std::string> eligible{"w100", "w101", "w102", "w139"};
        f.add_job("gang", {ticket_fixture::gang(6)});
        f.run_round();
        f.answer(eligible);
        // Takes two of the six slots before the gang can start.
        f.add_job("otherw101", {ticket_fixture::step(2, 1000)});
        f.fill("w101");
        f.advance(milliseconds(100));
        f.run_round();
        CPPUNIT_ASSERT(named(f, "w139"));
    }

    void gang_enough_eligible_workers_renews_only_those()
    {
        ticket_fixture f;
        std::set<std::string> eligible;
        for (int i = 0; i < 10; ++i)
        {
            eligible.insert(ticket_fixture::name(i));
        }
        for (int i = 0; i < ticket_fixture::workers; ++i)
        {
            f.add_job("other" + ticket_fixture::name(i),
                      {ticket_fixture::step(2, 1000)});
            f.fill(ticket_fixture::name(i));
        }
        f.add_job("gang", {ticket_fixture::gang(4)});
        f.run_round();
        f.answer(eligible);
        f.advance(milliseconds(2100));
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        const auto& asked = f.asks.back().workers;
        CPPUNIT_ASSERT(asked.size() <= 10);
        CPPUNIT_ASSERT(std::all_of(asked.begin(), asked.end(),
                                   [&](const base::worker_id& id)
                                   { return eligible.count(id.text()) != 0; }));
    }

    void gang_every_worker_refused_asks_no_more()
    {
        ticket_fixture f;
        f.add_job("gang", {ticket_fixture::gang(3)});
        for (int i = 0; i < 4; ++i)
        {
            f.run_round();
            if (!f.asks.empty())
            {
                f.answer({});
            }
            f.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.asks.size());
    }

private:
    static bool named(const ticket_fixture& f, const std::string& worker)
    {
        const auto& asked = f.asks.back().workers;
        return std::any_of(asked.begin(), asked.end(),
                           [&](const base::worker_id& id)
                           { return id.text() == worker; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ticket_test);

} // namespace coltsfootrack::fleet
