#ifndef COLTSFOOTRACK_TEST_STORE_OUTCOME_RECORDER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STORE_OUTCOME_RECORDER_HPP_INCLUDED

#include <coltsfootrack/store/table_client.hpp>

#include <chrono>
#include <condition_variable>
#include <cppunit/TestAssert.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfootrack::store
{

// Records the hook calls and the outcomes, in order of arrival.
class outcome_recorder
{
public:
    table_hooks hooks()
    {
        table_hooks made;
        made.on_renewal = [this](base::time_point)
        {
            change([this] { ++renewals; });
        };
        made.on_fenced = [this]
        {
            change([this] { ++fencings; });
        };
        return made;
    }

    table_client::commit_callback outcome_of(const std::string& key)
    {
        return [this, key](const commit_outcome& outcome)
        {
            change([&] { outcomes[key].push_back(outcome); });
        };
    }

    template <class Condition>
    void wait_until(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        CPPUNIT_ASSERT(
            changed_.wait_for(lock, std::chrono::seconds(20), condition));
    }

    int renewals = 0;
    int fencings = 0;
    std::map<std::string, std::vector<commit_outcome>> outcomes;

private:
    template <class Change>
    void change(Change apply)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        apply();
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
};

} // namespace coltsfootrack::store

#endif
