#ifndef COLTSFOOTRACK_DAEMON_DAEMON_PROCESS_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_DAEMON_PROCESS_HPP_INCLUDED

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/daemon/agent_context.hpp>
#include <coltsfootrack/daemon/config_agent.hpp>
#include <coltsfootrack/daemon/job_api.hpp>
#include <coltsfootrack/daemon/ownership_agent.hpp>
#include <coltsfootrack/daemon/request_api.hpp>
#include <coltsfootrack/daemon/table_poller.hpp>
#include <coltsfootrack/daemon/zone_scheduler.hpp>
#include <coltsfootrack/http/server.hpp>

#include <absl/status/status.h>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace coltsfootrack::daemon
{

// Assembles the parts of one daemon and serves the HTTP endpoints for callers,
// operators and workers.
//
//     daemon_process process(settings);
//     absl::Status status = process.start();
//     ... wait for a signal ...
//     process.shut_down();
//
// Thread safety: start and shut_down are called from one thread.
class daemon_process
{
public:
    explicit daemon_process(config::daemon_settings settings);
    ~daemon_process();

    // Opens the sockets and starts the threads; invalid_settings if an address
    // cannot be used.
    absl::Status start();

    // Shuts down gracefully: fails the health check, refuses new work, releases
    // the zone, finishes requests in flight, and ends the threads.
    void shut_down();

    // Whether an operator asked for the shutdown through POST /v1/drain.
    bool drain_requested() const
    {
        return drain_requested_.load();
    }

private:
    http::response route(const http::request& message);
    http::response route_job(const std::string& path,
                             const http::request& message);
    http::response apply_ticket(const http::request& message);
    http::response check_ticket(const http::request& message);
    http::response show_ticket(const std::string& number);
    http::response forward_ticket(const http::request& message);
    http::response explain(const std::string& job,
                           const http::request& message);
    http::response worker_events(const http::request& message);
    http::response status();
    http::response health();
    std::string http_address(const base::daemon_id& daemon) const;

    void notify_owner(const base::zone_id& zone, const base::job_id& job);
    void send_notice(const base::zone_id& zone, const base::job_id& job,
                     int attempt);
    void on_message(const base::daemon_id& from, const wire::message& value);
    void on_heartbeat(const base::daemon_id& from,
                      const wire::heartbeat& value);
    void on_view(const table_view& view);
    void on_vm_list(const store::vm_list& list);
    void on_gained(std::uint64_t epoch);
    void send_heartbeat();
    void send_usage();
    void publish_traffic();
    void on_usage(const wire::usage_report& report);
    nlohmann::json teams_json() const;
    void update_own_zone();
    void update_peers();
    nlohmann::json status_json();

    const config::daemon_settings settings_;
    const base::system_clock clock_;
    control_loop loop_;
    metrics metrics_;
    published_state published_;
    store_session store_;
    call_pool calls_;
    agent_context context_;
    ownership_agent ownership_;
    config_agent config_;
    table_poller poller_;
    request_api requests_;
    job_api jobs_;
    std::shared_ptr<zone_scheduler> scheduler_;
    std::vector<store::vm_entry> listed_vms_;
    std::map<base::daemon_id, base::zone_id> peer_zones_;
    std::map<base::daemon_id, base::time_point> last_heard_;
    std::map<base::daemon_id, wire::peer_address> discovered_peers_;
    // The last report of each zone's owner; sent to owners only.
    std::map<base::zone_id, wire::usage_report> usage_by_zone_;
    std::atomic<bool> drain_requested_{false};
    http::client forward_client_;
    std::unique_ptr<wire::peer_links> peers_;
    std::unique_ptr<http::server> server_;
    std::thread control_thread_;
};

} // namespace coltsfootrack::daemon

#endif
