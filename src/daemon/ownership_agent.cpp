// Connects the ownership state machine to the table and to the peers.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/ownership_agent.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr std::chrono::milliseconds step_interval{100};
constexpr auto part = "ownership";

} // namespace

ownership_agent::ownership_agent(agent_context& context, events handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , zone_(context.settings.zone, context.settings.id,
            context.store.incarnation(), context.clock.now())
{
}

void ownership_agent::start()
{
    context_.loop.every(step_interval, [this] { step(); });
}

void ownership_agent::on_renewal(base::time_point commit_start)
{
    lease_.commit_succeeded(lease_.commit_started(commit_start));
    if (!std::exchange(session_confirmed_, true))
    {
        zone_.session_confirmed(context_.clock.now());
        handlers_.on_read_needed();
    }
    step();
}

void ownership_agent::on_fenced()
{
    const auto now = context_.clock.now();
    ++generation_;
    lease_ = coordination::session_lease();
    session_confirmed_ = false;
    zone_.session_fenced(now);
    zone_.restart(context_.store.incarnation(), now);
    report_ownership_change();
}

void ownership_agent::on_view(const table_view& view)
{
    for (const auto& [daemon, seen] : view.sessions)
    {
        session_values_[daemon] = {seen.version,
                                   view.session_values.at(daemon)};
    }
    zone_.observe({view.sent_at, view.sequence, view.owner_version, view.owner,
                   view.sessions},
                  context_.clock.now());
    if (zone_.role() == coordination::ownership_role::owner)
    {
        owner_version_ = std::max(owner_version_, view.owner_version);
    }
    step();
}

void ownership_agent::on_vm_list(const store::vm_list& list)
{
    std::vector<coordination::listed_daemon> daemons;
    for (const store::vm_entry& vm : list.vms)
    {
        if (vm.role == store::vm_entry::vm_role::entry)
        {
            daemons.push_back(
                {base::daemon_id(vm.name), base::zone_id(vm.zone), vm.leaving});
        }
    }
    zone_.list_received(list.sent_at, daemons, context_.clock.now());
    step();
}

void ownership_agent::on_promise_request(const base::daemon_id& from,
                                         const wire::promise_request& request)
{
    const coordination::promise_answer answer =
        zone_.answer({request.zone, from, request.epoch, request.nonce},
                     context_.clock.now());
    wire::promise_answer reply;
    reply.zone = answer.zone;
    reply.epoch = answer.epoch;
    reply.granted = answer.granted;
    reply.nonce = answer.nonce;
    context_.peers->send(from, reply);
}

void ownership_agent::on_promise_answer(const base::daemon_id& from,
                                        const wire::promise_answer& answer)
{
    zone_.promise_answered(
        {answer.zone, from, answer.epoch, answer.nonce, answer.granted});
}

void ownership_agent::release()
{
    zone_.begin_shutdown();
    step();
}

std::optional<base::time_point> ownership_agent::acting_until() const
{
    if (!zone_.may_act(context_.clock.now(), lease_))
    {
        return std::nullopt;
    }
    return zone_.acting_until(lease_);
}

bool ownership_agent::has_session() const
{
    return lease_.is_valid(context_.clock.now());
}

void ownership_agent::step()
{
    for (const auto& action : zone_.step(context_.clock.now(), lease_))
    {
        if (const auto* promise =
                std::get_if<coordination::promise_dispatch>(&action))
        {
            wire::promise_request request;
            request.zone = promise->request.zone;
            request.epoch = promise->request.epoch;
            request.nonce = promise->request.nonce;
            request.lease =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    coordination::timing().lease);
            context_.peers->send(promise->candidate, request);
        }
        else
        {
            submit_proposal(std::get<coordination::ownership_proposal>(action));
        }
    }
    report_ownership_change();
}

void ownership_agent::submit_proposal(
    const coordination::ownership_proposal& proposal)
{
    const std::string key = "owner/" + proposal.zone.text();
    store::mutation change;
    change.require(key, proposal.owner_version).put(key, to_json(proposal.row));
    // Every commit requires the own session already.
    if (proposal.fence && proposal.fence->daemon != context_.settings.id)
    {
        const std::string session = "session/" + proposal.fence->daemon.text();
        change.require(session, proposal.fence->version);
        if (proposal.fence->version != 0)
        {
            stored_session& seen = session_values_[proposal.fence->daemon];
            if (seen.version != proposal.fence->version)
            {
                zone_.proposal_rejected(proposal.id, context_.clock.now());
                handlers_.on_read_needed();
                return;
            }
            nlohmann::json fenced = seen.value;
            fenced["fenced"] = true;
            change.put(session, std::move(fenced));
        }
    }
    const auto generation = generation_;
    context_.store.submit(
        std::move(change),
        [this, generation, proposal](const store::commit_outcome& outcome)
        {
            if (generation != generation_ || !outcome.final())
            {
                return;
            }
            if (outcome.committed())
            {
                owner_version_ = outcome.version;
                zone_.proposal_applied(proposal.id, outcome.version,
                                       context_.clock.now());
                base::log(base::log_level::info, part,
                          "Owner row was written. zone={} epoch={} owner={}",
                          proposal.zone.text(), proposal.row.epoch,
                          proposal.row.daemon.text());
            }
            else
            {
                zone_.proposal_rejected(proposal.id, context_.clock.now());
                handlers_.on_read_needed();
            }
            report_ownership_change();
        });
}

void ownership_agent::report_ownership_change()
{
    const bool owns = zone_.role() == coordination::ownership_role::owner ||
                      zone_.role() == coordination::ownership_role::releasing;
    if (owns == owns_zone_)
    {
        return;
    }
    owns_zone_ = owns;
    if (owns)
    {
        context_.metrics.count_event("zone_gained");
        handlers_.on_gained(zone_.epoch());
    }
    else
    {
        context_.metrics.count_event("zone_lost");
        handlers_.on_lost();
    }
}

} // namespace coltsfootrack::daemon
