// The runner stand-in: --count runners on consecutive ports from --first-port.

#include "runner.hpp"
#include "standins/support/arguments.hpp"
#include "standins/support/http_port.hpp"

#include <vector>

int main(int argc, char** argv)
{
    using namespace coltsfootrack::standins;
    const arguments options(argc, argv,
                            {{"address", "127.0.0.1"},
                             {"count", "1"},
                             {"first-port", "0"},
                             {"slots", "8"}});
    event_loop loop;
    std::vector<std::unique_ptr<runner>> runners;
    std::vector<std::unique_ptr<http_port>> ports;
    const auto first = options.number("first-port");
    for (std::int64_t i = 0; i < options.number("count"); ++i)
    {
        runners.push_back(std::make_unique<runner>(
            loop, static_cast<int>(options.number("slots"))));
        runner* target = runners.back().get();
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
