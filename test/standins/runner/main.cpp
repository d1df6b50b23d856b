// The runner stand-in: one process hosts --count runners, each on a port of its
// own. The control paths of runner.hpp, with "/all" appended, concern all
// runners of the process.

#include "runner.hpp"
#include "standins/support/arguments.hpp"
#include "standins/support/http_port.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <vector>

namespace coltsfootrack::standins
{
namespace
{

using fleet = std::vector<std::unique_ptr<runner>>;

bool handle_all(const fleet& runners, exchange& current)
{
    const http::request& message = current.message;
    nlohmann::json answer = nlohmann::json::object();
    if (message.path == "/control/faults/all")
    {
        for (const auto& each : runners)
        {
            each->set(nlohmann::json::parse(message.body));
        }
    }
    else if (message.path == "/control/history/all")
    {
        answer["facts"] = nlohmann::json::array();
        for (const auto& each : runners)
        {
            const nlohmann::json& facts = each->facts().facts();
            answer["facts"].insert(answer["facts"].end(), facts.begin(),
                                   facts.end());
        }
    }
    else if (message.path == "/control/state/all")
    {
        answer["runners"] = nlohmann::json::array();
        for (const auto& each : runners)
        {
            answer["runners"].push_back(each->state());
        }
    }
    else
    {
        return false;
    }
    current.answer(http::json_response(200, answer));
    return true;
}

void run(const arguments& options)
{
    event_loop loop;
    const auto first_port = options.number("first-port");
    const auto first_index = options.number("first-index");
    fleet runners;
    std::vector<std::unique_ptr<http_port>> ports;
    for (std::int64_t i = 0; i < options.number("count"); ++i)
    {
        runners.push_back(std::make_unique<runner>(
            loop, options.text("name") + std::to_string(first_index + i),
            options.number("slots")));
        runner* self = runners.back().get();
        ports.push_back(std::make_unique<http_port>(
            loop, options.text("address"),
            static_cast<std::uint16_t>(first_port == 0 ? 0 : first_port + i),
            [self, &runners](const std::shared_ptr<exchange>& current)
            {
                if (!handle_all(runners, *current))
                {
                    self->handle(current);
                }
            }));
    }
    for (const auto& port : ports)
    {
        print_listening(port->port());
    }
    loop.run();
    end_program();
}

} // namespace
} // namespace coltsfootrack::standins

int main(int argc, char** argv)
{
    coltsfootrack::standins::run({argc,
                                  argv,
                                  {{"address", "127.0.0.1"},
                                   {"count", "1"},
                                   {"first-port", "0"},
                                   {"name", "r-"},
                                   {"first-index", "0"},
                                   {"slots", "8"}}});
}
