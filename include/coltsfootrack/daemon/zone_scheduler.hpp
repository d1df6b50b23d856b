#ifndef COLTSFOOTRACK_DAEMON_ZONE_SCHEDULER_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_ZONE_SCHEDULER_HPP_INCLUDED

#include <coltsfootrack/daemon/agent_context.hpp>
#include <coltsfootrack/daemon/job_record.hpp>
#include <coltsfootrack/daemon/pending_reply.hpp>
#include <coltsfootrack/daemon/quota_agent.hpp>
#include <coltsfootrack/daemon/worker_agent.hpp>
#include <coltsfootrack/placement/scheduler.hpp>
#include <coltsfootrack/wire/team_usage.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace coltsfootrack::daemon
{

// Runs a zone for its owner during one epoch: loads the zone's jobs and claims,
// adopts the workers, and carries out the scheduler's decisions.
//
// Changed job rows are written every 100 ms. An exclusive task is claimed in
// the table before its start is sent.
//
// Thread safety: control thread only. Callbacks keep the object alive; after
// stop they have no effect.
class zone_scheduler : public std::enable_shared_from_this<zone_scheduler>
{
public:
    // Queries to the ownership agent.
    struct ownership_queries
    {
        // Commands may be sent until then; none if the daemon may not act.
        std::function<std::optional<base::time_point>()> acting_until;
        // The version of the row owner/<zone> under this epoch.
        std::function<std::uint64_t()> owner_version;
    };

    zone_scheduler(agent_context& context, std::uint64_t epoch,
                   ownership_queries ownership);

    // Starts loading. To be called once, on an object held by shared_ptr.
    void start();

    // The epoch is over: nothing more is sent or written.
    void stop();

    // Called every 50 ms by the owner of this object.
    void step();

    void on_vm_list();
    void on_config_changed();

    // A daemon wrote the row of this job.
    void on_job_notice(const base::job_id& job);

    // Reads all job rows of the zone, to find changes whose notice was lost.
    void refresh_jobs();

    // Takes the body of POST /v1/worker-events. The reply is sent once the rows
    // concerned are written, since the worker then forgets the events.
    void on_worker_events(const nlohmann::json& body, reply_function reply);

    // Why the job waits, as JSON; not_found if it is not of this zone.
    http::response explain(const base::job_id& job) const;

    // Teams, workers and the queue, for GET /v1/status.
    nlohmann::json status() const;

    // The booked part of the zone's processors or memory, whichever is larger,
    // in thousandths.
    std::uint32_t load_permille() const;

    // The booked resources of each team that has any.
    std::vector<wire::team_usage> team_usage() const;

    // The number of tasks that hold resources now.
    std::size_t running_tasks() const;

private:
    struct job_entry
    {
        job_record record;
        store::version version = 0;
        base::time_point submitted{};
        bool dirty = false;
        bool writing = false;
    };

    struct claim_entry
    {
        store::version version = 0;
        std::string token;
        std::string worker;
    };

    // A placed task: its worker, whether its start was sent, and whether the
    // worker confirmed it.
    struct placed_task
    {
        base::worker_id worker;
        running_task task;
        bool confirmed = false;
        bool sent = false;
    };

    struct flush_group
    {
        std::size_t unfinished = 0;
        bool failed = false;
        std::vector<reply_function> replies;
    };

    void load();
    void on_rows_loaded(const store::read_result& rows);
    void add_job(const std::string& id, const store::row& row);
    void restore_claims();
    bool may_place() const;
    void place_tasks();
    void carry_out(const placement::action& action);
    void start_task(const placement::action& action);
    void claim_and_start(const placement::action& action);
    void send_start(const placement::action& action);
    void on_adopted(const store::vm_entry& vm,
                    const std::vector<running_task>& running);
    void on_result(const base::worker_id& worker, const running_task& task,
                   const std::string& type, const std::string& status);
    void on_lapsed(const base::worker_id& worker);
    void on_task_end(const running_task& task, const std::string& outcome,
                     const std::string& reason);
    void end_job(const base::job_id& job, const std::string& state,
                 const std::string& detail);
    void flush();
    void write_job(const std::string& id, job_entry& entry,
                   const std::shared_ptr<flush_group>& group);
    std::string job_key(const std::string& id) const;
    std::string claim_key(const base::task_id& task) const;

    agent_context& context_;
    const std::uint64_t epoch_;
    ownership_queries ownership_;
    placement::scheduler scheduler_;
    std::shared_ptr<worker_agent> workers_;
    std::shared_ptr<quota_agent> quotas_;
    std::map<std::string, job_entry> jobs_;
    std::map<base::task_id, claim_entry> claims_;
    std::map<base::task_id, placed_task> placed_;
    std::set<base::worker_id> known_workers_;
    std::vector<reply_function> waiting_replies_;
    const base::time_point started_;
    base::time_point next_flush_{};
    base::time_point next_quota_{};
    bool loaded_ = false;
    bool refreshing_ = false;
    bool stopped_ = false;
};

} // namespace coltsfootrack::daemon

#endif
