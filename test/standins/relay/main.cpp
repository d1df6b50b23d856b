// The relay stand-in. --routes "PORT=ADDRESS:PORT,..." gives the routes; their
// ports are printed in this order, the control port last.
//
// Control: POST /control/set {"route": index, or absent for all, "cut",
// "delay_ms", "reset"}; POST /control/heal ends cuts and delays of all routes;
// GET /control/state.

#include "route.hpp"
#include "standins/support/arguments.hpp"
#include "standins/support/http_port.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <cstdlib>
#include <sstream>
#include <vector>

namespace coltsfootrack::standins
{
namespace
{

using route_list = std::vector<std::unique_ptr<route>>;

void handle(const route_list& routes, exchange& current)
{
    const http::request& message = current.message;
    nlohmann::json answer = nlohmann::json::object();
    if (message.path == "/control/set")
    {
        const auto body = nlohmann::json::parse(message.body);
        if (body.contains("route"))
        {
            routes.at(body["route"].get<std::size_t>())->set(body);
        }
        else
        {
            for (const auto& each : routes)
            {
                each->set(body);
            }
        }
    }
    else if (message.path == "/control/heal")
    {
        for (const auto& each : routes)
        {
            each->set({{"cut", false}, {"delay_ms", 0}});
        }
    }
    else if (message.path == "/control/state")
    {
        answer["routes"] = nlohmann::json::array();
        for (const auto& each : routes)
        {
            answer["routes"].push_back(each->state());
        }
    }
    else
    {
        current.answer(http::json_response(404, {{"error", "not_found"}}));
        return;
    }
    current.answer(http::json_response(200, answer));
}

void run(const arguments& options)
{
    event_loop loop;
    route_list routes;
    std::istringstream list(options.text("routes"));
    std::string item;
    while (std::getline(list, item, ','))
    {
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos)
        {
            fmt::print(stderr, "--routes PORT=ADDRESS:PORT,...\n");
            std::_Exit(2);
        }
        routes.push_back(std::make_unique<route>(
            loop, options.text("address"),
            static_cast<std::uint16_t>(std::strtol(item.c_str(), nullptr, 10)),
            item.substr(equals + 1)));
    }
    const http_port control(
        loop, options.text("address"),
        static_cast<std::uint16_t>(options.number("control-port")),
        [&routes](const std::shared_ptr<exchange>& current)
        { handle(routes, *current); });
    for (const auto& each : routes)
    {
        print_listening(each->port());
    }
    print_listening(control.port());
    loop.run();
    end_program();
}

} // namespace
} // namespace coltsfootrack::standins

int main(int argc, char** argv)
{
    coltsfootrack::standins::run(
        {argc,
         argv,
         {{"address", "127.0.0.1"}, {"routes", ""}, {"control-port", "0"}}});
}
