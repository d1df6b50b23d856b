// Tests of worker leases: the agent calls a worker that is an HTTP server in
// the same process, with a manual clock.

#include <coltsfootrack/base/manual_clock.hpp>
#include <coltsfootrack/daemon/worker_agent.hpp>
#include <coltsfootrack/http/json_response.hpp>
#include <coltsfootrack/http/server.hpp>

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <thread>

namespace coltsfootrack::daemon
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class worker_agent_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_agent_test);
    CPPUNIT_TEST(renewal_names_the_last_answer);
    CPPUNIT_TEST(worker_without_answers_lapses_after_lease_and_margin);
    CPPUNIT_TEST(owner_without_lease_sends_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        http::server_options options;
        auto started = http::server::start(
            options, [this](const http::request& r) { return serve(r); });
        CPPUNIT_ASSERT(started.ok());
        server_ = *std::move(started);
        context_ = std::make_unique<agent_context>(
            agent_context{settings_, clock_, base::seeded_random(1), loop_,
                          metrics_, published_, store_, calls_});
        worker_agent::events events;
        events.on_adopted =
            [this](const store::vm_entry&, const std::vector<running_task>&)
        {
            ++adopted_;
        };
        events.on_unresponsive = [](const base::worker_id&) {
        };
        events.on_lapsed = [this](const base::worker_id&)
        {
            ++lapsed_;
        };
        events.on_result = [](const base::worker_id&, const running_task&,
                              const std::string&, const std::string&) {
        };
        events.on_usage = [](const running_task&) {
        };
        agent_ = std::make_shared<worker_agent>(
            *context_, 7,
            [this]() -> std::optional<base::time_point>
            {
                if (!acting_)
                {
                    return std::nullopt;
                }
                return clock_.now() + seconds(5);
            },
            events);
        store::vm_entry vm;
        vm.name = "w1";
        vm.address = "127.0.0.1:" + std::to_string(server_->port());
        vm.capacity = {4000, 8192, 0};
        agent_->set_workers({vm});
        control_ = std::thread([this] { loop_.run(); });
    }

    void tearDown() override
    {
        loop_.stop();
        control_.join();
        server_->stop();
        agent_.reset();
    }

    // Guards against a delayed renewal that extends a lease: the worker detects
    // the delay only by the time that the renewal names.
    void renewal_names_the_last_answer()
    {
        CPPUNIT_ASSERT(step_until([this] { return renewals() >= 3; }));
        const std::lock_guard<std::mutex> lock(mutex_);
        for (std::size_t i = 0; i < answer_times_.size(); ++i)
        {
            // Answer 0 is the adoption, answer n the nth renewal.
            CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(1000 + i),
                                 answer_times_[i]);
        }
    }

    // Guards against starting tasks elsewhere while the worker's lease may
    // still be valid, and against a lease that never lapses.
    void worker_without_answers_lapses_after_lease_and_margin()
    {
        CPPUNIT_ASSERT(step_until([this] { return renewals() >= 1; }));
        server_->stop();
        clock_.advance(milliseconds(31900));
        for (int i = 0; i < 20; ++i)
        {
            step_once();
        }
        CPPUNIT_ASSERT_EQUAL(0, lapsed_.load());
        CPPUNIT_ASSERT(step_until([this] { return lapsed_ == 1; }));
    }

    // Guards against calls by an owner whose lease has ended.
    void owner_without_lease_sends_nothing()
    {
        acting_ = false;
        for (int i = 0; i < 20; ++i)
        {
            step_once();
        }
        CPPUNIT_ASSERT_EQUAL(0, served_.load());
        CPPUNIT_ASSERT_EQUAL(0, adopted_.load());
    }

private:
    http::response serve(const http::request& message)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++served_;
        const std::int64_t answer = next_answer_++;
        if (message.path == "/v1/sync")
        {
            answer_times_.push_back(nlohmann::json::parse(message.body)
                                        .at("answered_at_ms")
                                        .get<std::int64_t>());
        }
        return http::json_response(200, {{"epoch", 7},
                                         {"answered_at_ms", answer},
                                         {"running", nlohmann::json::array()},
                                         {"results", nlohmann::json::array()}});
    }

    std::size_t renewals()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return answer_times_.size();
    }

    void step_once()
    {
        loop_.post([this] { agent_->step(); });
        std::this_thread::sleep_for(milliseconds(5));
    }

    // Steps, 50 ms of the manual clock apart, until the condition holds.
    bool step_until(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 4000; ++i)
        {
            if (condition())
            {
                return true;
            }
            step_once();
            clock_.advance(milliseconds(50));
        }
        return false;
    }

    config::daemon_settings settings_;
    base::manual_clock clock_;
    control_loop loop_{clock_, 1000};
    metrics metrics_;
    published_state published_;
    store_session store_{settings_, clock_, loop_, {}};
    call_pool calls_{clock_, loop_, 2};
    std::unique_ptr<agent_context> context_;
    std::unique_ptr<http::server> server_;
    std::shared_ptr<worker_agent> agent_;
    std::thread control_;
    std::mutex mutex_;
    std::vector<std::int64_t> answer_times_;
    std::int64_t next_answer_ = 1000;
    std::atomic<int> served_{0};
    std::atomic<int> adopted_{0};
    std::atomic<int> lapsed_{0};
    std::atomic<bool> acting_{true};
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_test);

} // namespace coltsfootrack::daemon
