#ifndef COLTSFOOTRACK_TEST_CELL_LEADERSHIP_WORLD_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CELL_LEADERSHIP_WORLD_HPP_INCLUDED

#include "naive_store.hpp"

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/cell/leadership.hpp>

#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace coltsfootrack::cell
{

// A leadership on a control thread of its own, with a store in memory and
// workers that answer at once, or not at all. One queue "q" on one service;
// a worker's row holds nothing, its key is its id.
class leadership_world
{
public:
    static constexpr std::size_t parts = 2;

    explicit leadership_world(std::uint64_t epoch,
                              const cell_options& options = {});
    ~leadership_world();

    leadership_world(const leadership_world&) = delete;
    leadership_world& operator=(const leadership_world&) = delete;

    // To be called before begin(), or inside run().
    void add_worker(const std::string& id, bool answers);
    void put_job(const std::string& id, std::uint64_t leader_epoch);

    // The stored progress of a job that is completed.
    void put_completed(const std::string& id);

    // Waits until the store has none of the rows of a job, at most for the
    // span.
    bool removed(const std::string& job, std::chrono::milliseconds limit);

    void begin();

    // Runs a function on the control thread and waits for it.
    template <class Action>
    void run(Action action)
    {
        std::promise<void> done;
        loop_.post(
            [&]
            {
                action();
                done.set_value();
            });
        done.get_future().wait();
    }

    // Hands the row of a job in as a peer that has stored it would.
    void send_job(const std::string& id, std::uint64_t leader_epoch);

    // Waits until a job has been started, at most for the span.
    bool started(const std::string& job, std::chrono::milliseconds limit);

    // Waits until the leadership was lost, at most for the span.
    bool lost(std::chrono::milliseconds limit);

    bool wait_loaded(std::chrono::milliseconds limit);

    // The tasks of each job, and what becomes of each start. To be called
    // before begin().
    void set_tasks(int tasks)
    {
        tasks_ = tasks;
    }

    void set_start_outcome(fleet::order_outcome outcome)
    {
        start_outcome_ = outcome;
    }

    // Whether the store's list of workers counts as complete; it does unless
    // told otherwise. To be called before begin(), or inside run().
    void set_list_settled(bool settled)
    {
        list_settled_ = settled;
    }

    // Whether the leader reaches neither the store nor most of the cell. To be
    // called before begin(), or inside run().
    void set_isolated(bool isolated)
    {
        isolated_ = isolated;
    }

    // Leases granted by renewals so far. To be called inside run().
    int leases() const
    {
        return leases_;
    }

    // Whether the list of workers can be read from the store. To be called
    // before begin(), or inside run().
    void set_list_readable(bool readable)
    {
        list_readable_ = readable;
    }

private:
    template <class Holds>
    bool wait_for(Holds holds, std::chrono::milliseconds limit);
    ports make_ports();
    void answer_follow(const std::string& table, std::uint64_t after,
                       int attempts, store_port::read_callback done);
    void commit();
    std::string job_row(std::uint64_t leader_epoch) const;

    base::system_clock clock_;
    row_layout layout_;
    daemon::control_loop loop_;
    daemon::metrics metrics_;
    naive_store store_;
    std::set<std::string> silent_;
    std::vector<fleet::start_order> starts_;
    int tasks_ = 1;
    fleet::order_outcome start_outcome_ = fleet::order_outcome::carried_out;
    bool lost_ = false;
    bool list_settled_ = true;
    bool list_readable_ = true;
    bool isolated_ = false;
    int leases_ = 0;
    ports outside_;
    std::vector<row_committer> committers_;
    std::unique_ptr<leadership> leadership_;
    std::thread thread_;
};

} // namespace coltsfootrack::cell

#endif
