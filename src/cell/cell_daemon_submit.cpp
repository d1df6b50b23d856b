// Stores jobs and cancellations, through a peer if the store refuses this
// daemon.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/cell_daemon.hpp>

#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "cell";

absl::Status stored_status(write_status status)
{
    switch (status)
    {
    case write_status::stored:
    case write_status::exists:
        return absl::OkStatus();
    case write_status::refused:
    case write_status::fenced:
        return base::make_error(base::error_kind::store_unavailable,
                                "the write was not stored");
    case write_status::rejected:
        return base::make_error(base::error_kind::invalid_request,
                                "the store does not take the row");
    case write_status::unknown:
        break;
    }
    return base::make_error(base::error_kind::outcome_unknown,
                            "the store did not answer");
}

} // namespace

void cell_daemon::store_job(const base::job_id& id, const std::string& row,
                            bool relayed, status_callback done)
{
    // While the store is down for this daemon, a caller's job does not serve as
    // a probe, since the caller could not retry it after an unanswered attempt.
    // The reads of changes detect when the store is back.
    if (!store_up_)
    {
        relay_unsent(id, row, relayed, std::move(done));
        return;
    }
    const base::time_point sent = clock_.now();
    committers_[layout_.part_of(id)].insert(
        layout_.job(id), row, sent, sent + options_.submit_timeout,
        [this, id, row, relayed, sent,
         done = std::move(done)](write_status status)
        {
            if (status == write_status::stored)
            {
                notify_leader(wire::job_copy{id, row});
            }
            const absl::Status result = stored_status(status);
            // Other calls were answered in the meantime, so this part of the
            // store is down for the peers as well.
            const bool part_down = store_answered_at_ > sent;
            const bool late = clock_.now() - sent > options_.relay_cutoff;
            if (result.ok() || relayed || part_down || late ||
                status == write_status::rejected)
            {
                done(result);
                return;
            }
            relay_or_fail(id, row, status == write_status::unknown, done);
        });
    commit();
}

// Relays a write that was not sent to the store to a peer, unless it came from
// one.
void cell_daemon::relay_unsent(const base::job_id& id, const std::string& row,
                               bool relayed, status_callback done)
{
    if (relayed)
    {
        done(stored_status(write_status::refused));
        return;
    }
    relay_or_fail(id, row, false, std::move(done));
}

void cell_daemon::store_cancel(const base::job_id& id, bool relayed,
                               status_callback done)
{
    if (!store_up_)
    {
        relay_unsent(id, "", relayed, std::move(done));
        return;
    }
    const base::time_point sent = clock_.now();
    ports_.store.read_row(
        layout_.job(id),
        [this, id, relayed, sent, done = std::move(done)](read_result result)
        {
            loop_.post(
                [this, id, relayed, sent, done, result = std::move(result)]
                {
                    record_store_result(
                        result.status == read_status::ok,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            clock_.now() - sent));
                    if (result.status != read_status::ok)
                    {
                        if (relayed)
                        {
                            done(stored_status(write_status::refused));
                            return;
                        }
                        relay_or_fail(id, "", false, done);
                    }
                    else if (result.rows.empty())
                    {
                        done(base::make_error(base::error_kind::not_found,
                                              "no such job"));
                    }
                    else
                    {
                        write_cancel(id, relayed, sent, done);
                    }
                });
        });
}

void cell_daemon::write_cancel(const base::job_id& id, bool relayed,
                               base::time_point sent, status_callback done)
{
    committers_[layout_.part_of(id)].insert(
        layout_.cancel(id), "{}", clock_.now(),
        clock_.now() + options_.submit_timeout,
        [this, id, relayed, sent, done = std::move(done)](write_status status)
        {
            const absl::Status result = stored_status(status);
            if (result.ok())
            {
                notify_leader(wire::cancel_notice{id});
            }
            const bool late = clock_.now() - sent > options_.relay_cutoff;
            if (result.ok() || relayed || late || store_answered_at_ > sent)
            {
                done(result);
                return;
            }
            relay_or_fail(id, "", status == write_status::unknown, done);
        });
    commit();
}

void cell_daemon::relay_or_fail(const base::job_id& id, const std::string& row,
                                bool uncertain, status_callback done)
{
    const auto peer = election_.peer_with_store(clock_.now(), next_nonce_);
    const std::uint64_t nonce = next_nonce_++;
    if (!peer || !peers_.send(*peer, wire::relay_request{nonce, id, row}))
    {
        done(stored_status(uncertain ? write_status::unknown
                                     : write_status::refused));
        return;
    }
    metrics_.count_event("relayed_to_peer");
    base::log(base::log_level::info, log_part,
              "Relayed to a peer. job={} peer={} cancel={} local_unknown={}",
              id.text(), peer->text(), row.empty(), uncertain);
    pending_relays_[nonce] = {std::move(done), uncertain};
    loop_.after(
        options_.relay_timeout,
        [this, nonce]
        {
            end_relay(
                nonce,
                std::string(
                    base::answer_of(base::error_kind::outcome_unknown).name));
        });
}

void cell_daemon::end_relay(std::uint64_t nonce, const std::string& error)
{
    const auto found = pending_relays_.find(nonce);
    if (found == pending_relays_.end())
    {
        return;
    }
    const pending_relay ended = std::move(found->second);
    pending_relays_.erase(found);
    if (error.empty())
    {
        ended.done(absl::OkStatus());
        return;
    }
    const base::error_kind kind = base::kind_named(error);
    // The local attempt may still store what the peer refused.
    const bool refused = kind == base::error_kind::store_unavailable;
    ended.done(base::make_error(
        refused && ended.uncertain ? base::error_kind::outcome_unknown : kind,
        "the relay to a peer failed"));
}

void cell_daemon::handle(const base::daemon_id& peer,
                         const wire::relay_request& m)
{
    const auto reply = [this, peer, nonce = m.nonce](const absl::Status& status)
    {
        const std::string error =
            status.ok()
                ? std::string()
                : std::string(base::answer_of(base::kind_of(status)).name);
        peers_.send(peer, wire::relay_answer{nonce, error});
    };
    if (m.row.empty())
    {
        store_cancel(m.job, true, reply);
    }
    else
    {
        store_job(m.job, m.row, true, reply);
    }
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::relay_answer& m)
{
    end_relay(m.nonce, m.error);
}

} // namespace coltsfootrack::cell
