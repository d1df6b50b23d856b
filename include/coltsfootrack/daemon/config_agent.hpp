#ifndef COLTSFOOTRACK_DAEMON_CONFIG_AGENT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_CONFIG_AGENT_HPP_INCLUDED

#include <coltsfootrack/coordination/acceptor_state.hpp>
#include <coltsfootrack/coordination/config_freshness.hpp>
#include <coltsfootrack/daemon/agent_context.hpp>
#include <coltsfootrack/daemon/pending_reply.hpp>
#include <coltsfootrack/daemon/table_view.hpp>
#include <coltsfootrack/wire/freshness_answer.hpp>
#include <coltsfootrack/wire/freshness_query.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace coltsfootrack::daemon
{

// Keeps the configuration up to date and proves that it is current, answers
// freshness queries, and commits tickets if the daemon is an acceptor.
//
// Thread safety: control thread only.
class config_agent
{
public:
    struct events
    {
        // A new snapshot is in force.
        std::function<void()> on_changed;
        // Asks for a read of the table that starts after this call.
        std::function<void()> on_read_needed;
    };

    config_agent(agent_context& context, events handlers);

    void start();
    void on_renewal();
    void on_fenced();
    void on_view(const table_view& view);
    void on_vm_list(const store::vm_list& list);
    // A peer, or an own commit, reported a configuration sequence.
    void on_sequence_reported(std::uint64_t sequence);
    void on_freshness_query(const base::daemon_id& from,
                            const wire::freshness_query& query);
    void on_freshness_answer(const base::daemon_id& from,
                             const wire::freshness_answer& answer);

    // The daemons that sent a message recently; only these become acceptors.
    void set_responsive(std::set<base::daemon_id> daemons);

    // Commits a ticket, or replies not_owner if this daemon is no acceptor.
    void apply_ticket(const config::ticket& change, reply_function reply);

    bool may_accept() const
    {
        return acceptor_.may_accept(context_.clock.now());
    }

    // The daemons that may accept tickets, as last read.
    const std::vector<base::daemon_id>& acceptors() const
    {
        return acceptor_.membership().members;
    }

    std::optional<base::duration> proof_age() const;
    std::uint64_t sequence() const;
    std::uint64_t membership_version() const;

private:
    struct ticket_commit;

    void step();
    void publish_freshness();
    void read_newer_config(std::uint64_t sequence);
    void apply_rows(const store::read_result& rows);
    void begin_round();
    void commit_ticket(const std::shared_ptr<ticket_commit>& work,
                       const store::read_result& rows);
    void finish_ticket(const std::shared_ptr<ticket_commit>& work,
                       const store::commit_outcome& outcome);
    wire::freshness_answer make_answer(std::uint64_t nonce) const;

    agent_context& context_;
    events handlers_;
    coordination::config_freshness freshness_;
    coordination::acceptor_state acceptor_;
    std::set<base::daemon_id> responsive_;
    bool reading_config_ = false;
    bool session_confirmed_ = false;
    // Counts fences, so that callbacks of earlier commits are ignored.
    std::uint64_t generation_ = 0;
    std::uint64_t last_ticket_commit_ = 0;
};

} // namespace coltsfootrack::daemon

#endif
