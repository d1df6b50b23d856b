// A daemon process of the simulation.

#include <coordination/model_cluster.hpp>
#include <coordination/model_daemon.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfootrack::coordination
{

using std::chrono::milliseconds;
using std::chrono::seconds;

model_daemon::model_daemon(model_cluster& cluster, const base::daemon_id& name,
                           const base::zone_id& in_zone,
                           const std::string& process)
    : id(name)
    , zone_id(in_zone)
    , incarnation(process)
    , zone(in_zone, name, process, cluster.local_time(name))
    , freshness({}, cluster.random(1U << 30U) << 20U)
    , cluster_(cluster)
    , acceptor_(name)
    , stream_(cluster, *this,
              [this]
              {
                  zone.session_confirmed(now());
                  acceptor_.session_confirmed(now());
              })
{
}

void model_daemon::tick()
{
    if (stream_.lease.is_fenced())
    {
        return;
    }
    if (due(last_read_, seconds(1)))
    {
        read_table();
    }
    if (due(last_round_, seconds(2)))
    {
        const std::uint64_t round = freshness.begin_round(now());
        for (const base::daemon_id& peer : cluster_.daemon_ids())
        {
            if (peer != id)
            {
                cluster_.send(*this, peer,
                              [from = id, round](model_daemon& d)
                              { d.receive_query(from, round); });
            }
        }
        freshness.answered({id, round, freshness.sequence(), std::nullopt,
                            acceptor_.answer()});
    }
    run_zone();
    run_acceptor();
    run_quota();
    stream_.run();
}

void model_daemon::submit_ticket(std::uint64_t number,
                                 const base::resources& limit)
{
    if (!acceptor_.ticket_started(number, now()))
    {
        return;
    }
    const std::uint64_t membership = acceptor_.membership().version;
    const std::uint64_t head = acceptor_.answer().sequence;
    stream_.push({[membership, head](const model_table& table) {
                      return table.membership.version == membership &&
                             table.head == head;
                  },
                  [limit, head](model_table& table)
                  {
                      table.head = head + 1;
                      table.limit = limit;
                      table.limit_version = table.sequence;
                  },
                  [this, number, head](std::uint64_t)
                  {
                      acceptor_.ticket_finished(number, head + 1);
                      freshness.reported(head + 1);
                  },
                  [this, number]
                  {
                      acceptor_.ticket_finished(number, std::nullopt);
                  }});
}

void model_daemon::receive_promise_request(const base::daemon_id& from,
                                           const promise_request& request)
{
    const promise_answer answer = zone.answer(request, now());
    cluster_.send(*this, from,
                  [answer](model_daemon& d)
                  { d.zone.promise_answered(answer); });
}

void model_daemon::receive_query(const base::daemon_id& from,
                                 std::uint64_t round)
{
    const freshness_answer answer{id, round, freshness.sequence(),
                                  freshness.age(now()), acceptor_.answer()};
    cluster_.send(*this, from,
                  [answer](model_daemon& d)
                  {
                      d.last_heard_[answer.from] = d.now();
                      d.freshness.answered(answer);
                  });
}

base::time_point model_daemon::now() const
{
    return cluster_.local_time(id);
}

bool model_daemon::may_act() const
{
    return zone.may_act(now(), stream_.lease);
}

base::resources model_daemon::usable() const
{
    return quota_ && may_act() ? quota_->usable() : base::resources{};
}

bool model_daemon::due(base::time_point& last, base::duration interval) const
{
    if (last != base::time_point{} && now() - last < interval)
    {
        return false;
    }
    last = now();
    return true;
}

void model_daemon::read_table()
{
    const base::time_point sent = now();
    auto copy = std::make_shared<model_table>();
    cluster_.call_store(
        *this, [copy](model_table& table) { *copy = table; },
        [this, copy, sent] { table_read(sent, *copy); });
}

void model_daemon::table_read(base::time_point sent, const model_table& table)
{
    stream_.start(table.session_version(id));
    zone.list_received(sent, table.listed, now());
    acceptor_.list_received(sent, table.listed, now());
    zone_observation seen;
    seen.sent = sent;
    seen.sequence = table.sequence;
    seen.owner_version = table.owner_version(zone_id);
    if (seen.owner_version != 0)
    {
        seen.owner = table.owners.at(zone_id);
    }
    for (const auto& [daemon, session] : table.sessions)
    {
        if (session.row.zone == zone_id)
        {
            seen.sessions[daemon] = session;
        }
    }
    zone.observe(seen, now());
    std::map<base::daemon_id, std::uint64_t> versions;
    for (const base::daemon_id& member : table.membership.members)
    {
        versions[member] = table.session_version(member);
    }
    acceptor_.store_read(sent, table.head, table.membership, versions);
    freshness.store_read(sent, table.head, table.membership);
    freshness.applied(table.head, now());
    if (quota_ && sent > quota_since_)
    {
        quota_->row_read(table.quota);
        quota_->limit_changed(table.limit, table.limit_version, now());
    }
}

void model_daemon::run_zone()
{
    for (const ownership_action& action : zone.step(now(), stream_.lease))
    {
        if (const auto* dispatch = std::get_if<promise_dispatch>(&action))
        {
            cluster_.send(
                *this, dispatch->candidate,
                [from = id, request = dispatch->request](model_daemon& d)
                { d.receive_promise_request(from, request); });
        }
        else
        {
            propose(std::get<ownership_proposal>(action));
        }
    }
}

void model_daemon::run_acceptor()
{
    std::set<base::daemon_id> responsive;
    for (const auto& [daemon, at] : last_heard_)
    {
        if (now() - at < seconds(10))
        {
            responsive.insert(daemon);
        }
    }
    acceptor_.set_responsive(responsive);
    if (const auto proposal = acceptor_.plan(now()))
    {
        propose(*proposal);
    }
}

void model_daemon::run_quota()
{
    if (!may_act())
    {
        if (zone.role() == ownership_role::observer ||
            zone.role() == ownership_role::candidate)
        {
            quota_.reset();
        }
        return;
    }
    if (!quota_ || quota_epoch_ != zone.epoch())
    {
        quota_.emplace(base::team_id("t"), zone_id, 2);
        quota_epoch_ = zone.epoch();
        quota_since_ = now();
        use_ = {};
    }
    if (due(last_demand_, seconds(4)))
    {
        waiting_ = {static_cast<std::int64_t>(cluster_.random(60)),
                    static_cast<std::int64_t>(cluster_.random(60)), 0};
        use_ = component_min(use_, waiting_);
    }
    const base::resources usable = quota_->usable();
    if (use_.fits_in(usable))
    {
        // Waiting tasks start as far as they fit.
        use_ = component_max(use_, component_min(waiting_, usable));
        over_since_ = now();
    }
    else if (now() - over_since_ > seconds(3))
    {
        use_ -= quota_->to_preempt();
    }
    quota_->set_demand(use_, component_max(waiting_ - use_, {}), now());
    if (const auto proposal = quota_->plan(now()))
    {
        propose(*proposal);
    }
}

void model_daemon::propose(const ownership_proposal& proposal)
{
    stream_.push({[proposal](const model_table& table)
                  {
                      return table.owner_version(proposal.zone) ==
                                 proposal.owner_version &&
                             (!proposal.fence ||
                              table.session_version(proposal.fence->daemon) ==
                                  proposal.fence->version);
                  },
                  [proposal](model_table& table)
                  {
                      table.owner_versions[proposal.zone] = table.sequence;
                      table.owners[proposal.zone] = proposal.row;
                      if (proposal.fence && proposal.fence->version != 0)
                      {
                          table.sessions[proposal.fence->daemon] = {
                              table.sequence, proposal.fence->row};
                      }
                  },
                  [this, id = proposal.id](std::uint64_t version)
                  { zone.proposal_applied(id, version, now()); },
                  [this, id = proposal.id]
                  {
                      zone.proposal_rejected(id, now());
                  }});
}

void model_daemon::propose(const membership_proposal& proposal)
{
    stream_.push(
        {[proposal](const model_table& table)
         {
             return table.membership.version == proposal.membership_version &&
                    std::all_of(proposal.session_versions.begin(),
                                proposal.session_versions.end(),
                                [&table](const auto& entry) {
                                    return table.session_version(entry.first) ==
                                           entry.second;
                                });
         },
         [proposal](model_table& table) {
             table.membership = {table.sequence, proposal.members};
         },
         [this, id = proposal.id](std::uint64_t version)
         { acceptor_.proposal_applied(id, version); },
         [this, id = proposal.id]
         {
             acceptor_.proposal_rejected(id, now());
         }});
}

void model_daemon::propose(const quota_proposal& proposal)
{
    const std::uint64_t epoch = quota_epoch_;
    const auto current = [this, epoch]
    {
        return quota_ && quota_epoch_ == epoch;
    };
    stream_.push({[proposal](const model_table& table)
                  {
                      return table.quota.version == proposal.row_version &&
                             (!proposal.limit_version ||
                              table.limit_version == *proposal.limit_version);
                  },
                  [proposal](model_table& table) {
                      table.quota = {table.sequence, proposal.slices};
                  },
                  [this, current, id = proposal.id](std::uint64_t version)
                  {
                      if (current())
                      {
                          quota_->proposal_applied(id, version);
                      }
                  },
                  [this, current, id = proposal.id]
                  {
                      if (current())
                      {
                          quota_->proposal_rejected(id);
                      }
                  }});
}

} // namespace coltsfootrack::coordination
