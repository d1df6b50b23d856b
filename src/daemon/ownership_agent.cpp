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

ownership_agent::ownership_agent(environment& shared, events handlers)
    : shared_(shared)
    , handlers_(std::move(handlers))
    , zone_(shared.settings.zone, shared.settings.id,
            shared.store.incarnation(), shared.clock.now())
{
}

void ownership_agent::start()
{
    shared_.loop.every(step_interval, [this] { step(); });
}

void ownership_agent::on_renewal(base::time_point commit_start)
{
    lease_.commit_succeeded(lease_.commit_started(commit_start));
    if (!std::exchange(confirmed_, true))
    {
        zone_.session_confirmed(shared_.clock.now());
        handlers_.on_read_needed();
    }
    step();
}

void ownership_agent::on_fenced()
{
    const auto now = shared_.clock.now();
    ++generation_;
    lease_ = coordination::session_lease();
    confirmed_ = false;
    zone_.session_fenced(now);
    zone_.restart(shared_.store.incarnation(), now);
    after_change();
}

void ownership_agent::on_view(const table_view& view)
{
    for (const auto& [daemon, seen] : view.sessions)
    {
        session_values_[daemon] = {seen.version,
                                   view.session_values.at(daemon)};
    }
    zone_.observe({view.sent, view.sequence, view.owner_version, view.owner,
                   view.sessions},
                  shared_.clock.now());
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
    zone_.list_received(list.sent_at, daemons, shared_.clock.now());
    step();
}

void ownership_agent::on_promise_request(const base::daemon_id& from,
                                         const wire::promise_request& request)
{
    const coordination::promise_answer answer =
        zone_.answer({request.zone, from, request.epoch, request.nonce},
                     shared_.clock.now());
    wire::promise_answer reply;
    reply.zone = answer.zone;
    reply.epoch = answer.epoch;
    reply.granted = answer.granted;
    reply.nonce = answer.nonce;
    shared_.peers->send(from, reply);
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
    if (!zone_.may_act(shared_.clock.now(), lease_))
    {
        return std::nullopt;
    }
    return zone_.acting_until(lease_);
}

bool ownership_agent::has_session() const
{
    return lease_.is_valid(shared_.clock.now());
}

void ownership_agent::step()
{
    for (const auto& action : zone_.step(shared_.clock.now(), lease_))
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
            shared_.peers->send(promise->candidate, request);
        }
        else
        {
            propose(std::get<coordination::ownership_proposal>(action));
        }
    }
    after_change();
}

void ownership_agent::propose(const coordination::ownership_proposal& proposal)
{
    const std::string key = "owner/" + proposal.zone.text();
    store::mutation change;
    change.require(key, proposal.owner_version).put(key, to_json(proposal.row));
    // The own session is a condition of every commit already.
    if (proposal.fence && proposal.fence->daemon != shared_.settings.id)
    {
        const std::string session = "session/" + proposal.fence->daemon.text();
        change.require(session, proposal.fence->version);
        if (proposal.fence->version != 0)
        {
            stored_session& seen = session_values_[proposal.fence->daemon];
            if (seen.version != proposal.fence->version)
            {
                zone_.proposal_rejected(proposal.id, shared_.clock.now());
                handlers_.on_read_needed();
                return;
            }
            nlohmann::json fenced = seen.value;
            fenced["fenced"] = true;
            change.put(session, std::move(fenced));
        }
    }
    const auto generation = generation_;
    shared_.store.submit(
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
                                       shared_.clock.now());
                base::log(base::log_level::info, part,
                          "Owner row was written. zone={} epoch={} owner={}",
                          proposal.zone.text(), proposal.row.epoch,
                          proposal.row.daemon.text());
            }
            else
            {
                zone_.proposal_rejected(proposal.id, shared_.clock.now());
                handlers_.on_read_needed();
            }
            after_change();
        });
}

void ownership_agent::after_change()
{
    const bool owns = zone_.role() == coordination::ownership_role::owner ||
                      zone_.role() == coordination::ownership_role::releasing;
    if (owns == owning_)
    {
        return;
    }
    owning_ = owns;
    if (owns)
    {
        shared_.metrics.count_event("zone_gained");
        handlers_.on_gained(zone_.epoch());
    }
    else
    {
        shared_.metrics.count_event("zone_lost");
        handlers_.on_lost();
    }
}

} // namespace coltsfootrack::daemon
