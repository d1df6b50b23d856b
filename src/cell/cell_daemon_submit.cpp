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
    case write_status::blocked:
        return base::make_error(base::error_kind::cancelled,
                                "the job was cancelled before it was stored");
    case write_status::unknown:
        break;
    }
    return base::make_error(base::error_kind::outcome_unknown,
                            "the store did not answer");
}

} // namespace

void cell_daemon::store_job(const base::job_id& id, const std::string& row,
                            const cancel_right& right, bool relayed,
                            status_callback done)
{
    // While the store is down for this daemon, a caller's job does not serve as
    // a probe, since the caller could not retry it after an unanswered attempt.
    // The reads of changes detect when the store is back.
    if (!store_up_)
    {
        relay_unsent({0, id, row, encode(right)}, relayed, std::move(done));
        return;
    }
    const base::time_point sent = clock_.now();
    committers_[layout_.part_of(id)].insert(
        layout_.job(id), row, sent, sent + options_.submit_timeout,
        [this, id, row, right, relayed, sent,
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
                status == write_status::rejected ||
                status == write_status::blocked)
            {
                done(result);
                return;
            }
            relay_or_fail({0, id, row, encode(right)},
                          status == write_status::unknown, done);
        },
        right.empty() ? std::nullopt
                      : std::optional<row_id>(layout_.early_cancel(id, right)));
    commit();
}

// Relays a write that was not sent to the store to a peer, unless it came from
// one.
void cell_daemon::relay_unsent(const wire::relay_request& request, bool relayed,
                               status_callback done)
{
    if (relayed)
    {
        done(stored_status(write_status::refused));
        return;
    }
    relay_or_fail(request, false, std::move(done));
}

void cell_daemon::store_cancel(pending_cancel cancel)
{
    cancel.sent = clock_.now();
    if (!store_up_)
    {
        relay_unsent({0, cancel.id, "", encode(cancel.right)}, cancel.relayed,
                     cancel.done);
        return;
    }
    const row_id row = layout_.job(cancel.id);
    ports_.store.read_row(
        row,
        [this, cancel = std::move(cancel)](read_result result)
        {
            loop_.post(
                [this, cancel, result = std::move(result)]
                {
                    record_store_result(
                        result.status == read_status::ok,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            clock_.now() - cancel.sent));
                    if (result.status != read_status::ok)
                    {
                        relay_unsent({0, cancel.id, "", encode(cancel.right)},
                                     cancel.relayed, cancel.done);
                    }
                    else if (result.rows.empty())
                    {
                        write_early_cancel(cancel);
                    }
                    else
                    {
                        write_cancel(cancel);
                    }
                });
        });
}

void cell_daemon::write_cancel(const pending_cancel& cancel)
{
    const base::time_point now = clock_.now();
    committers_[layout_.part_of(cancel.id)].insert(
        layout_.cancel(cancel.id), "{}", now, now + options_.submit_timeout,
        [this, cancel](write_status status)
        {
            if (stored_status(status).ok())
            {
                notify_leader(wire::cancel_notice{cancel.id});
            }
            end_cancel_write(cancel, status, absl::OkStatus());
        });
    commit();
}

// The submission may still be on its way: to a daemon that is paused, or in a
// call that the store carries out late. Nobody would cancel it a second time,
// so the row stays for a while and cancels it when it is stored.
void cell_daemon::write_early_cancel(const pending_cancel& cancel)
{
    const absl::Status unknown_job =
        base::make_error(base::error_kind::not_found, "no such job");
    if (cancel.right.empty())
    {
        cancel.done(unknown_job);
        return;
    }
    const row_id row = layout_.early_cancel(cancel.id, cancel.right);
    const base::time_point now = clock_.now();
    if (!early_cancels_.try_take(row.key, cancel.right, now))
    {
        metrics_.count_refusal(base::error_kind::overloaded);
        base::log(base::log_level::warning, log_part,
                  "Cancellation refused: too many of unknown jobs. job={} "
                  "team={}",
                  cancel.id.text(), cancel.right.team.text());
        cancel.done(base::make_error(base::error_kind::overloaded,
                                     "too many unknown jobs were cancelled"));
        return;
    }
    committers_[layout_.part_of(cancel.id)].insert(
        row, encode(cancel.right), now, now + options_.submit_timeout,
        [this, cancel, key = row.key, unknown_job](write_status status)
        {
            if (status == write_status::refused ||
                status == write_status::rejected)
            {
                early_cancels_.give_back(key);
            }
            if (stored_status(status).ok())
            {
                metrics_.count_event("early_cancel_stored");
                base::log(base::log_level::info, log_part,
                          "Cancellation of an unknown job stored. job={} "
                          "team={} open_queue={}",
                          cancel.id.text(), cancel.right.team.text(),
                          cancel.right.open_queue);
            }
            end_cancel_write(cancel, status, unknown_job);
        });
    commit();
}

// Ends a cancellation with `stored_result` if its row was stored, else tries a
// peer if there is time.
void cell_daemon::end_cancel_write(const pending_cancel& cancel,
                                   write_status status,
                                   const absl::Status& stored_result)
{
    const absl::Status written = stored_status(status);
    const bool late = clock_.now() - cancel.sent > options_.relay_cutoff;
    if (written.ok() || cancel.relayed || late ||
        store_answered_at_ > cancel.sent)
    {
        cancel.done(written.ok() ? stored_result : written);
        return;
    }
    relay_or_fail({0, cancel.id, "", encode(cancel.right)},
                  status == write_status::unknown, cancel.done);
}

// Sends a request, whose nonce is set here, to a peer that the store answers.
void cell_daemon::relay_or_fail(wire::relay_request request, bool uncertain,
                                status_callback done)
{
    const auto peer = election_.peer_with_store(clock_.now(), next_nonce_);
    request.nonce = next_nonce_++;
    if (!peer || !peers_.send(*peer, request))
    {
        done(stored_status(uncertain ? write_status::unknown
                                     : write_status::refused));
        return;
    }
    metrics_.count_event("relayed_to_peer");
    base::log(base::log_level::info, log_part,
              "Relayed to a peer. job={} peer={} cancel={} local_unknown={}",
              request.job.text(), peer->text(), request.row.empty(), uncertain);
    pending_relays_[request.nonce] = {std::move(done), uncertain};
    loop_.after(
        options_.relay_timeout,
        [this, nonce = request.nonce]
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
    const auto sent_right = decode_cancel_right(m.cancel_right);
    const cancel_right right = sent_right.ok() ? *sent_right : cancel_right();
    if (m.row.empty())
    {
        store_cancel({m.job, right, true, {}, reply});
    }
    else
    {
        store_job(m.job, m.row, right, true, reply);
    }
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::relay_answer& m)
{
    end_relay(m.nonce, m.error);
}

} // namespace coltsfootrack::cell
