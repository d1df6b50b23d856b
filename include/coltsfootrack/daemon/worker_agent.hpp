#ifndef COLTSFOOTRACK_DAEMON_WORKER_AGENT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_WORKER_AGENT_HPP_INCLUDED

#include <coltsfootrack/base/task_id.hpp>
#include <coltsfootrack/daemon/agent_context.hpp>
#include <coltsfootrack/daemon/running_task.hpp>
#include <coltsfootrack/store/vm_entry.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::daemon
{

// Calls the workers of a zone under one epoch: adoption, lease renewal and
// commands.
//
// A worker is adopted first; its answer lists the tasks that it runs. Then its
// lease is renewed every 10 s and with each batch of commands. A renewal names
// the time of the worker's last answer, from which the worker counts the lease.
// So neither an unanswered nor a delayed renewal extends the lease beyond the
// last answer known here, plus its length. After that time and a margin the
// tasks of a worker that does not answer have certainly ended, and on_lapsed is
// called.
//
// Each worker has at most one call in flight. Commands are retried until they
// are answered; the worker executes each token once.
//
// Thread safety: control thread only. Calls in flight keep the object alive.
class worker_agent : public std::enable_shared_from_this<worker_agent>
{
public:
    struct events
    {
        // The worker answered an adoption: it runs these tasks and no others.
        std::function<void(const store::vm_entry&,
                           const std::vector<running_task>&)>
            on_adopted;
        // The worker has not answered for 5 s.
        std::function<void(const base::worker_id&)> on_unresponsive;
        // The worker's lease has ended: nothing runs on it any more.
        std::function<void(const base::worker_id&)> on_lapsed;
        // The worker answered a command with this status.
        std::function<void(const base::worker_id&, const running_task&,
                           const std::string& type, const std::string& status)>
            on_result;
        std::function<void(const running_task&)> on_usage;
    };

    // Calls are sent only until the time that `acting_until` returns.
    worker_agent(agent_context& context, std::uint64_t epoch,
                 std::function<std::optional<base::time_point>()> acting_until,
                 events handlers);

    // Sets the workers that the platform lists. A worker that is no longer
    // listed is not called, so its lease lapses.
    void set_workers(const std::vector<store::vm_entry>& workers);

    // Adds a worker that a claim names but the platform does not list.
    void add_unlisted(const base::worker_id& worker);

    // Queues a command for a task.
    void command(const base::worker_id& worker, const running_task& task,
                 const std::string& type, nlohmann::json extra);

    // Sends what is due; called every 50 ms.
    void step();

    // Answers are ignored from now on: the epoch is over.
    void stop();

    // The capacity of pending workers, which may run tasks of a former owner.
    base::resources pending_capacity() const;

    // Workers that have not been adopted and have not lapsed.
    std::size_t pending() const;

    std::size_t active() const;

private:
    enum class link_state
    {
        adopting,
        active
    };

    struct queued_command
    {
        std::string type;
        running_task task;
        nlohmann::json body;
    };

    struct link
    {
        store::vm_entry vm;
        bool listed = true;
        link_state state = link_state::adopting;
        // The worker may run tasks that are not known here.
        bool pending = true;
        bool lapsed = false;
        bool reported_unresponsive = false;
        bool in_flight = false;
        unsigned failures = 0;
        base::time_point next_call{};
        // When the last answer arrived; the worker counts its lease from no
        // later time.
        base::time_point last_answer{};
        // The time of that answer on the worker's clock, for the next renewal.
        std::int64_t answered_at_ms = 0;
        base::time_point last_sync{};
        std::deque<queued_command> commands;
        std::size_t commands_in_flight = 0;
    };

    void send(link& target, base::time_point now, base::time_point until);
    void check_lapse(link& target, base::time_point now);
    void on_call_result(const std::string& name,
                        const http::client_result& result);
    void handle_adoption(link& target, const nlohmann::json& body);
    void record_answer(link& target, const nlohmann::json& body);
    void handle_sync(link& target, const nlohmann::json& body);
    void handle_failure(link& target, base::time_point now);
    http::request make_request(link& target) const;

    agent_context& context_;
    const std::uint64_t epoch_;
    std::function<std::optional<base::time_point>()> acting_until_;
    events handlers_;
    const base::time_point started_;
    std::map<std::string, link> links_;
    bool stopped_ = false;
};

} // namespace coltsfootrack::daemon

#endif
