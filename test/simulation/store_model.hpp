#ifndef COLTSFOOTRACK_TEST_SIMULATION_STORE_MODEL_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SIMULATION_STORE_MODEL_HPP_INCLUDED

#include "cell/fake_store.hpp"
#include "simulation/virtual_time.hpp"

#include <coltsfootrack/cell/store_port.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace coltsfootrack::simulation
{

// The platform's store: linearizable, with delays and the faults that the
// platform allows. A call that gets no answer may be applied, at once or
// seconds later, or never.
class store_model
{
public:
    explicit store_model(virtual_time& time)
        : time_(time)
    {
    }

    // The port of one life of a daemon, which gets no callbacks after `alive`
    // has expired.
    cell::store_port port(const std::string& daemon, std::weak_ptr<bool> alive);

    cell::stored_row read(const cell::row_id& id) const
    {
        return rows_.read(id);
    }

    // Writes of the platform itself.
    void put(const cell::row_id& id, const std::string& value);
    void remove(const cell::row_id& id);

    // The percentage of calls whose answer is lost, and of those that are
    // applied late in that case.
    int lost_percent = 0;
    int late_percent = 0;
    // Added to each call.
    milliseconds slowness{0};
    // The store answers nobody, or none of these.
    bool down = false;
    std::set<std::string> refused;

private:
    struct waiter
    {
        std::string table;
        std::uint64_t after = 0;
        std::function<void(cell::read_result)> done;
    };

    bool refuses(const std::string& daemon) const
    {
        return down || refused.count(daemon) > 0;
    }

    milliseconds delay();
    cell::transaction_result apply(const cell::transaction& value);
    void notify();
    cell::read_result changes(const std::string& table,
                              std::uint64_t after) const;
    cell::read_result page(const std::string& table, const std::string& part,
                           const std::string& from, std::size_t limit) const;
    // Answers a call after its way through the network, unless it is lost.
    template <class Result>
    void answer(const std::string& daemon, std::function<Result()> execute,
                std::function<void(Result)> done, milliseconds timeout);

    virtual_time& time_;
    cell::fake_store rows_;
    std::map<cell::row_id, std::uint64_t> removed_;
    std::map<std::uint64_t, waiter> waiters_;
    std::uint64_t next_waiter_ = 0;
};

} // namespace coltsfootrack::simulation

#endif
