// The daemon's configuration: reads, proofs of freshness, and commits of
// tickets. The rules are in section 3.5 of docs/design.md.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/config/ticket_order.hpp>
#include <coltsfootrack/daemon/config_agent.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr auto part = "config";
constexpr std::chrono::milliseconds step_interval{500};
// A query round sends a message to every peer, so it starts only if no poll of
// the store has given a proof for longer than a poll interval.
constexpr std::chrono::milliseconds query_round_after{2500};
constexpr std::string_view object_prefix = "config/object/";

std::uint64_t sequence_of(const store::row* head)
{
    return head == nullptr ? 0
                           : head->value.at("sequence").get<std::uint64_t>();
}

store::version version_of(const store::row* row)
{
    return row == nullptr ? 0 : row->version;
}

} // namespace

// A ticket that is being read, checked and committed.
struct config_agent::ticket_commit
{
    std::uint64_t id = 0;
    std::uint64_t generation = 0;
    config::ticket change;
    std::uint64_t sequence = 0;
    reply_function reply;
};

config_agent::config_agent(agent_context& context, events handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , acceptor_(context.settings.id)
{
}

void config_agent::start()
{
    context_.loop.every(step_interval, [this] { step(); });
}

void config_agent::on_renewal()
{
    if (!std::exchange(session_confirmed_, true))
    {
        acceptor_.session_confirmed(context_.clock.now());
        handlers_.on_read_needed();
    }
}

void config_agent::on_fenced()
{
    ++generation_;
    session_confirmed_ = false;
    acceptor_ = coordination::acceptor_state(context_.settings.id);
    acceptor_.set_responsive(responsive_);
}

void config_agent::on_view(const table_view& view)
{
    std::map<base::daemon_id, std::uint64_t> versions;
    for (const auto& [daemon, seen] : view.sessions)
    {
        versions[daemon] = seen.version;
    }
    for (const base::daemon_id& member : view.membership.members)
    {
        versions.emplace(member, 0);
    }
    acceptor_.store_read(view.sent_at, view.config_sequence, view.membership,
                         versions);
    freshness_.store_read(view.sent_at, view.config_sequence, view.membership);
    read_newer_config(view.config_sequence);
    step();
}

void config_agent::on_vm_list(const store::vm_list& list)
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
    acceptor_.list_received(list.sent_at, daemons, context_.clock.now());
}

void config_agent::on_sequence_reported(std::uint64_t sequence)
{
    freshness_.reported(sequence);
    acceptor_.sequence_known(sequence);
    publish_freshness();
    read_newer_config(sequence);
}

void config_agent::on_freshness_query(const base::daemon_id& from,
                                      const wire::freshness_query& query)
{
    context_.peers->send(from, make_answer(query.nonce));
}

wire::freshness_answer config_agent::make_answer(std::uint64_t nonce) const
{
    const auto own = acceptor_.answer();
    wire::freshness_answer answer;
    answer.nonce = nonce;
    answer.acceptor = own.ready;
    answer.membership_version = own.membership_version;
    answer.in_doubt = own.in_doubt;
    // The proof is for the sequence in force. An acceptor that knows a higher
    // one reports that one without a proof.
    answer.config_sequence = std::max(freshness_.sequence(), own.sequence);
    const auto age = freshness_.age(context_.clock.now());
    if (age && answer.config_sequence == freshness_.sequence())
    {
        // Rounded up, since a proof must not look younger than it is.
        answer.proof_age = std::chrono::ceil<std::chrono::milliseconds>(*age);
    }
    return answer;
}

void config_agent::on_freshness_answer(const base::daemon_id& from,
                                       const wire::freshness_answer& answer)
{
    coordination::freshness_answer known;
    known.from = from;
    known.round = answer.nonce;
    known.sequence = answer.config_sequence;
    if (answer.proof_age)
    {
        known.proof_age = *answer.proof_age;
    }
    known.acceptor = {answer.acceptor, answer.config_sequence,
                      answer.membership_version, answer.in_doubt};
    freshness_.answered(known);
    publish_freshness();
    read_newer_config(answer.config_sequence);
}

void config_agent::set_responsive(std::set<base::daemon_id> daemons)
{
    responsive_ = std::move(daemons);
    acceptor_.set_responsive(responsive_);
}

std::optional<base::duration> config_agent::proof_age() const
{
    return freshness_.age(context_.clock.now());
}

std::uint64_t config_agent::sequence() const
{
    return freshness_.sequence();
}

std::uint64_t config_agent::membership_version() const
{
    return freshness_.membership().version;
}

void config_agent::step()
{
    const auto now = context_.clock.now();
    if (const auto proposal = acceptor_.plan(now))
    {
        store::mutation change;
        change.require("members/config", proposal->membership_version)
            .put("members/config",
                 to_json(coordination::membership_row{0, proposal->members}));
        for (const auto& [daemon, version] : proposal->session_versions)
        {
            if (daemon != context_.settings.id)
            {
                change.require("session/" + daemon.text(), version);
            }
        }
        const auto generation = generation_;
        context_.store.submit(
            std::move(change),
            [this, generation,
             id = proposal->id](const store::commit_outcome& outcome)
            {
                if (generation != generation_ || !outcome.final())
                {
                    return;
                }
                if (outcome.committed())
                {
                    acceptor_.proposal_applied(id, outcome.version);
                }
                else
                {
                    acceptor_.proposal_rejected(id, context_.clock.now());
                }
                handlers_.on_read_needed();
            });
    }
    const auto age = freshness_.age(now);
    if (!age || *age > query_round_after)
    {
        begin_round();
    }
    publish_freshness();
}

void config_agent::begin_round()
{
    const std::uint64_t round = freshness_.begin_round(context_.clock.now());
    context_.peers->broadcast(wire::freshness_query{round});
    const auto own = acceptor_.answer();
    coordination::freshness_answer answer;
    answer.from = context_.settings.id;
    answer.round = round;
    answer.sequence = freshness_.sequence();
    answer.acceptor = own;
    freshness_.answered(answer);
}

void config_agent::publish_freshness()
{
    const auto now = context_.clock.now();
    const auto age = freshness_.age(now);
    std::optional<base::time_point> until;
    if (age && freshness_.is_current(now))
    {
        until = now - *age + coordination::timing().max_proof_age;
    }
    context_.published.set_config_valid_until(until);
    context_.metrics.set_value("config_sequence",
                               static_cast<double>(freshness_.sequence()));
}

void config_agent::read_newer_config(std::uint64_t sequence)
{
    if (reading_config_ || sequence <= freshness_.sequence())
    {
        return;
    }
    reading_config_ = true;
    context_.store.read({"config/head", "members/config"},
                        {std::string(object_prefix)},
                        [this](const absl::StatusOr<store::read_result>& rows)
                        {
                            reading_config_ = false;
                            if (rows.ok())
                            {
                                apply_rows(*rows);
                            }
                        });
}

void config_agent::apply_rows(const store::read_result& rows)
{
    std::vector<config::object_row> objects;
    for (const store::row& row : rows.rows)
    {
        if (row.key.compare(0, object_prefix.size(), object_prefix) != 0)
        {
            continue;
        }
        const std::string rest = row.key.substr(object_prefix.size());
        const auto slash = rest.find('/');
        if (slash != std::string::npos)
        {
            objects.push_back({rest.substr(0, slash), rest.substr(slash + 1),
                               row.value.dump()});
        }
    }
    const std::uint64_t sequence = sequence_of(rows.find("config/head"));
    if (sequence <= freshness_.sequence())
    {
        return;
    }
    auto next = config::snapshot::from_rows(sequence, objects);
    if (!next.ok())
    {
        // The applied sequence stays behind the known one, so that requests
        // with a team's key are refused.
        base::log(base::log_level::error, part,
                  "Configuration rows are invalid. sequence={} error={}",
                  sequence, std::string(next.status().message()));
        return;
    }
    context_.published.set_config(*next);
    freshness_.applied(sequence, context_.clock.now());
    base::log(base::log_level::info, part,
              "Configuration is in force. sequence={}", sequence);
    publish_freshness();
    handlers_.on_changed();
}

void config_agent::apply_ticket(const config::ticket& change,
                                reply_function reply)
{
    if (!acceptor_.may_accept(context_.clock.now()))
    {
        reply(http::error_response(
            base::make_error(base::error_kind::not_owner,
                             "this daemon does not accept tickets")));
        return;
    }
    auto work = std::make_shared<ticket_commit>();
    work->id = ++last_ticket_commit_;
    work->generation = generation_;
    work->change = change;
    work->reply = std::move(reply);
    context_.store.read(
        {"config/head", "members/config",
         "ticket/" + std::to_string(change.number)},
        {std::string(object_prefix)},
        [this, work](const absl::StatusOr<store::read_result>& rows)
        {
            if (!rows.ok())
            {
                work->reply(http::error_response(rows.status()));
                return;
            }
            commit_ticket(work, *rows);
        });
}

void config_agent::commit_ticket(const std::shared_ptr<ticket_commit>& work,
                                 const store::read_result& rows)
{
    apply_rows(rows);
    const auto current = context_.published.config();
    const store::row* head = rows.find("config/head");
    const std::string ticket_key =
        "ticket/" + std::to_string(work->change.number);
    const store::row* recorded = rows.find(ticket_key);
    const auto refuse = [&work](const absl::Status& status)
    {
        work->reply(http::error_response(status));
    };
    if (current->sequence() != sequence_of(head))
    {
        refuse(base::make_error(base::error_kind::store_conflict,
                                "another ticket was committed meanwhile"));
        return;
    }
    std::optional<std::string> hash;
    if (recorded != nullptr)
    {
        hash = recorded->value.at("hash").get<std::string>();
    }
    const auto order = config::check_ticket_order(
        work->change, hash, current->versions_of(work->change));
    if (!order.ok())
    {
        refuse(order.status());
        return;
    }
    if (*order == config::ticket_order::already_committed)
    {
        work->reply(http::json_response(
            200, {{"ticket", work->change.number},
                  {"sequence", recorded->value.at("sequence")},
                  {"repeated", true}}));
        return;
    }
    const absl::Status content = current->check_ticket(work->change);
    if (!content.ok())
    {
        refuse(content);
        return;
    }
    if (work->generation != generation_ ||
        !acceptor_.ticket_started(work->id, context_.clock.now()))
    {
        refuse(base::make_error(base::error_kind::not_owner,
                                "this daemon does not accept tickets"));
        return;
    }
    work->sequence = current->sequence() + 1;
    store::mutation change;
    // Every change of an object row also changes the head, so requiring the
    // head's version covers all objects.
    change.require("members/config", version_of(rows.find("members/config")))
        .require("config/head", version_of(head))
        .require(ticket_key, 0)
        .put("config/head",
             {{"sequence", work->sequence}, {"ticket", work->change.number}})
        .put(ticket_key, {{"hash", config::content_hash(work->change)},
                          {"sequence", work->sequence}})
        .put("config/log/" + std::to_string(work->sequence),
             nlohmann::json::parse(config::canonical_json(work->change)));
    for (const config::ticket_object& object : work->change.objects)
    {
        const auto row = config::make_row(work->change.number, object);
        change.put(config::row_key(row.kind, row.name),
                   nlohmann::json::parse(row.json));
    }
    context_.store.submit(std::move(change),
                          [this, work](const store::commit_outcome& outcome)
                          { finish_ticket(work, outcome); });
}

void config_agent::finish_ticket(const std::shared_ptr<ticket_commit>& work,
                                 const store::commit_outcome& outcome)
{
    if (outcome.final() && work->generation == generation_)
    {
        acceptor_.ticket_finished(
            work->id, outcome.committed()
                          ? std::optional<std::uint64_t>(work->sequence)
                          : std::nullopt);
    }
    if (!outcome.committed())
    {
        work->reply(http::error_response(base::make_error(
            outcome.reason, outcome.final()
                                ? "the ticket was not accepted"
                                : "the ticket may have been accepted; send the "
                                  "same ticket again")));
        return;
    }
    on_sequence_reported(work->sequence);
    context_.peers->broadcast(wire::config_notice{work->sequence});
    context_.metrics.count_event("ticket_accepted");
    base::log(base::log_level::info, part,
              "Ticket was accepted. ticket={} sequence={}", work->change.number,
              work->sequence);
    work->reply(http::json_response(200, {{"ticket", work->change.number},
                                          {"sequence", work->sequence},
                                          {"repeated", false}}));
}

} // namespace coltsfootrack::daemon
