// The event loop, network and faults of the simulation.

#include <coordination/model_cluster.hpp>

#include <algorithm>
#include <chrono>
#include <fmt/core.h>
#include <utility>

namespace coltsfootrack::coordination
{

using std::chrono::milliseconds;
using std::chrono::seconds;

model_cluster::model_cluster(std::uint64_t seed, bool reliable)
    : source_(base::seeded_random(seed))
    , reliable_(reliable)
{
    table.limit = {100, 100, 0};
    for (int i = 0; i < 3; ++i)
    {
        add_vm(base::zone_id("a"));
        add_vm(base::zone_id("b"));
    }
}

std::string model_cluster::run(const std::vector<model_fault>& faults,
                               base::duration until)
{
    for (const model_fault& fault : faults)
    {
        schedule(milliseconds(fault.at_ms), [this, fault] { inject(fault); });
    }
    schedule(seconds(3), [this] { submit_tickets(); });
    while (!queue_.empty() && violation_.empty() && queue_.top().at <= until)
    {
        const event next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
        check();
    }
    return violation_;
}

void model_cluster::call_store(const model_daemon& from,
                               std::function<void(model_table&)> request,
                               std::function<void()> answer)
{
    const bool slow = now_ < store_slow_until_;
    const base::daemon_id& id = from.id;
    const auto cut = [this, id = base::daemon_id(id)]
    {
        const vm& machine = vms_.at(id);
        return now_ < store_down_until_ || now_ < machine.store_cut_until ||
               now_ < zone_cut_until_[machine.zone] || lost();
    };
    if (cut())
    {
        return;
    }
    schedule(delay(slow),
             [this, slow, id, cut, request = std::move(request),
              answer = std::move(answer), incarnation = from.incarnation]
             {
                 update_list();
                 request(table);
                 check_table();
                 if (cut())
                 {
                     return;
                 }
                 // Only the process that sent the call can receive the answer.
                 schedule(delay(slow),
                          [this, id, answer, incarnation]
                          {
                              deliver(id,
                                      [answer, incarnation](model_daemon& d)
                                      {
                                          if (d.incarnation == incarnation)
                                          {
                                              answer();
                                          }
                                      });
                          });
             });
}

void model_cluster::send(const model_daemon& from, const base::daemon_id& to,
                         std::function<void(model_daemon&)> message)
{
    const auto target = vms_.find(to);
    if (target == vms_.end())
    {
        return;
    }
    const vm& source = vms_.at(from.id);
    const bool other_zone = source.zone != target->second.zone;
    if (now_ < source.peers_cut_until ||
        now_ < target->second.peers_cut_until ||
        (other_zone && (now_ < zone_cut_until_[source.zone] ||
                        now_ < zone_cut_until_[target->second.zone])) ||
        lost())
    {
        return;
    }
    schedule(delay(false), [this, to, message = std::move(message)]
             { deliver(to, message); });
}

base::time_point model_cluster::local_time(const base::daemon_id& daemon) const
{
    const vm& machine = vms_.at(daemon);
    return base::time_point(machine.offset + now_ / 1000000 * machine.rate_ppm);
}

std::uint64_t model_cluster::random(std::uint64_t below)
{
    return source_() % below;
}

std::vector<base::daemon_id> model_cluster::daemon_ids() const
{
    std::vector<base::daemon_id> ids;
    for (const auto& [id, machine] : vms_)
    {
        if (!machine.removed)
        {
            ids.push_back(id);
        }
    }
    return ids;
}

void model_cluster::update_list()
{
    table.listed.clear();
    for (const auto& [id, machine] : vms_)
    {
        if (machine.listed_from <= now_ && now_ < machine.listed_until)
        {
            table.listed.push_back({id, machine.zone, false});
        }
    }
}

void model_cluster::process_fenced(const model_daemon& process)
{
    // The daemon exits and its supervisor restarts it.
    schedule({},
             [this, id = process.id, mark = process.incarnation]
             {
                 const vm& machine = vms_.at(id);
                 if (machine.process && machine.process->incarnation == mark)
                 {
                     kill(id, milliseconds(200));
                 }
             });
}

int model_cluster::owner_index(const base::zone_id& zone) const
{
    const std::vector<base::daemon_id> ids = daemon_ids();
    const auto found =
        std::find(ids.begin(), ids.end(), table.owners.at(zone).daemon);
    return static_cast<int>(found - ids.begin());
}

void model_cluster::schedule(base::duration after, std::function<void()> run)
{
    queue_.push({now_ + after, ++events_, std::move(run)});
}

void model_cluster::deliver(const base::daemon_id& to,
                            std::function<void(model_daemon&)> message)
{
    vm& machine = vms_.at(to);
    if (now_ < machine.paused_until)
    {
        schedule(machine.paused_until - now_,
                 [this, to, message] { deliver(to, message); });
    }
    else if (machine.process)
    {
        message(*machine.process);
    }
}

base::duration model_cluster::delay(bool slow)
{
    if (slow)
    {
        return milliseconds(random(8000));
    }
    return milliseconds(!reliable_ && random(20) == 0 ? random(3000)
                                                      : 1 + random(20));
}

bool model_cluster::lost()
{
    return !reliable_ && random(100) == 0;
}

void model_cluster::add_vm(const base::zone_id& zone)
{
    const base::daemon_id id(fmt::format("{}{:02}", zone.text(), ++vm_count_));
    vm machine;
    machine.zone = zone;
    machine.offset = seconds(1000 + random(100000));
    machine.rate_ppm = 990000 + static_cast<std::int64_t>(random(20001));
    machine.listed_from = now_ + milliseconds(random(5000));
    vms_.emplace(id, std::move(machine));
    start_process(id);
    tick(id);
}

void model_cluster::start_process(const base::daemon_id& id)
{
    vm& machine = vms_.at(id);
    if (!machine.removed && !machine.process)
    {
        machine.paused_until = {};
        machine.process = std::make_unique<model_daemon>(
            *this, id, machine.zone,
            fmt::format("{}-{}", id.text(), ++process_count_));
    }
}

void model_cluster::kill(const base::daemon_id& id,
                         base::duration restart_after)
{
    vms_.at(id).process.reset();
    schedule(restart_after, [this, id] { start_process(id); });
}

void model_cluster::tick(const base::daemon_id& id)
{
    vm& machine = vms_.at(id);
    if (machine.removed)
    {
        return;
    }
    if (machine.process && machine.paused_until <= now_)
    {
        machine.process->tick();
    }
    schedule(milliseconds(100), [this, id] { tick(id); });
}

void model_cluster::inject(const model_fault& fault)
{
    const std::vector<base::daemon_id> ids = daemon_ids();
    const base::daemon_id& id =
        ids[static_cast<std::size_t>(fault.target) % ids.size()];
    vm& machine = vms_.at(id);
    const base::duration length = milliseconds(fault.length_ms);
    switch (fault.kind)
    {
    case model_fault::pause:
        machine.paused_until = now_ + length;
        break;
    case model_fault::kill_process:
        kill(id, length);
        break;
    case model_fault::remove_vm:
        machine.process.reset();
        machine.removed = true;
        machine.listed_until = now_ + milliseconds(random(5000));
        schedule(length, [this, zone = machine.zone] { add_vm(zone); });
        break;
    case model_fault::store_outage:
        store_down_until_ = now_ + length;
        break;
    case model_fault::cut_from_store:
        machine.store_cut_until = now_ + length;
        break;
    case model_fault::cut_from_peers:
        machine.peers_cut_until = now_ + length;
        break;
    case model_fault::cut_zone:
        zone_cut_until_[machine.zone] = now_ + length;
        break;
    case model_fault::planned_shutdown:
        deliver(id, [](model_daemon& d) { d.zone.begin_shutdown(); });
        schedule(seconds(4), [this, id, length] { kill(id, length); });
        break;
    default:
        store_slow_until_ = now_ + length;
        break;
    }
}

void model_cluster::submit_tickets()
{
    const std::vector<base::daemon_id> ids = daemon_ids();
    // A ticket in flight when an outage begins stays in doubt and blocks
    // requests with an API key, so reliable clusters get none later on.
    if (reliable_ && now_ > seconds(30))
    {
        return;
    }
    const std::uint64_t number = ++tickets_;
    const base::resources limit{static_cast<std::int64_t>(40 + random(80)),
                                static_cast<std::int64_t>(40 + random(80)), 0};
    // Two operators submit a ticket to two daemons at the same time.
    for (std::uint64_t i = 0; i < 2; ++i)
    {
        deliver(ids[random(ids.size())], [number, limit](model_daemon& d)
                { d.submit_ticket(number, limit); });
    }
    schedule(milliseconds(random(8000)), [this] { submit_tickets(); });
}

} // namespace coltsfootrack::coordination
