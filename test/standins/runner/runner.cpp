// The runner's slots, answers and faults.

#include "runner.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <chrono>

namespace coltsfootrack::standins
{

using nlohmann::json;

runner::runner(event_loop& loop, std::string name, std::int64_t slots)
    : loop_(loop)
    , name_(std::move(name))
    , slots_(slots)
    , faults_({{"down", false},
               {"leaving", false},
               {"delay_ms", 0},
               {"reset_before", 0},
               {"reset_after", 0},
               {"truncate", 0},
               {"duplicate", 0},
               {"wrong_attempt", 0}})
{
}

void runner::handle(const std::shared_ptr<exchange>& current)
{
    const http::request& message = current->message;
    if (message.path.rfind("/control/", 0) == 0)
    {
        handle_control(*current);
    }
    else if (faults_["down"].get<bool>() || take("reset_before"))
    {
        current->reset();
    }
    else if (message.path != "/run" || message.method != "POST")
    {
        current->answer(http::json_response(404, {{"error", "not_found"}}));
    }
    else if (faults_["leaving"].get<bool>())
    {
        refuse(*current, "leaving");
    }
    else if (busy_ >= slots_)
    {
        refuse(*current, "full");
    }
    else
    {
        run(current);
    }
}

void runner::run(const std::shared_ptr<exchange>& current)
{
    const json body = json::parse(current->message.body, nullptr, false);
    if (!body.is_object() || !body.contains("work_ms"))
    {
        current->answer(
            http::json_response(400, {{"error", "invalid_request"}}));
        return;
    }
    const std::chrono::milliseconds work(body["work_ms"].get<std::int64_t>());
    const std::string attempt(current->message.headers.value("X-Attempt-Id"));
    ++busy_;
    record("started", current->message);
    loop_.after(work,
                [this, current, attempt]
                {
                    --busy_;
                    record("finished", current->message);
                    const auto delay = faults_["delay_ms"].get<std::int64_t>();
                    if (delay == 0)
                    {
                        finish(current, attempt);
                        return;
                    }
                    loop_.after(std::chrono::milliseconds(delay),
                                [this, current, attempt]
                                { finish(current, attempt); });
                });
}

void runner::finish(const std::shared_ptr<exchange>& current,
                    const std::string& attempt)
{
    if (take("reset_after"))
    {
        current->reset();
        return;
    }
    const bool wrong = take("wrong_attempt");
    http::response answer = http::json_response(
        200, {{"attempt", attempt},
              {"echo", json::parse(current->message.body, nullptr, false)}});
    answer.headers.add("X-Attempt-Id", wrong ? attempt + "-other" : attempt);
    answer.headers.add("X-Slots-Free", std::to_string(slots_ - busy_));
    if (take("truncate"))
    {
        current->truncate(std::move(answer));
    }
    else if (take("duplicate"))
    {
        current->duplicate(std::move(answer));
    }
    else
    {
        current->answer(std::move(answer));
    }
}

void runner::refuse(exchange& current, const std::string& reason)
{
    record("refused_" + reason, current.message);
    http::response answer =
        http::json_response(503, {{"error", "upstream_" + reason}});
    answer.headers.add("X-Refused", reason);
    answer.headers.add(
        "X-Attempt-Id",
        std::string(current.message.headers.value("X-Attempt-Id")));
    answer.headers.add("X-Slots-Free", std::to_string(slots_ - busy_));
    current.answer(std::move(answer));
}

void runner::record(const std::string& fact, const http::request& message)
{
    history_.add(fact, {{"runner", name_},
                        {"attempt", message.headers.value("X-Attempt-Id")},
                        {"key", message.headers.value("Idempotency-Key")},
                        {"body", message.body.substr(0, 200)},
                        {"busy", busy_}});
}

// Counts a fault down; returns whether it applies.
bool runner::take(const char* fault)
{
    const auto left = faults_[fault].get<std::int64_t>();
    if (left > 0)
    {
        faults_[fault] = left - 1;
    }
    return left != 0;
}

void runner::handle_control(exchange& current)
{
    const http::request& message = current.message;
    if (message.path == "/control/faults")
    {
        if (!message.body.empty())
        {
            set(json::parse(message.body));
        }
        current.answer(http::json_response(200, faults_));
    }
    else if (message.path == "/control/history")
    {
        current.answer(
            http::json_response(200, {{"facts", history_.facts()},
                                      {"dropped", history_.dropped()}}));
    }
    else if (message.path == "/control/state")
    {
        current.answer(http::json_response(200, state()));
    }
    else
    {
        current.answer(http::json_response(404, {{"error", "not_found"}}));
    }
}

void runner::set(const json& faults)
{
    faults_.update(faults);
}

const history& runner::facts() const
{
    return history_;
}

json runner::state() const
{
    return {{"runner", name_}, {"slots", slots_}, {"busy", busy_}};
}

} // namespace coltsfootrack::standins
