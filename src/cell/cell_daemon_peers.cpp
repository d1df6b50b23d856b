// The peers of a cell daemon and the leader election.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/cell_daemon.hpp>
#include <coltsfootrack/cell/member_row.hpp>
#include <coltsfootrack/cell/page_budget.hpp>
#include <coltsfootrack/cell/peer_time.hpp>
#include <coltsfootrack/cell/queue_counts.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "cell";

} // namespace

void cell_daemon::follow_cell()
{
    table_follower::hooks callbacks;
    callbacks.on_answer = [this](bool answered)
    {
        record_store_result(answered, election_.store_delay());
    };
    callbacks.on_snapshot = [this](const std::vector<stored_row>& rows)
    {
        apply_cell_rows(rows, true);
    };
    callbacks.on_changes = [this](const std::vector<stored_row>& rows)
    {
        apply_cell_rows(rows, false);
    };
    cell_follower_ = std::make_unique<table_follower>(
        loop_, ports_.store, row_layout::cell_table,
        std::vector<std::string>{""}, page_budget_for(options_.link_rate, 1),
        options_.cell_follow_wait, std::chrono::milliseconds(0),
        std::move(callbacks));
    cell_follower_->start();
}

void cell_daemon::apply_cell_rows(const std::vector<stored_row>& rows,
                                  bool is_snapshot)
{
    const base::time_point now = clock_.now();
    bool leader_seen = false;
    bool members_changed = false;
    std::map<base::daemon_id, wire::peer_address> members =
        is_snapshot ? std::map<base::daemon_id, wire::peer_address>()
                    : members_;
    const std::string prefix = row_layout::daemon_prefix;
    for (const stored_row& row : rows)
    {
        if (row.id == layout_.leader() && row.exists())
        {
            leader_seen = true;
            const auto leader = decode_leader_row(row.value, row.version);
            if (leader.ok())
            {
                election_.on_row(*leader, now);
                if (leadership_ && leader->epoch > leadership_->epoch())
                {
                    step_down("the leader row names a later epoch");
                }
            }
        }
        if (row.id.part.empty() && row.id.key.rfind(prefix, 0) == 0)
        {
            const base::daemon_id id(row.id.key.substr(prefix.size()));
            members_changed = true;
            if (id == options_.daemon && !row.exists() && registered_)
            {
                // The leader did not reach this daemon for a while.
                register_member();
            }
            const auto member = decode_member(id, row.value);
            if (row.exists() && member.ok())
            {
                members[id] = *member;
            }
            else
            {
                members.erase(id);
            }
            member_versions_[id] = row.version;
        }
    }
    if (is_snapshot && registered_ && members.count(options_.daemon) == 0)
    {
        register_member();
    }
    if (is_snapshot && !leader_seen)
    {
        election_.on_row(leader_row(), now);
    }
    if (members_changed && members != members_)
    {
        members_ = members;
        std::vector<wire::peer_address> peers;
        for (const auto& [id, address] : members_)
        {
            peers.push_back(address);
        }
        const absl::Status status = peers_.set_peers(peers);
        if (!status.ok())
        {
            base::log(base::log_level::error, log_part,
                      "Peer addresses rejected; the previous ones stay in use. "
                      "error={}",
                      std::string(status.message()));
        }
    }
    elect();
}

void cell_daemon::elect()
{
    if (claiming_ || leadership_)
    {
        return;
    }
    const auto claim = election_.next_claim(clock_.now());
    if (claim)
    {
        write_claim(*claim);
    }
}

void cell_daemon::write_claim(const leader_row& claim)
{
    claiming_ = true;
    base::log(base::log_level::info, log_part,
              "Claiming leadership. epoch={} row_version={}", claim.epoch,
              claim.version);
    transaction write;
    write.conditions.push_back({layout_.leader(), claim.version});
    write.writes.push_back({layout_.leader(), encode(claim)});
    ports_.store.transact(
        write,
        [this, claim](transaction_result result)
        {
            loop_.post(
                [this, claim, result = std::move(result)]
                {
                    claiming_ = false;
                    if (result.status == transaction_status::committed)
                    {
                        leader_row won = claim;
                        won.version = result.version;
                        election_.on_row(won, clock_.now());
                        start_leading(won.epoch);
                        return;
                    }
                    for (const stored_row& row : result.current)
                    {
                        const auto other =
                            decode_leader_row(row.value, row.version);
                        if (row.exists() && other.ok())
                        {
                            election_.on_row(*other, clock_.now());
                        }
                    }
                });
        });
}

void cell_daemon::start_leading(std::uint64_t epoch)
{
    base::log(base::log_level::info, log_part, "Became leader. epoch={}",
              epoch);
    metrics_.count_event("takeover");
    metrics_.set_value("leader_epoch", static_cast<double>(epoch));
    leadership::hooks callbacks;
    callbacks.on_lost = [this](const std::string& reason)
    {
        step_down(reason);
    };
    callbacks.committer = [this](std::size_t part) -> row_committer&
    {
        return committers_[part];
    };
    callbacks.commit = [this]
    {
        commit();
    };
    callbacks.ticket_request_allowance = [this]
    {
        return dispatcher_.allowance(clock_.now());
    };
    callbacks.ask_tickets = [this](const fleet::ticket_order& order, auto done)
    {
        ask_tickets(order, std::move(done));
    };
    callbacks.list_complete = [this]
    {
        return store_up_ &&
               clock_.now() - store_up_since_ >= options_.list_complete_delay;
    };
    callbacks.isolated = [this]
    {
        return isolated_;
    };
    callbacks.on_store = [this](bool answered)
    {
        record_store_result(answered, election_.store_delay());
    };
    leadership_ = std::make_unique<leadership>(loop_, clock_, options_,
                                               leader_ports_, layout_, metrics_,
                                               epoch, std::move(callbacks));
    if (const auto known = catalogue())
    {
        leadership_->set_catalogue(known);
    }
    election_.set_leading(true);
    leadership_->begin();
    send_status();
}

void cell_daemon::step_down(const std::string& reason)
{
    if (!leadership_)
    {
        return;
    }
    base::log(base::log_level::warning, log_part,
              "Stepped down. epoch={} reason={}", leadership_->epoch(), reason);
    leadership_.reset();
    relay_.abandon();
    election_.set_leading(false);
    for (row_committer& committer : committers_)
    {
        committer.drop_updates();
    }
    send_status();
}

// In a large cell the daemons that are not the leader skip every other status,
// since each status goes to every peer.
void cell_daemon::send_periodic_status()
{
    if (catalogue_follower_)
    {
        catalogue_duty_.update(clock_.now());
        catalogue_follower_->set_active(follows_catalogue());
    }
    ++status_round_;
    const bool large = members_.size() > options_.large_cell_size;
    if (leadership_ || !large || status_round_ % 2 == 0)
    {
        send_status();
    }
}

void cell_daemon::send_status()
{
    const base::time_point now = clock_.now();
    wire::cell_status status;
    if (const auto& row = election_.row())
    {
        status.epoch = row->epoch;
        status.leader = row->daemon;
    }
    status.leading = leadership_ != nullptr;
    status.stopping = election_.stopping();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        status.catalogue_version =
            shared_.catalogue ? shared_.catalogue->version : 0;
    }
    status.store_age = election_.store_age(now);
    status.leader_age = election_.leader_age(now);
    status.store_delay = election_.store_delay();
    if (catalogue_heard_at_ && !status.stopping && follows_catalogue())
    {
        status.catalogue_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - *catalogue_heard_at_);
    }
    status.processor_milli = options_.processor_milli;
    status.clock = to_peer_time(now);
    if (leadership_ && leadership_->loaded())
    {
        const auto counts = leadership_->waiting_counts();
        publish_waiting(counts);
        status.queues_known = true;
        for (const auto& [queue, count] : counts)
        {
            status.queues.push_back({queue, static_cast<std::uint32_t>(count)});
        }
    }
    peers_.broadcast(status);
}

void cell_daemon::publish_waiting(const std::map<std::string, int>& counts)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    shared_.waiting = counts;
    shared_.waiting_at = clock_.now();
    shared_.waiting_known = true;
}

void cell_daemon::on_message(const base::daemon_id& peer,
                             const wire::message& value)
{
    std::visit([&](const auto& m) { handle(peer, m); }, value);
}

void cell_daemon::handle(const base::daemon_id& peer,
                         const wire::cell_status& m)
{
    election_.on_status(peer, m, clock_.now());
    relay_.on_stopping(peer, m.stopping);
    relay_.on_clock(peer, m.clock);
    if (leadership_ && m.epoch > leadership_->epoch())
    {
        step_down("peer " + peer.text() + " knows a later epoch");
    }
    const auto member = members_.find(peer);
    const bool near =
        member != members_.end() && member->second.zone == options_.zone;
    if (near)
    {
        catalogue_duty_.on_status(peer, m.processor_milli, m.catalogue_age,
                                  clock_.now());
    }
    const auto known = catalogue();
    if (catalogue_catch_up_.on_status(peer, m.catalogue_version,
                                      known ? known->version : 0, near,
                                      follows_catalogue(), clock_.now()))
    {
        peers_.send(peer,
                    wire::catalogue_request{known ? known->version : 0, true});
    }
    const auto& row = election_.row();
    const auto counts = queue_counts_of(m);
    if (counts && row && row->daemon == peer && m.epoch == row->epoch)
    {
        publish_waiting(*counts);
    }
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::job_copy& m)
{
    if (leadership_)
    {
        leadership_->on_job(m.job, m.row);
    }
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::cancel_notice& m)
{
    if (leadership_)
    {
        leadership_->on_cancel(m.job);
    }
}

void cell_daemon::notify_leader(const wire::message& value)
{
    if (leadership_)
    {
        std::visit([this](const auto& m) { handle(options_.daemon, m); },
                   value);
        return;
    }
    if (const auto& row = election_.row())
    {
        // Without a connection, the leader learns of it from the store.
        peers_.send(row->daemon, value);
    }
}

} // namespace coltsfootrack::cell
