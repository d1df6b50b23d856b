// Sends requests of callers to runners. The decisions are made by the code in
// routing; section 3.7 of docs/design.md gives the rules.

#include <coltsfootrack/base/hex_token.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/idempotency_claimer.hpp>
#include <coltsfootrack/daemon/request_api.hpp>
#include <coltsfootrack/http/json_response.hpp>
#include <coltsfootrack/routing/idempotency_state.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr std::size_t max_idempotency_key = 200;

routing::router_options
make_router_options(const config::daemon_settings& settings)
{
    routing::router_options options;
    options.zone = settings.zone;
    options.region = settings.region;
    return options;
}

http::client_options make_client_options()
{
    http::client_options options;
    options.max_answer_bytes = std::size_t{16} << 20U;
    options.max_idle_connections = 512;
    return options;
}

std::optional<std::uint32_t> read_number(std::string_view text)
{
    std::uint32_t value = 0;
    if (text.empty() || text.size() > 6)
    {
        return std::nullopt;
    }
    for (const char c : text)
    {
        if (c < '0' || c > '9')
        {
            return std::nullopt;
        }
        value = value * 10 + static_cast<std::uint32_t>(c - '0');
    }
    return value;
}

// Whether all characters are allowed in a table key.
bool is_valid_key_part(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '-' ||
                                  c == '_' || c == '.';
                       });
}

} // namespace

// The state of one request in flight.
struct request_api::exchange
{
    const config::service& service;
    const http::request& message;
    base::team_id team;
    std::string idempotency_key;
    routing::request_flow flow;
    base::time_point deadline;
    std::vector<base::runner_id> excluded;
    http::response answer;
    // The claim on the idempotency row; none before the first attempt.
    std::optional<idempotency_claimer> claim;
};

request_api::request_api(const config::daemon_settings& settings,
                         const base::clock& clock, metrics& counters,
                         published_state& published, store_session& store)
    : settings_(settings)
    , clock_(clock)
    , metrics_(counters)
    , published_(published)
    , store_(store)
    , random_(base::system_random())
    , router_(make_router_options(settings), [this] { return random(); })
    , budget_({}, clock.now())
    , client_(make_client_options())
{
}

std::uint64_t request_api::random()
{
    const std::lock_guard<std::mutex> lock(random_mutex_);
    return random_();
}

void request_api::set_directory(const vm_directory& directory)
{
    const std::lock_guard<std::mutex> lock(services_mutex_);
    std::set<base::service_id> gone = std::move(services_);
    services_.clear();
    for (const auto& [service, runners] : directory.runners())
    {
        router_.set_runners(service, runners, clock_.now());
        services_.insert(service);
        gone.erase(service);
    }
    for (const base::service_id& service : gone)
    {
        router_.set_runners(service, {}, clock_.now());
    }
}

http::response request_api::refuse(const absl::Status& error)
{
    metrics_.count_refusal(base::kind_of(error));
    return http::error_response(error);
}

http::response request_api::handle(const std::string& service,
                                   const http::request& message)
{
    const auto start = clock_.now();
    const auto config = published_.config();
    const config::service* found =
        config->find_service(base::service_id(service));
    if (found == nullptr)
    {
        return refuse(base::make_error(base::error_kind::not_found,
                                       "service " + service));
    }
    base::team_id team;
    const std::string_view key = message.headers.value("X-Team-Key");
    if (!config->is_open(*found) || !key.empty())
    {
        const auto known = published_.authenticate(key, start);
        if (!known.ok())
        {
            return refuse(known.status());
        }
        team = *known;
        if (!found->teams.empty() &&
            !std::binary_search(found->teams.begin(), found->teams.end(), team))
        {
            return refuse(base::make_error(
                base::error_kind::team_mismatch,
                "the key's team may not use service " + service));
        }
    }
    if (message.body.size() > found->body_limit_bytes)
    {
        return refuse(base::make_error(
            base::error_kind::body_too_large,
            "the limit of service " + service + " is " +
                std::to_string(found->body_limit_bytes) + " bytes"));
    }
    const std::string idempotency_key(message.headers.value("Idempotency-Key"));
    if (idempotency_key.size() > max_idempotency_key ||
        !is_valid_key_part(idempotency_key))
    {
        return refuse(base::make_error(
            base::error_kind::invalid_request,
            "Idempotency-Key: at most 200 letters, digits, '-', '_' or '.'"));
    }
    if (!idempotency_key.empty() && team.empty())
    {
        // Callers without a key would share their idempotency keys.
        return refuse(base::make_error(
            base::error_kind::key_missing,
            "Idempotency-Key is accepted only with X-Team-Key"));
    }
    routing::request_traits traits;
    traits.idempotent = found->idempotent;
    traits.needs_claim = !found->idempotent && !idempotency_key.empty();
    traits.deadline = start + found->timeout;
    exchange work{*found,
                  message,
                  team,
                  idempotency_key,
                  routing::request_flow(traits, routing::backoff(), budget_,
                                        [this] { return random(); }),
                  traits.deadline,
                  {},
                  {},
                  std::nullopt};
    http::response answer = run(work);
    metrics_.observe_request_time(
        std::chrono::duration<double>(clock_.now() - start).count());
    return answer;
}

http::response request_api::run(exchange& work)
{
    routing::request_step step = work.flow.start(clock_.now());
    while (!std::holds_alternative<routing::final_step>(step))
    {
        if (std::holds_alternative<routing::claim_step>(step))
        {
            step = claim(work);
        }
        else if (std::holds_alternative<routing::send_step>(step))
        {
            step = send(work);
        }
        else
        {
            const auto until = std::get<routing::wait_step>(step).until;
            std::this_thread::sleep_for(std::min(until, work.deadline) -
                                        clock_.now());
            const auto now = clock_.now();
            step = now >= work.deadline ? work.flow.deadline_passed(now)
                                        : work.flow.wait_ended(now);
        }
        if (work.claim && work.claim->replay())
        {
            return *work.claim->replay();
        }
    }
    const auto& end = std::get<routing::final_step>(step);
    record(work, !end.error);
    if (!end.error)
    {
        return std::move(work.answer);
    }
    return refuse(base::make_error(
        *end.error, "service " + work.service.name.text() + ", " +
                        std::to_string(work.flow.attempts()) + " attempts"));
}

routing::request_step request_api::claim(exchange& work)
{
    routing::idempotency_claim request;
    {
        const std::lock_guard<std::mutex> lock(random_mutex_);
        request.token = base::hex_token(random_);
    }
    request.daemon = settings_.id;
    request.incarnation = incarnation_number(store_.incarnation());
    request.content = routing::content_hash(work.service.name.text(), "POST",
                                            work.message.body);
    work.claim.emplace(store_.table(), clock_,
                       "idem/" + work.team.text() + "/" + work.idempotency_key,
                       request);
    work.claim->acquire(work.deadline);
    const auto now = clock_.now();
    return work.claim->held()
               ? work.flow.claim_succeeded(now)
               : work.flow.claim_failed(work.claim->refusal(), now);
}

routing::request_step request_api::send(exchange& work)
{
    const auto now = clock_.now();
    if (now >= work.deadline)
    {
        return work.flow.deadline_passed(now);
    }
    const auto chosen = router_.pick(work.service.name, work.excluded, now);
    if (!chosen.ok())
    {
        work.excluded.clear();
        return work.flow.no_runner(base::kind_of(chosen.status()), now);
    }
    const absl::Status open = attempts_.open(chosen->id, 0);
    if (!open.ok())
    {
        router_.complete(*chosen, routing::attempt_outcome::nothing_sent,
                         std::nullopt, now);
        return work.flow.no_runner(base::kind_of(open), now);
    }
    http::request message;
    message.method = "POST";
    message.path = "/run";
    message.headers.add("X-Attempt-Id", chosen->id);
    const std::string_view type = work.message.headers.value("Content-Type");
    if (!type.empty())
    {
        message.headers.add("Content-Type", std::string(type));
    }
    message.body = work.message.body;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        work.deadline - now);
    const http::client_result result = client_.send(
        chosen->address, message, std::max(left, std::chrono::milliseconds(1)));
    return finish_attempt(work, *chosen, result);
}

routing::request_step
request_api::finish_attempt(exchange& work, const routing::attempt& sent,
                            const http::client_result& result)
{
    using routing::attempt_outcome;
    const http::response& answer = result.answer;
    attempt_outcome outcome = attempt_outcome::truncated;
    std::optional<std::uint32_t> slots_free;
    if (result.ok())
    {
        slots_free = read_number(answer.headers.value("X-Slots-Free"));
        routing::attempt_answer seen;
        seen.attempt_id = answer.headers.value("X-Attempt-Id");
        seen.declared_length = answer.body.size();
        seen.received_length = answer.body.size();
        const std::string_view refused = answer.headers.value("X-Refused");
        // A refusal proves that the request did not run only if it names this
        // attempt.
        const bool own = attempts_.settle(sent.id, seen).ok();
        if (own && answer.status == 503 && refused == "full")
        {
            outcome = attempt_outcome::refused_full;
        }
        else if (own && answer.status == 503 && refused == "leaving")
        {
            outcome = attempt_outcome::refused_leaving;
        }
        else if (own)
        {
            outcome = attempt_outcome::complete;
            work.answer.status = answer.status;
            work.answer.body = answer.body;
            const std::string_view type = answer.headers.value("Content-Type");
            if (!type.empty())
            {
                work.answer.headers.add("Content-Type", std::string(type));
            }
        }
    }
    else
    {
        attempts_.abandon(sent.id);
        if (!result.request_sent)
        {
            outcome = attempt_outcome::nothing_sent;
        }
        else if (base::kind_of(result.status) ==
                 base::error_kind::upstream_timeout)
        {
            outcome = attempt_outcome::timed_out;
        }
    }
    const auto now = clock_.now();
    router_.complete(sent, outcome, slots_free, now);
    if (outcome != attempt_outcome::complete)
    {
        work.excluded.push_back(sent.runner);
        metrics_.count_retry(outcome == attempt_outcome::refused_full
                                 ? base::error_kind::upstream_full
                             : outcome == attempt_outcome::refused_leaving
                                 ? base::error_kind::upstream_leaving
                             : outcome == attempt_outcome::nothing_sent
                                 ? base::error_kind::upstream_unreachable
                             : outcome == attempt_outcome::timed_out
                                 ? base::error_kind::upstream_timeout
                                 : base::error_kind::upstream_truncated);
    }
    return work.flow.attempt_ended(outcome, now);
}

void request_api::record(exchange& work, bool succeeded)
{
    using claim_end = idempotency_claimer::claim_end;
    if (!work.claim || !work.claim->held())
    {
        return;
    }
    const claim_end how = work.flow.proved_not_run() ? claim_end::released
                          : succeeded                ? claim_end::completed
                                      : claim_end::outcome_unknown;
    if (!work.claim->record(how, work.answer))
    {
        metrics_.count_event("idempotency_record_failed");
    }
}

} // namespace coltsfootrack::daemon
