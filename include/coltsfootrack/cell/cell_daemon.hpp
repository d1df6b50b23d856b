#ifndef COLTSFOOTRACK_CELL_CELL_DAEMON_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CELL_DAEMON_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/cell/catalogue_catch_up.hpp>
#include <coltsfootrack/cell/cell_options.hpp>
#include <coltsfootrack/cell/early_cancel_limit.hpp>
#include <coltsfootrack/cell/first_nonce.hpp>
#include <coltsfootrack/cell/leader_election.hpp>
#include <coltsfootrack/cell/leadership.hpp>
#include <coltsfootrack/cell/peer_port.hpp>
#include <coltsfootrack/cell/ports.hpp>
#include <coltsfootrack/cell/row_committer.hpp>
#include <coltsfootrack/cell/row_layout.hpp>
#include <coltsfootrack/cell/table_follower.hpp>
#include <coltsfootrack/cell/ticket_dispatcher.hpp>
#include <coltsfootrack/cell/traffic_log.hpp>
#include <coltsfootrack/cell/worker_relay.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/daemon/metrics.hpp>
#include <coltsfootrack/wire/peer_links.hpp>

#include <absl/status/status.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace coltsfootrack::cell
{

// A daemon of a cell, which is a group of entry VMs that serve the same
// workers. Every daemon accepts jobs and reports their state; one of them, the
// leader, decides what runs where.
//
//     cell_daemon daemon(options, ports, clock);
//     absl::Status status = daemon.start();
//     daemon.submit(id, submission, [](absl::Status stored) { ... });
//     ...
//     daemon.hand_over();  // before a planned stop
//
// Thread safety: the functions may be called from any thread, except start and
// the destructor. Callbacks run on the control thread.
class cell_daemon
{
public:
    using status_callback = std::function<void(absl::Status)>;
    using state_callback = std::function<void(absl::StatusOr<jobs::job_state>)>;

    cell_daemon(const cell_options& options, ports cell_ports,
                const base::clock& clock);
    cell_daemon(const cell_daemon&) = delete;
    cell_daemon& operator=(const cell_daemon&) = delete;

    // Stops the threads. The ports must invoke no callback afterwards, unless
    // the process is ending.
    ~cell_daemon();

    // Starts the control thread and listens for peers. Returns invalid_settings
    // if the peer address cannot be used.
    absl::Status start();

    // Starts without threads or sockets, for programs that drive the control
    // loop themselves: call run_next of loop() until it returns false, again at
    // each next_due(), and pass what happens at the peers to events().
    void begin(peer_port peers);
    wire::peer_events events();
    daemon::control_loop& loop()
    {
        return loop_;
    }

    // The newest known catalogue; null before the first one.
    std::shared_ptr<const fleet::catalogue> catalogue() const;

    // Whether the daemon serves callers: it has a catalogue and is not being
    // stopped.
    bool ready() const;

    // Stores a job of a caller with this right. Returns OK also if the id
    // exists already, and cancelled if a caller with the same right has
    // cancelled the id first. After cancelled, store_unavailable or overloaded
    // this call will never make the job run; after outcome_unknown it may.
    void submit(const base::job_id& id, const jobs::job_submission& job,
                const cancel_right& right, status_callback done);

    // Stores a cancellation by a caller with this right. Returns not_found if
    // there is no such job; one that is stored later is then cancelled at once.
    // Returns overloaded if too many unknown jobs were cancelled.
    void cancel(const base::job_id& id, const cancel_right& right,
                status_callback done);

    // The state of a job; not_found if there is none, store_unavailable if
    // neither the leader nor the store can be asked.
    void state(const base::job_id& id, state_callback done);

    // The number of accepted jobs of a queue of which no task has started;
    // nullopt if the leader has not reported it recently.
    std::optional<int> waiting(const std::string& queue) const;

    // When a caller that was refused because the store is down may retry.
    std::chrono::seconds retry_after() const;

    // Hands leadership to another daemon and reports not ready from now on.
    void hand_over();

    daemon::metrics& metrics()
    {
        return metrics_;
    }

    const base::clock& clock() const
    {
        return clock_;
    }

private:
    // What the threads of callers read, under mutex_.
    struct shared_state
    {
        std::shared_ptr<const fleet::catalogue> catalogue;
        std::map<std::string, int> waiting;
        base::time_point waiting_at;
        bool waiting_known = false;
        bool stopping = false;
        // Since when the store has not answered this daemon; nullopt if it
        // answers.
        std::optional<base::time_point> store_down_since;
    };

    struct pending_state_query
    {
        base::job_id job;
        state_callback done;
    };

    struct pending_relay
    {
        status_callback done;
        // The local attempt may have been applied.
        bool uncertain = false;
    };

    struct pending_ticket_query
    {
        base::daemon_id peer;
        std::function<void(std::optional<std::vector<fleet::ticket_grant>>)>
            done;
    };

    void follow_cell();
    void follow_catalogue();
    bool follows_catalogue() const;
    void apply_cell_rows(const std::vector<stored_row>& rows, bool is_snapshot);
    void apply_catalogue(const std::string& document, std::uint64_t row_version,
                         const char* from);
    void register_member();
    void remove_absent_member();
    void remove_member(const base::daemon_id& id);
    void on_message(const base::daemon_id& peer, const wire::message& value);
    void handle(const base::daemon_id& peer, const wire::cell_status& m);
    void handle(const base::daemon_id& peer, const wire::catalogue_copy& m);
    void handle(const base::daemon_id& peer, const wire::catalogue_request& m);
    void handle(const base::daemon_id& peer, const wire::job_copy& m);
    void handle(const base::daemon_id& peer, const wire::cancel_notice& m);
    void handle(const base::daemon_id& peer, const wire::state_query& m);
    void handle(const base::daemon_id& peer, const wire::state_answer& m);
    void handle(const base::daemon_id& peer, const wire::ticket_query& m);
    void handle(const base::daemon_id& peer, const wire::ticket_answer& m);

    void handle(const base::daemon_id& peer, const wire::relay_request& m);
    void handle(const base::daemon_id& peer, const wire::relay_answer& m);
    void handle(const base::daemon_id& peer, const wire::worker_call& m);
    void handle(const base::daemon_id& peer, const wire::worker_answer& m);

    template <class Other>
    void handle(const base::daemon_id& /*peer*/, const Other& /*message*/)
    {
        // A cell ignores the messages of the zone scheduler.
    }

    void send_status();
    void send_periodic_status();
    void elect();
    void write_claim(const leader_row& claim);
    void start_leading(std::uint64_t epoch);
    void resign();
    void step_down(const std::string& reason);
    void commit();
    void notify_leader(const wire::message& value);
    void ask_tickets(
        const fleet::ticket_order& order,
        std::function<void(std::optional<std::vector<fleet::ticket_grant>>)>
            done);
    void store_job(const base::job_id& id, const std::string& row,
                   const cancel_right& right, bool relayed,
                   status_callback done);
    // A cancellation of a caller, as it is being stored.
    struct pending_cancel
    {
        base::job_id id;
        cancel_right right;
        // It came from a peer.
        bool relayed = false;
        base::time_point sent;
        status_callback done;
    };

    void store_cancel(pending_cancel cancel);
    void write_cancel(const pending_cancel& cancel);
    void write_early_cancel(const pending_cancel& cancel);
    void end_cancel_write(const pending_cancel& cancel, write_status status,
                          const absl::Status& stored_result);
    void relay_unsent(const wire::relay_request& request, bool relayed,
                      status_callback done);
    void relay_or_fail(wire::relay_request request, bool uncertain,
                       status_callback done);
    void end_relay(std::uint64_t nonce, const std::string& error);
    void state_from_store(const base::job_id& id, state_callback done);
    void record_store_result(bool answered, std::chrono::milliseconds delay);
    void detect_unresponsive_store();
    void detect_isolation();
    std::vector<std::string> members_not_reached() const;
    void log_traffic();
    void publish_waiting(const std::map<std::string, int>& counts);

    cell_options options_;
    ports ports_;
    const base::clock& clock_;
    row_layout layout_;
    daemon::metrics metrics_;
    daemon::control_loop loop_;
    worker_relay relay_;
    // The ports for the leader; its calls to workers go through relay_.
    ports leader_ports_;
    // Calls to workers in flight on behalf of a leader.
    std::atomic<std::size_t> worker_calls_{0};
    leader_election election_;
    ticket_dispatcher dispatcher_;
    std::vector<row_committer> committers_;
    early_cancel_limit early_cancels_;
    std::unique_ptr<table_follower> cell_follower_;
    std::unique_ptr<table_follower> catalogue_follower_;
    std::unique_ptr<leadership> leadership_;
    std::map<base::daemon_id, wire::peer_address> members_;
    std::map<base::daemon_id, std::uint64_t> member_versions_;
    // The own row was stored.
    bool registered_ = false;
    // Used by the leader: when each daemon was last reached.
    std::map<base::daemon_id, base::time_point> member_reached_at_;
    base::time_point members_checked_at_;
    std::map<std::uint64_t, pending_state_query> pending_state_queries_;
    std::map<std::uint64_t, pending_ticket_query> pending_ticket_queries_;
    std::map<std::uint64_t, pending_relay> pending_relays_;
    std::uint64_t next_nonce_ = first_nonce(clock_);
    bool claiming_ = false;
    catalogue_catch_up catalogue_catch_up_;
    catalogue_duty catalogue_duty_;
    // When the store last told whether the catalogue has changed; nullopt after
    // a failure.
    std::optional<base::time_point> catalogue_heard_at_;
    // The version of the row of the newest catalogue; 0 if unknown.
    std::uint64_t catalogue_row_version_ = 0;
    // The newest catalogue as it was last sent to a peer, compressed.
    wire::catalogue_copy catalogue_copy_;
    std::uint64_t status_round_ = 0;
    traffic_log traffic_log_;
    bool store_up_ = false;
    base::time_point store_answered_at_;
    // Neither the store nor every daemon of the cell is reachable.
    bool isolated_ = false;
    // Since when the store has answered without a failure.
    base::time_point store_up_since_;
    mutable std::mutex mutex_;
    shared_state shared_;
    // Set only by start().
    std::unique_ptr<wire::peer_links> links_;
    peer_port peers_;
    std::thread control_;
};

} // namespace coltsfootrack::cell

#endif
