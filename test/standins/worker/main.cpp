// The worker stand-in: one process hosts --count workers, each on a port of its
// own. The control paths of section worker.hpp, with "/all" appended, concern
// all workers of the process.

#include "standins/support/arguments.hpp"
#include "standins/support/http_port.hpp"
#include "worker.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <vector>

namespace coltsfootrack::standins
{
namespace
{

using fleet = std::vector<std::unique_ptr<worker>>;

bool handle_all(const fleet& workers, exchange& current)
{
    const http::request& message = current.message;
    const auto body = [&message]
    {
        return nlohmann::json::parse(message.body);
    };
    nlohmann::json answer = nlohmann::json::object();
    if (message.path == "/control/settings/all")
    {
        for (const auto& each : workers)
        {
            each->set(body());
        }
    }
    else if (message.path == "/control/job/all")
    {
        for (const auto& each : workers)
        {
            each->set_job(body());
        }
    }
    else if (message.path == "/control/history/all")
    {
        answer["facts"] = nlohmann::json::array();
        for (const auto& each : workers)
        {
            const nlohmann::json& facts = each->facts().facts();
            answer["facts"].insert(answer["facts"].end(), facts.begin(),
                                   facts.end());
        }
    }
    else if (message.path == "/control/state/all")
    {
        answer["workers"] = nlohmann::json::array();
        for (const auto& each : workers)
        {
            answer["workers"].push_back(each->state());
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
    event_sender sender(loop);
    const base::resources capacity{options.number("cpu-milli"),
                                   options.number("memory-mb"),
                                   options.number("accelerators")};
    const auto first_port = options.number("first-port");
    const auto first_index = options.number("first-index");
    fleet workers;
    std::vector<std::unique_ptr<http_port>> ports;
    for (std::int64_t i = 0; i < options.number("count"); ++i)
    {
        workers.push_back(std::make_unique<worker>(
            loop, sender,
            options.text("name") + std::to_string(first_index + i), capacity));
        worker* self = workers.back().get();
        ports.push_back(std::make_unique<http_port>(
            loop, options.text("address"),
            static_cast<std::uint16_t>(first_port == 0 ? 0 : first_port + i),
            [self, &workers](const std::shared_ptr<exchange>& current)
            {
                if (!handle_all(workers, *current))
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
                                   {"name", "w-"},
                                   {"first-index", "0"},
                                   {"cpu-milli", "32000"},
                                   {"memory-mb", "131072"},
                                   {"accelerators", "0"}}});
}
