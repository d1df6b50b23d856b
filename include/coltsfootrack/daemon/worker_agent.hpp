#ifndef COLTSFOOTRACK_DAEMON_WORKER_AGENT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_WORKER_AGENT_HPP_INCLUDED

#include <coltsfootrack/base/task_id.hpp>
#include <coltsfootrack/daemon/environment.hpp>
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

// Talks to all workers of a zone under one epoch: adoption, lease renewal and
// commands.
//
// A worker is adopted first; its answer tells what it runs. Then its lease is
// renewed every 10 s and with each batch of commands. A renewal names the
// worker's last answer, and the worker counts the lease from the time of that
// answer. So neither an unanswered renewal nor one that was delayed extends the
// lease beyond the last answer known here, plus its length. After that time and
// a margin the tasks of a worker that does not answer have certainly ended, and
// on_lapsed is called.
//
// Each worker has at most one call in flight. Commands are repeated until they
// are answered; the worker executes a token once.
//
// Thread safety: control thread only. Callbacks of calls keep the object alive.
class worker_agent : public std::enable_shared_from_this<worker_agent>
{
public:
    struct events
    {
        // The worker answered an adoption: it runs these tasks and no others.
        std::function<void(const store::vm_entry&,
                           const std::vector<running_task>&)>
            on_adopted;
        // The worker does not answer.
        std::function<void(const base::worker_id&)> on_silent;
        // Nothing runs on the worker any more.
        std::function<void(const base::worker_id&)> on_lapsed;
        // A command was answered with this status.
        std::function<void(const base::worker_id&, const running_task&,
                           const std::string& type, const std::string& status)>
            on_result;
        std::function<void(const running_task&)> on_usage;
    };

    // `acting_until` tells until when commands may be sent.
    worker_agent(environment& shared, std::uint64_t epoch,
                 std::function<std::optional<base::time_point>()> acting_until,
                 events handlers);

    // Sets the workers that the platform lists. Workers that are not listed
    // any more get no calls, and lapse.
    void set_workers(const std::vector<store::vm_entry>& workers);

    // Adds a worker that a claim names and the platform does not list.
    void add_unlisted(const base::worker_id& worker);

    // Queues a command for a task.
    void command(const base::worker_id& worker, const running_task& task,
                 const std::string& type, nlohmann::json extra);

    // Sends what is due; called every 50 ms.
    void step();

    // Ends all activity: the epoch is over.
    void stop();

    // The capacity of workers that may still run tasks of a former owner.
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

    struct command_item
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
        // Whether the worker may run tasks that are not known here.
        bool pending = true;
        bool lapsed = false;
        bool reported_silent = false;
        bool in_flight = false;
        unsigned failures = 0;
        base::time_point next_call{};
        // The last answer; the worker's lease is counted from no later time.
        base::time_point last_answer{};
        // The worker's own time of that answer, for the next renewal.
        std::int64_t answered_at_ms = 0;
        base::time_point last_sync{};
        std::deque<command_item> commands;
        std::size_t sent_commands = 0;
    };

    void send(link& target, base::time_point now, base::time_point until);
    void check_lapse(link& target, base::time_point now);
    void answered(const std::string& name, const http::client_result& result);
    void adopted(link& target, const nlohmann::json& body);
    void note_answer(link& target, const nlohmann::json& body);
    void synced(link& target, const nlohmann::json& body);
    void failed(link& target, base::time_point now);
    http::request make_request(link& target) const;

    environment& shared_;
    const std::uint64_t epoch_;
    std::function<std::optional<base::time_point>()> acting_until_;
    events handlers_;
    const base::time_point started_;
    std::map<std::string, link> links_;
    bool stopped_ = false;
};

} // namespace coltsfootrack::daemon

#endif
