// The quota slices of the own zone. The rules are in section 3.6 of
// docs/design.md.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/config/ticket_object.hpp>
#include <coltsfootrack/daemon/quota_agent.hpp>
#include <coltsfootrack/daemon/resources_json.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr auto part = "quota";
constexpr std::string_view team_prefix = "config/object/team/";
// The rows of ledgers that need a read are read at most this often.
constexpr std::chrono::milliseconds read_interval{500};
// The rows of teams that wait for a larger slice are polled this often: other
// zones return slices without notice, and a ledger plans no transfer while the
// row it knows has no free quota.
constexpr std::chrono::seconds starved_read_interval{2};

coordination::quota_row read_row(const store::row* row)
{
    coordination::quota_row result;
    if (row != nullptr)
    {
        result.version = row->version;
        for (const auto& [zone, amount] : row->value.at("slices").items())
        {
            result.slices[base::zone_id(zone)] = resources_from_json(amount);
        }
    }
    return result;
}

nlohmann::json write_row(const coordination::quota_proposal& proposal)
{
    auto slices = nlohmann::json::object();
    for (const auto& [zone, amount] : proposal.slices)
    {
        slices[zone.text()] = to_json(amount);
    }
    return {{"slices", slices}};
}

} // namespace

quota_agent::quota_agent(agent_context& context, slice_handler on_slice)
    : context_(context)
    , on_slice_(std::move(on_slice))
{
}

void quota_agent::stop()
{
    stopped_ = true;
}

void quota_agent::config_changed()
{
    if (std::exchange(reading_limits_, true))
    {
        limits_stale_ = true;
        return;
    }
    context_.store.read(
        {}, {std::string(team_prefix)},
        [self =
             shared_from_this()](const absl::StatusOr<store::read_result>& rows)
        {
            self->reading_limits_ = false;
            if (self->stopped_)
            {
                return;
            }
            if (!rows.ok())
            {
                self->limits_stale_ = true;
                return;
            }
            const std::size_t zones = std::max<std::size_t>(
                1, self->context_.published.directory()->zones().size());
            for (const store::row& row : rows->rows)
            {
                const auto object =
                    config::parse_object(row.value.at("object").dump());
                const auto* team =
                    object.ok() ? std::get_if<config::team>(&*object) : nullptr;
                if (team == nullptr)
                {
                    base::log(base::log_level::error, part,
                              "Team row is malformed. key={}", row.key);
                    continue;
                }
                auto& ledger =
                    self->ledgers_
                        .try_emplace(team->name, team->name,
                                     self->context_.settings.zone, zones)
                        .first->second;
                ledger.limit_changed(team->deleted ? base::resources()
                                                   : team->limit,
                                     row.version, self->context_.clock.now());
            }
            self->read_rows();
        });
}

void quota_agent::read_rows()
{
    const auto now = context_.clock.now();
    if (reading_rows_ || now < next_read_)
    {
        return;
    }
    std::vector<std::string> keys;
    const bool read_starved = now >= next_starved_read_;
    for (const auto& [team, ledger] : ledgers_)
    {
        if (ledger.needs_read() ||
            (read_starved && starved_teams_.count(team) != 0))
        {
            keys.push_back("quota/" + team.text());
        }
    }
    if (keys.empty())
    {
        return;
    }
    if (read_starved)
    {
        next_starved_read_ = now + starved_read_interval;
    }
    reading_rows_ = true;
    next_read_ = now + read_interval;
    context_.store.read(keys, {},
                        [self = shared_from_this(),
                         keys](const absl::StatusOr<store::read_result>& rows)
                        {
                            self->reading_rows_ = false;
                            if (self->stopped_ || !rows.ok())
                            {
                                return;
                            }
                            for (const std::string& key : keys)
                            {
                                const base::team_id team(key.substr(6));
                                const auto found = self->ledgers_.find(team);
                                if (found != self->ledgers_.end())
                                {
                                    found->second.row_read(
                                        read_row(rows->find(key)));
                                    self->publish(team);
                                }
                            }
                        });
}

void quota_agent::step(const placement::scheduler_counters& counters,
                       const base::resources& pending)
{
    const auto now = context_.clock.now();
    if (std::exchange(limits_stale_, false))
    {
        config_changed();
    }
    std::map<base::team_id, const placement::team_counters*> demand;
    for (const placement::team_counters& team : counters.teams)
    {
        demand[team.team] = &team;
    }
    starved_teams_.clear();
    for (auto& [team, ledger] : ledgers_)
    {
        const auto found = demand.find(team);
        const base::resources used =
            found == demand.end() ? base::resources() : found->second->used;
        const base::resources waiting =
            found == demand.end() ? base::resources() : found->second->waiting;
        // Workers that are not adopted yet may run any tasks of the team, up to
        // the committed slice.
        const base::resources bound = base::component_max(
            used, base::component_min(ledger.committed(), used + pending));
        ledger.set_demand(bound, waiting, now);
        if (const auto proposal = ledger.plan(now))
        {
            commit(team, *proposal);
        }
        else if (waiting != base::resources() &&
                 !(used + waiting).fits_in(ledger.committed()))
        {
            starved_teams_.insert(team);
        }
        publish(team);
    }
    read_rows();
}

void quota_agent::commit(const base::team_id& team,
                         const coordination::quota_proposal& proposal)
{
    const std::string key = "quota/" + team.text();
    store::mutation change;
    change.require(key, proposal.row_version).put(key, write_row(proposal));
    if (proposal.limit_version)
    {
        change.require(std::string(team_prefix) + team.text(),
                       *proposal.limit_version);
    }
    context_.metrics.count_event("quota_transfer");
    context_.store.submit(
        std::move(change),
        [self = shared_from_this(), team,
         id = proposal.id](const store::commit_outcome& outcome)
        {
            auto& ledger = self->ledgers_.at(team);
            if (self->stopped_)
            {
                return;
            }
            if (outcome.committed())
            {
                ledger.proposal_applied(id, outcome.version);
            }
            else if (!outcome.final())
            {
                ledger.outcome_unknown(id);
            }
            else
            {
                ledger.proposal_rejected(id);
                if (outcome.result == store::commit_outcome::result::conflict)
                {
                    self->limits_stale_ = true;
                }
            }
            self->publish(team);
        });
}

void quota_agent::publish(const base::team_id& team)
{
    const base::resources usable = ledgers_.at(team).usable();
    const auto found = published_.find(team);
    if (found == published_.end() || found->second != usable)
    {
        published_[team] = usable;
        on_slice_(team, usable);
    }
}

} // namespace coltsfootrack::daemon
