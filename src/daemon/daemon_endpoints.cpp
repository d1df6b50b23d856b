// The HTTP endpoints of the daemon; section 3.10 of docs/design.md lists them.

#include <coltsfootrack/config/ticket.hpp>
#include <coltsfootrack/daemon/blocking_store.hpp>
#include <coltsfootrack/daemon/daemon_process.hpp>
#include <coltsfootrack/daemon/resources_json.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr std::chrono::seconds control_timeout{4};
constexpr std::chrono::seconds ticket_timeout{8};
constexpr std::string_view forwarded_header = "X-Forwarded-Ticket";

bool starts_with(const std::string& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

http::response not_found(const http::request& message)
{
    return http::error_response(base::make_error(
        base::error_kind::not_found, message.method + " " + message.path));
}

http::response timeout_answer(base::error_kind kind)
{
    return http::error_response(
        base::make_error(kind, "the daemon did not answer in time"));
}

} // namespace

http::response daemon_process::route(const http::request& message)
{
    const std::string& path = message.path;
    if (path == "/healthz")
    {
        return health();
    }
    if (path == "/metrics")
    {
        http::response answer;
        answer.headers.add("Content-Type", "text/plain; version=0.0.4");
        answer.body = metrics_.text();
        return answer;
    }
    if (path == "/v1/status" && message.method == "GET")
    {
        return status();
    }
    if (path == "/v1/worker-events" && message.method == "POST")
    {
        return worker_events(message);
    }
    if (path == "/v1/drain" && message.method == "POST")
    {
        drain_requested_ = true;
        return http::json_response(202, {{"draining", true}});
    }
    if (starts_with(path, "/v1/tickets"))
    {
        if (message.method == "POST" && path == "/v1/tickets")
        {
            return apply_ticket(message);
        }
        if (message.method == "POST" && path == "/v1/tickets/check")
        {
            return check_ticket(message);
        }
        if (message.method == "GET" && starts_with(path, "/v1/tickets/"))
        {
            return show_ticket(path.substr(12));
        }
        return not_found(message);
    }
    if (starts_with(path, "/v1/jobs"))
    {
        return route_job(path.substr(8), message);
    }
    constexpr std::string_view services = "/v1/services/";
    constexpr std::string_view requests = "/requests";
    if (message.method == "POST" && starts_with(path, services) &&
        path.size() > services.size() + requests.size() &&
        path.compare(path.size() - requests.size(), requests.size(),
                     requests) == 0)
    {
        if (published_.draining())
        {
            metrics_.count_refusal(base::error_kind::draining);
            return http::error_response(base::make_error(
                base::error_kind::draining, "the daemon shuts down"));
        }
        return requests_.handle(
            path.substr(services.size(),
                        path.size() - services.size() - requests.size()),
            message);
    }
    return not_found(message);
}

http::response daemon_process::route_job(const std::string& path,
                                         const http::request& message)
{
    if (path.empty() && message.method == "POST")
    {
        if (published_.draining())
        {
            metrics_.count_refusal(base::error_kind::draining);
            return http::error_response(base::make_error(
                base::error_kind::draining, "the daemon shuts down"));
        }
        return jobs_.submit(message);
    }
    if (path.size() < 2 || path[0] != '/')
    {
        return not_found(message);
    }
    std::string id = path.substr(1);
    constexpr std::string_view suffix = "/explain";
    if (message.method == "GET" && id.size() > suffix.size() &&
        id.compare(id.size() - suffix.size(), suffix.size(), suffix) == 0)
    {
        id.resize(id.size() - suffix.size());
        return explain(id, message);
    }
    if (message.method == "GET")
    {
        return jobs_.status(id, message);
    }
    if (message.method == "DELETE")
    {
        return jobs_.cancel(id, message);
    }
    return not_found(message);
}

http::response daemon_process::health()
{
    if (published_.draining())
    {
        return http::error_response(base::make_error(base::error_kind::draining,
                                                     "the daemon shuts down"));
    }
    return http::json_response(200, {{"status", "ok"}});
}

http::response daemon_process::check_ticket(const http::request& message)
{
    const auto change = config::parse_ticket(message.body);
    if (!change.ok())
    {
        return http::error_response(change.status());
    }
    const absl::Status content = published_.config()->check_ticket(*change);
    if (!content.ok())
    {
        return http::error_response(content);
    }
    return http::json_response(200, {{"ticket", change->number},
                                     {"objects", change->objects.size()},
                                     {"hash", config::content_hash(*change)}});
}

http::response daemon_process::apply_ticket(const http::request& message)
{
    const auto change = config::parse_ticket(message.body);
    if (!change.ok())
    {
        metrics_.count_refusal(base::kind_of(change.status()));
        return http::error_response(change.status());
    }
    http::response answer = run_and_wait(
        loop_, ticket_timeout,
        [this, copy = *change](const reply_function& reply)
        { config_.apply_ticket(copy, reply); },
        timeout_answer(base::error_kind::outcome_unknown));
    if (answer.status == 503 &&
        base::kind_of(http::error_of(answer)) == base::error_kind::not_owner &&
        !message.headers.contains(forwarded_header))
    {
        return forward_ticket(message);
    }
    return answer;
}

http::response daemon_process::forward_ticket(const http::request& message)
{
    const auto members = run_and_wait(
        loop_, control_timeout,
        [this](const reply_function& reply)
        {
            auto names = nlohmann::json::array();
            for (const base::daemon_id& daemon : config_.acceptors())
            {
                names.push_back(daemon.text());
            }
            reply(http::json_response(200, {{"members", names}}));
        },
        timeout_answer(base::error_kind::overloaded));
    const auto body = http::parse_object(members.body);
    if (members.status == 200 && body.ok())
    {
        for (const nlohmann::json& name : body->at("members"))
        {
            const std::string address =
                http_address(base::daemon_id(name.get<std::string>()));
            if (address.empty())
            {
                continue;
            }
            http::request copy;
            copy.method = "POST";
            copy.path = message.path;
            copy.headers.add(std::string(forwarded_header), "1");
            copy.body = message.body;
            const auto result =
                forward_client_.send(address, copy, ticket_timeout);
            if (result.ok())
            {
                if (result.answer.status != 503)
                {
                    return result.answer;
                }
            }
            else if (result.request_sent)
            {
                return timeout_answer(base::error_kind::outcome_unknown);
            }
        }
    }
    metrics_.count_refusal(base::error_kind::not_owner);
    return http::error_response(
        base::make_error(base::error_kind::not_owner,
                         "no daemon that may accept tickets is reachable"));
}

http::response daemon_process::show_ticket(const std::string& number)
{
    const auto table = store_.table();
    const auto row = read_and_wait(*table, {"ticket/" + number});
    if (!row.ok())
    {
        return http::error_response(row.status());
    }
    if (row->rows.empty())
    {
        return http::error_response(
            base::make_error(base::error_kind::not_found, "ticket " + number));
    }
    const std::string log =
        "config/log/" +
        std::to_string(row->rows.front().value.value("sequence", 0ULL));
    const auto content = read_and_wait(*table, {log});
    if (!content.ok())
    {
        return http::error_response(content.status());
    }
    if (content->rows.empty())
    {
        return http::error_response(
            base::make_error(base::error_kind::not_found, log));
    }
    return http::json_response(
        200, {{"sequence", row->rows.front().value.value("sequence", 0ULL)},
              {"ticket", content->rows.front().value}});
}

std::string daemon_process::http_address(const base::daemon_id& daemon) const
{
    for (const config::peer_settings& peer : settings_.peers)
    {
        if (peer.id == daemon)
        {
            return config::to_string(peer.http_address);
        }
    }
    const auto directory = published_.directory();
    for (const store::vm_entry& vm : directory->entries())
    {
        if (vm.name == daemon.text() && daemon != settings_.id)
        {
            return vm.address;
        }
    }
    return {};
}

http::response daemon_process::explain(const std::string& job,
                                       const http::request& message)
{
    const auto zone = jobs_.zone_of(job);
    if (!zone.ok())
    {
        return http::error_response(zone.status());
    }
    if (*zone == settings_.zone)
    {
        http::response own = run_and_wait(
            loop_, control_timeout,
            [this, job](const reply_function& reply)
            {
                reply(scheduler_ ? scheduler_->explain(base::job_id(job))
                                 : http::error_response(base::make_error(
                                       base::error_kind::not_owner,
                                       "this daemon does not own the zone")));
            },
            timeout_answer(base::error_kind::overloaded));
        if (own.status != 503)
        {
            return own;
        }
    }
    const auto owner = published_.zone(*zone, clock_.now());
    const std::string address = owner ? http_address(owner->owner) : "";
    if (address.empty() || message.headers.contains("X-Forwarded-Explain"))
    {
        return http::error_response(
            base::make_error(base::error_kind::not_owner,
                             "zone " + zone->text() + " has no known owner"));
    }
    http::request copy;
    copy.path = message.path;
    copy.headers.add("X-Forwarded-Explain", "1");
    const auto result = forward_client_.send(address, copy, control_timeout);
    return result.ok() ? result.answer : http::error_response(result.status);
}

http::response daemon_process::worker_events(const http::request& message)
{
    const auto body = http::parse_object(message.body);
    if (!body.ok())
    {
        return http::error_response(body.status());
    }
    return run_and_wait(
        loop_, control_timeout,
        [this, events = *body](reply_function reply)
        {
            if (!scheduler_)
            {
                reply(http::error_response(
                    base::make_error(base::error_kind::not_owner,
                                     "this daemon does not own the zone")));
                return;
            }
            scheduler_->on_worker_events(events, std::move(reply));
        },
        timeout_answer(base::error_kind::overloaded));
}

nlohmann::json daemon_process::status_json()
{
    nlohmann::json value = {{"daemon", settings_.id.text()},
                            {"zone", settings_.zone.text()},
                            {"region", settings_.region.text()},
                            {"draining", published_.draining()},
                            {"session_valid", ownership_.has_session()},
                            {"config_sequence", config_.sequence()},
                            {"acceptor", config_.may_accept()},
                            {"owner", ownership_.owner().text()},
                            {"epoch", ownership_.epoch()},
                            {"is_owner", scheduler_ != nullptr},
                            {"acting", ownership_.acting_until().has_value()}};
    const auto age = config_.proof_age();
    value["config_proof_age_ms"] =
        age ? nlohmann::json(
                  std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                      .count())
            : nlohmann::json();
    auto peers = nlohmann::json::array();
    for (const base::daemon_id& peer : peers_->connected())
    {
        peers.push_back(peer.text());
    }
    value["peers"] = peers;
    auto zones = nlohmann::json::array();
    for (const base::zone_id& zone : published_.directory()->zones())
    {
        const auto known = published_.zone(zone, clock_.now());
        zones.push_back({{"zone", zone.text()},
                         {"owner", known ? known->owner.text() : ""},
                         {"epoch", known ? known->epoch : 0},
                         {"acting", known && known->acting},
                         {"load_permille", known ? known->load_permille : 0}});
    }
    value["zones"] = zones;
    if (scheduler_)
    {
        value["scheduler"] = scheduler_->status();
        value["teams"] = teams_json();
    }
    return value;
}

nlohmann::json daemon_process::teams_json() const
{
    std::map<base::team_id, base::resources> used;
    for (const auto& [zone, report] : usage_by_zone_)
    {
        for (const wire::team_usage& team : report.teams)
        {
            used[team.team] += team.used;
        }
    }
    auto teams = nlohmann::json::array();
    for (const config::team* team : published_.config()->teams())
    {
        teams.push_back({{"team", team->name.text()},
                         {"weight", team->weight},
                         {"limit", to_json(team->limit)},
                         {"used", to_json(used[team->name])}});
    }
    return teams;
}

http::response daemon_process::status()
{
    return run_and_wait(
        loop_, control_timeout,
        [this](const reply_function& reply)
        { reply(http::json_response(200, status_json())); },
        timeout_answer(base::error_kind::overloaded));
}

} // namespace coltsfootrack::daemon
