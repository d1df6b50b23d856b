// The platform stand-in: --address and --port.

#include "platform.hpp"
#include "standins/support/arguments.hpp"
#include "standins/support/http_port.hpp"

int main(int argc, char** argv)
{
    using namespace coltsfootrack::standins;
    const arguments options(argc, argv,
                            {{"address", "127.0.0.1"}, {"port", "0"}});
    event_loop loop;
    platform service(loop);
    const http_port port(loop, options.text("address"),
                         static_cast<std::uint16_t>(options.number("port")),
                         [&service](const std::shared_ptr<exchange>& current)
                         { service.handle(current); });
    print_listening(port.port());
    loop.run();
    end_program();
}
