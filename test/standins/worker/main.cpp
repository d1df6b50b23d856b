// The worker stand-in: --count workers on consecutive ports from --first-port,
// named --name-0 and so on.

#include "standins/support/arguments.hpp"
#include "standins/support/http_port.hpp"
#include "worker.hpp"

#include <vector>

int main(int argc, char** argv)
{
    using namespace coltsfootrack::standins;
    const arguments options(argc, argv,
                            {{"address", "127.0.0.1"},
                             {"count", "1"},
                             {"first-port", "0"},
                             {"name", "w"}});
    event_loop loop;
    event_sender sender(loop);
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<http_port>> ports;
    const auto first = options.number("first-port");
    for (std::int64_t i = 0; i < options.number("count"); ++i)
    {
        workers.push_back(std::make_unique<worker>(
            loop, sender, options.text("name") + "-" + std::to_string(i)));
        worker* target = workers.back().get();
        ports.push_back(std::make_unique<http_port>(
            loop, options.text("address"),
            static_cast<std::uint16_t>(first == 0 ? 0 : first + i),
            [target](const std::shared_ptr<exchange>& current)
            { target->handle(current); }));
        print_listening(ports.back()->port());
    }
    loop.run();
    end_program();
}
