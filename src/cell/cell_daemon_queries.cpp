// Queries between daemons: the states of jobs, and placement tickets.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/cell/cell_daemon.hpp>

#include <utility>

namespace coltsfootrack::cell
{
namespace
{

// The round trip of a query to a peer in another region.
constexpr std::chrono::milliseconds peer_round_trip{60};

} // namespace

void cell_daemon::state(const base::job_id& id, state_callback done)
{
    auto event = [this, id, done]
    {
        if (leadership_ && leadership_->loaded())
        {
            const auto known = leadership_->state_of(id);
            if (known)
            {
                done(*known);
                return;
            }
            state_from_store(id, done);
            return;
        }
        const auto& row = election_.row();
        const std::uint64_t nonce = next_nonce_++;
        if (!row || election_.row_names_self() ||
            !peers_.send(row->daemon, wire::state_query{nonce, id}))
        {
            state_from_store(id, done);
            return;
        }
        pending_state_queries_[nonce] = {id, done};
        loop_.after(options_.query_timeout,
                    [this, nonce]
                    {
                        const auto found = pending_state_queries_.find(nonce);
                        if (found != pending_state_queries_.end())
                        {
                            const pending_state_query late =
                                std::move(found->second);
                            pending_state_queries_.erase(found);
                            state_from_store(late.job, late.done);
                        }
                    });
    };
    if (!loop_.try_post(std::move(event)))
    {
        done(base::make_error(base::error_kind::overloaded,
                              "the event queue of this daemon is full"));
    }
}

// Reads the progress row first; if there is one, no second read is needed.
void cell_daemon::state_from_store(const base::job_id& id, state_callback done)
{
    const auto unavailable = base::make_error(
        base::error_kind::store_unavailable, "the job cannot be looked up");
    auto read_job = [this, id, done, unavailable]
    {
        ports_.store.read_row(
            layout_.job(id),
            [this, done, unavailable](read_result result)
            {
                loop_.post(
                    [done, unavailable, result = std::move(result)]
                    {
                        if (result.status != read_status::ok)
                        {
                            done(unavailable);
                        }
                        else if (result.rows.empty())
                        {
                            done(base::make_error(base::error_kind::not_found,
                                                  "no such job"));
                        }
                        else
                        {
                            done(jobs::job_state::queued);
                        }
                    });
            });
    };
    ports_.store.read_row(
        layout_.progress(id),
        [this, done, read_job, unavailable](read_result result)
        {
            loop_.post(
                [done, read_job, unavailable, result = std::move(result)]
                {
                    if (result.status != read_status::ok)
                    {
                        done(unavailable);
                        return;
                    }
                    if (result.rows.empty())
                    {
                        read_job();
                        return;
                    }
                    const auto progress =
                        jobs::decode_progress(result.rows.front().value);
                    if (progress.ok())
                    {
                        done(progress->state);
                    }
                    else
                    {
                        done(progress.status());
                    }
                });
        });
}

void cell_daemon::handle(const base::daemon_id& peer,
                         const wire::state_query& m)
{
    const auto state =
        leadership_ ? leadership_->state_of(m.job) : std::nullopt;
    peers_.send(peer, wire::state_answer{
                          m.nonce, state ? std::string(jobs::name_of(*state))
                                         : std::string()});
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::state_answer& m)
{
    const auto found = pending_state_queries_.find(m.nonce);
    if (found == pending_state_queries_.end())
    {
        return;
    }
    const pending_state_query asked = std::move(found->second);
    pending_state_queries_.erase(found);
    const auto state = jobs::state_named(m.state);
    if (state)
    {
        asked.done(*state);
        return;
    }
    state_from_store(asked.job, asked.done);
}

void cell_daemon::ask_tickets(
    const fleet::ticket_order& order,
    std::function<void(std::optional<std::vector<fleet::ticket_grant>>)> done)
{
    const base::daemon_id caller =
        dispatcher_.acquire(order.expected, clock_.now());
    const auto limit = order.expected + options_.ticket_timeout_margin;
    if (caller == options_.daemon)
    {
        ports_.tickets(
            order.step, order.workers, limit,
            [this, caller,
             done](std::optional<std::vector<fleet::ticket_grant>> grants)
            {
                loop_.post(
                    [this, caller, done, grants = std::move(grants)]
                    {
                        dispatcher_.release(caller, clock_.now());
                        done(grants);
                    });
            });
        return;
    }
    wire::ticket_query query;
    query.nonce = next_nonce_++;
    query.job = order.step.job;
    query.occurrence = static_cast<std::uint32_t>(order.step.occurrence);
    query.step = static_cast<std::uint32_t>(order.step.step);
    query.limit = limit;
    query.workers = order.workers;
    const auto finish =
        [this](std::uint64_t nonce,
               std::optional<std::vector<fleet::ticket_grant>> grants)
    {
        const auto found = pending_ticket_queries_.find(nonce);
        if (found != pending_ticket_queries_.end())
        {
            const pending_ticket_query asked = std::move(found->second);
            pending_ticket_queries_.erase(found);
            dispatcher_.release(asked.peer, clock_.now());
            asked.done(std::move(grants));
        }
    };
    pending_ticket_queries_[query.nonce] = {caller, std::move(done)};
    if (!peers_.send(caller, query))
    {
        loop_.post([finish, nonce = query.nonce]
                   { finish(nonce, std::nullopt); });
        return;
    }
    loop_.after(limit + peer_round_trip,
                [finish, nonce = query.nonce] { finish(nonce, std::nullopt); });
}

void cell_daemon::handle(const base::daemon_id& peer,
                         const wire::ticket_query& m)
{
    const jobs::step_key step{m.job, static_cast<int>(m.occurrence),
                              static_cast<int>(m.step)};
    ports_.tickets(step, m.workers, m.limit,
                   [this, peer, nonce = m.nonce](
                       std::optional<std::vector<fleet::ticket_grant>> grants)
                   {
                       wire::ticket_answer answer;
                       answer.nonce = nonce;
                       answer.answered = grants.has_value();
                       for (fleet::ticket_grant& grant :
                            grants ? *grants
                                   : std::vector<fleet::ticket_grant>())
                       {
                           answer.grants.push_back(
                               {grant.worker, std::move(grant.ticket)});
                       }
                       peers_.send(peer, answer);
                   });
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::ticket_answer& m)
{
    const auto found = pending_ticket_queries_.find(m.nonce);
    if (found == pending_ticket_queries_.end())
    {
        return;
    }
    const pending_ticket_query asked = std::move(found->second);
    pending_ticket_queries_.erase(found);
    dispatcher_.release(asked.peer, clock_.now());
    std::optional<std::vector<fleet::ticket_grant>> grants;
    if (m.answered)
    {
        grants.emplace();
        for (const wire::granted_ticket& grant : m.grants)
        {
            grants->push_back({grant.worker, grant.ticket});
        }
    }
    asked.done(std::move(grants));
}

} // namespace coltsfootrack::cell
