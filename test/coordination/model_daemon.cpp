// A daemon process of the model and its commit stream.

#include <coordination/model_daemon.hpp>
#include <coordination/model_world.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfootrack::coordination
{

using std::chrono::milliseconds;
using std::chrono::seconds;

model_daemon::model_daemon(model_world& world, base::daemon_id id,
                           base::zone_id zone, std::string incarnation)
    : world_(world)
    , id_(std::move(id))
    , zone_id_(std::move(zone))
    , incarnation_(std::move(incarnation))
    , zone_(zone_id_, id_, incarnation_, world.local_time(id_))
    , acceptor_(id_)
    , freshness_({}, world.random(1U << 30U) << 20U)
{
}

void model_daemon::tick()
{
    if (fenced_)
    {
        return;
    }
    if (due(last_read_, seconds(1)))
    {
        read_table();
    }
    if (due(last_list_, seconds(2)))
    {
        const base::time_point sent = now();
        auto list = std::make_shared<std::vector<listed_daemon>>();
        world_.call_store(
            *this,
            [list, &world = world_](model_table&) { *list = world.listed(); },
            [list, sent](model_daemon& self)
            {
                self.zone_.list_received(sent, *list, self.now());
                self.acceptor_.list_received(sent, *list, self.now());
            });
    }
    if (due(last_round_, seconds(2)))
    {
        const std::uint64_t round = freshness_.begin_round(now());
        for (const base::daemon_id& peer : world_.daemon_ids())
        {
            if (peer != id_)
            {
                world_.send(*this, peer,
                            [from = id_, round](model_daemon& d)
                            { d.receive_query(from, round); });
            }
        }
        freshness_.answered({id_, round, freshness_.sequence(), std::nullopt,
                             acceptor_.answer()});
    }
    run_zone();
    run_acceptor();
    run_quota();
    run_stream();
}

void model_daemon::shut_down()
{
    zone_.begin_shutdown();
}

void model_daemon::submit_ticket(std::uint64_t number,
                                 const base::resources& limit)
{
    if (!acceptor_.ticket_started(number))
    {
        return;
    }
    const std::uint64_t membership = acceptor_.membership().version;
    const std::uint64_t head = acceptor_.answer().sequence;
    auto sequence = std::make_shared<std::uint64_t>(0);
    mutations_.push_back({[membership, head](const model_table& table) {
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
                              freshness_.reported(head + 1);
                          },
                          [this, number]
                          {
                              acceptor_.ticket_finished(number, std::nullopt);
                          }});
}

void model_daemon::receive_promise_request(const base::daemon_id& from,
                                           const promise_request& request)
{
    const promise_answer answer = zone_.answer(request, now());
    world_.send(*this, from,
                [answer](model_daemon& d) { d.receive_promise(answer); });
}

void model_daemon::receive_promise(const promise_answer& answer)
{
    zone_.promise_answered(answer);
}

void model_daemon::receive_query(const base::daemon_id& from,
                                 std::uint64_t round)
{
    const freshness_answer answer{id_, round, freshness_.sequence(),
                                  freshness_.age(now()), acceptor_.answer()};
    world_.send(*this, from,
                [answer](model_daemon& d) { d.receive_answer(answer); });
}

void model_daemon::receive_answer(const freshness_answer& answer)
{
    heard_[answer.from] = now();
    freshness_.answered(answer);
}

base::time_point model_daemon::now() const
{
    return world_.local_time(id_);
}

bool model_daemon::may_act() const
{
    return zone_.may_act(now(), lease_);
}

bool model_daemon::is_current() const
{
    return freshness_.is_current(now());
}

std::uint64_t model_daemon::sequence() const
{
    return freshness_.sequence();
}

base::resources model_daemon::usable() const
{
    return quota_ && may_act() ? quota_->usable() : base::resources{};
}

const base::daemon_id& model_daemon::id() const
{
    return id_;
}

const base::zone_id& model_daemon::zone() const
{
    return zone_id_;
}

const std::string& model_daemon::incarnation() const
{
    return incarnation_;
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
    world_.call_store(
        *this, [copy](model_table& table) { *copy = table; },
        [copy, sent](model_daemon& self) { self.table_read(sent, *copy); });
}

void model_daemon::table_read(base::time_point sent, const model_table& table)
{
    if (!session_version_)
    {
        session_version_ = table.session_version(id_);
    }
    zone_observation seen;
    seen.sent = sent;
    seen.sequence = table.sequence;
    seen.owner_version = table.owner_version(zone_id_);
    if (seen.owner_version != 0)
    {
        seen.owner = table.owners.at(zone_id_);
    }
    for (const auto& [daemon, session] : table.sessions)
    {
        if (session.row.zone == zone_id_)
        {
            seen.sessions[daemon] = session;
        }
    }
    zone_.observe(seen, now());
    std::map<base::daemon_id, std::uint64_t> versions;
    for (const base::daemon_id& member : table.membership.members)
    {
        versions[member] = table.session_version(member);
    }
    acceptor_.store_read(sent, table.head, table.membership, versions);
    freshness_.store_read(sent, table.head, table.membership);
    freshness_.applied(table.head, now());
    if (quota_ && sent > quota_since_)
    {
        quota_->row_read(table.quota);
        quota_->limit_changed(table.limit, table.limit_version, now());
    }
}

void model_daemon::run_zone()
{
    for (const ownership_action& action : zone_.step(now(), lease_))
    {
        if (const auto* dispatch = std::get_if<promise_dispatch>(&action))
        {
            world_.send(
                *this, dispatch->candidate,
                [from = id_, request = dispatch->request](model_daemon& d)
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
    for (const auto& [daemon, at] : heard_)
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
        if (zone_.role() == ownership_role::observer ||
            zone_.role() == ownership_role::candidate)
        {
            quota_.reset();
        }
        return;
    }
    if (!quota_ || quota_epoch_ != zone_.epoch())
    {
        quota_.emplace(base::team_id("t"), zone_id_, 2);
        quota_epoch_ = zone_.epoch();
        quota_since_ = now();
        use_ = {};
    }
    if (due(last_demand_, seconds(4)))
    {
        waiting_ = {static_cast<std::int64_t>(world_.random(60)),
                    static_cast<std::int64_t>(world_.random(60)), 0};
        use_ = component_min(use_, waiting_);
    }
    const base::resources usable = quota_->usable();
    if (use_.fits_in(usable))
    {
        // Waiting work starts as far as it fits.
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

void model_daemon::run_stream()
{
    if (!session_version_)
    {
        return;
    }
    if (!open_.empty())
    {
        if (now() - open_.back().sent > seconds(1))
        {
            lease_.outcome_unknown(open_.back().attempt);
            if (due(last_resolve_, seconds(1)))
            {
                resolve();
            }
        }
        return;
    }
    if (!mutations_.empty())
    {
        const model_mutation next = mutations_.front();
        mutations_.pop_front();
        send_commit(next);
    }
    else if (now() - last_commit_ >= seconds(2))
    {
        send_commit(std::nullopt);
    }
}

void model_daemon::send_commit(std::optional<model_mutation> mutation)
{
    last_commit_ = now();
    const std::string token = incarnation_ + "/" + std::to_string(++counter_);
    open_.push_back({token, lease_.commit_started(now()), mutation, now()});
    session_row row{incarnation_, zone_id_, "", counter_, token, false};
    auto result = std::make_shared<commit_result>();
    world_.call_store(
        *this,
        [result, row, mutation, id = id_,
         condition = *session_version_](model_table& table)
        {
            result->session_holds = table.session_version(id) == condition;
            result->mutation_holds = !mutation || mutation->holds(table);
            if (result->session_holds && result->mutation_holds)
            {
                result->version = ++table.sequence;
                table.sessions[id] = {result->version, row};
                if (mutation)
                {
                    mutation->write(table);
                }
            }
        },
        [token, result](model_daemon& self)
        { self.commit_answered(token, *result); });
}

void model_daemon::commit_answered(const std::string& token,
                                   commit_result result)
{
    const auto found = std::find_if(open_.begin(), open_.end(),
                                    [&token](const open_commit& commit)
                                    { return commit.token == token; });
    if (found == open_.end())
    {
        return;
    }
    if (result.version != 0)
    {
        succeed(token, result.version);
    }
    else if (result.session_holds)
    {
        const open_commit commit = *found;
        open_.erase(found);
        reject(commit);
    }
    else
    {
        // Fenced, or an earlier open commit has taken effect.
        resolve();
    }
}

void model_daemon::resolve()
{
    auto row = std::make_shared<observed_session>();
    world_.call_store(
        *this,
        [row, id = id_](model_table& table) { *row = table.sessions[id]; },
        [row](model_daemon& self) { self.resolved(*row); });
}

void model_daemon::resolved(const observed_session& row)
{
    if (open_.empty() || fenced_)
    {
        return;
    }
    for (const open_commit& commit : open_)
    {
        if (row.row.token == commit.token && !row.row.fenced)
        {
            succeed(std::string(commit.token), row.version);
            return;
        }
    }
    if (row.version == *session_version_)
    {
        // Write once more under the old version before any retry.
        if (now() - open_.back().sent > seconds(1))
        {
            send_commit(std::nullopt);
        }
        return;
    }
    if (row.version > *session_version_)
    {
        fenced_ = true;
        lease_.fenced();
        zone_.session_fenced(now());
        world_.process_fenced(*this);
    }
}

void model_daemon::succeed(const std::string& token, std::uint64_t version)
{
    const std::vector<open_commit> commits = std::move(open_);
    open_.clear();
    session_version_ = version;
    zone_.session_confirmed(now());
    acceptor_.session_confirmed(now());
    for (const open_commit& commit : commits)
    {
        if (commit.token != token)
        {
            reject(commit);
            continue;
        }
        lease_.commit_succeeded(commit.attempt);
        if (commit.mutation)
        {
            commit.mutation->applied(version);
        }
    }
}

void model_daemon::reject(const open_commit& commit)
{
    lease_.commit_rejected(commit.attempt);
    if (commit.mutation)
    {
        commit.mutation->rejected();
    }
}

void model_daemon::propose(const ownership_proposal& proposal)
{
    mutations_.push_back(
        {[proposal](const model_table& table)
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
                 table.sessions[proposal.fence->daemon] = {table.sequence,
                                                           proposal.fence->row};
             }
         },
         [this, id = proposal.id](std::uint64_t version)
         { zone_.proposal_applied(id, version, now()); },
         [this, id = proposal.id]
         {
             zone_.proposal_rejected(id, now());
         }});
}

void model_daemon::propose(const membership_proposal& proposal)
{
    mutations_.push_back(
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
    mutations_.push_back(
        {[proposal](const model_table& table)
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
