// The runner stand-in; its protocol is section 3.10 of docs/design.md.

#include "runner.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <ctime>

namespace coltsfootrack::standins
{
namespace
{

std::int64_t monotonic_ms()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 +
           time.tv_nsec / 1000000;
}

} // namespace

runner::runner(event_loop& loop, int slots)
    : loop_(loop)
    , slots_(slots)
    , faults_({{"leaving", false}, {"delay_ms", 0}})
{
}

bool runner::take_fault(const char* fault)
{
    const int left = faults_.value(fault, 0);
    if (left > 0)
    {
        faults_[fault] = left - 1;
    }
    return left > 0;
}

http::response runner::make_answer(const exchange& current, int status,
                                   const nlohmann::json& body) const
{
    http::response answer = http::json_response(status, body);
    answer.headers.add(
        "X-Attempt-Id",
        std::string(current.message.headers.value("X-Attempt-Id")));
    answer.headers.add("X-Slots-Free", std::to_string(slots_ - used_));
    return answer;
}

void runner::handle(const std::shared_ptr<exchange>& current)
{
    const http::request& message = current->message;
    if (message.path == "/control/faults")
    {
        faults_.update(nlohmann::json::parse(message.body));
        current->answer(http::json_response(200, faults_));
    }
    else if (message.path == "/control/history")
    {
        current->answer(http::json_response(200, {{"history", history_}}));
    }
    else if (message.path == "/run" && message.method == "POST")
    {
        run(current);
    }
    else
    {
        current->answer(http::json_response(404, {{"error", "not_found"}}));
    }
}

void runner::run(const std::shared_ptr<exchange>& current)
{
    const bool leaving = faults_.value("leaving", false);
    if (leaving || used_ >= slots_)
    {
        http::response answer =
            make_answer(*current, 503, {{"error", "refused"}});
        answer.headers.add("X-Refused", leaving ? "leaving" : "full");
        current->answer(std::move(answer));
        return;
    }
    if (take_fault("reset_before"))
    {
        current->reset();
        return;
    }
    const auto body = nlohmann::json::parse(current->message.body);
    const auto mark = body.value("mark", std::string());
    history_.push_back({{"at_ms", monotonic_ms()},
                        {"attempt", std::string(current->message.headers.value(
                                        "X-Attempt-Id"))},
                        {"mark", mark}});
    ++used_;
    const std::chrono::milliseconds duration(body.value("work_ms", 0) +
                                             faults_.value("delay_ms", 0));
    loop_.after(duration, [this, current, mark] { finish(current, mark); });
}

void runner::finish(const std::shared_ptr<exchange>& current,
                    const std::string& mark)
{
    --used_;
    http::response answer = make_answer(*current, 200, {{"mark", mark}});
    if (take_fault("reset_after"))
    {
        current->reset();
    }
    else if (take_fault("truncate"))
    {
        current->truncate(std::move(answer));
    }
    else if (take_fault("duplicate"))
    {
        current->duplicate(std::move(answer));
    }
    else
    {
        current->answer(std::move(answer));
    }
}

} // namespace coltsfootrack::standins
