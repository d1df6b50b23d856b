// Measures routing and the links between daemons. Prints lines
// "name value unit bound"; the bound is "-" where none is stated. Simulated
// figures come from fixed seeds and are the same on each run.

#include "failure_simulation.hpp"
#include "slot_simulation.hpp"

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/wire/codec.hpp>
#include <coltsfootrack/wire/frame_decoder.hpp>
#include <coltsfootrack/wire/peer_links.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <fmt/core.h>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace coltsfootrack;
using std::chrono::milliseconds;

void print(const std::string& name, double value, const char* unit,
           const std::string& bound = "-")
{
    fmt::print("{} {:.4g} {} {}\n", name, value, unit, bound);
}

// Measures one pick with half of the slots in use. All runners are in the own
// zone, which makes the search longest.
void measure_decisions(std::uint32_t runners)
{
    using clock = std::chrono::steady_clock;
    constexpr std::uint32_t slots = 8;
    constexpr std::size_t picks = 50000;
    routing::router_options options;
    options.zone = base::zone_id("a1");
    options.region = base::region_id("a");
    routing::router choice(options, base::seeded_random(1));
    std::vector<routing::runner> list;
    for (std::uint32_t i = 0; i < runners; ++i)
    {
        list.push_back({base::runner_id(fmt::format("r-{:04}", i)),
                        options.zone, options.region, "10.0.0.1:8000", slots,
                        routing::runner_state::live});
    }
    const base::service_id service("service");
    base::time_point now = clock::now();
    choice.set_runners(service, list, now);
    std::vector<routing::attempt> open(std::size_t(runners) * slots / 2);
    for (auto& each : open)
    {
        each = *choice.pick(service, {}, now);
    }
    std::vector<double> times;
    times.reserve(picks);
    const auto random = base::seeded_random(2);
    for (std::size_t i = 0; i < picks; ++i)
    {
        now += std::chrono::microseconds(100);
        routing::attempt& replaced = open[random() % open.size()];
        choice.complete(replaced, routing::attempt_outcome::complete,
                        static_cast<std::uint32_t>(random() % slots), now);
        const auto begin = clock::now();
        auto chosen = choice.pick(service, {}, now);
        const auto end = clock::now();
        times.push_back(
            std::chrono::duration<double, std::micro>(end - begin).count());
        // The view may be full; the next completion frees a slot.
        if (chosen.ok())
        {
            replaced = *std::move(chosen);
        }
    }
    std::sort(times.begin(), times.end());
    print(fmt::format("route_p50_us_{}", runners), times[picks / 2], "us");
    print(fmt::format("route_p99_us_{}", runners), times[picks * 99 / 100],
          "us", "100");
}

void measure_strategy(const std::string& name, routing::slot_strategy strategy,
                      std::uint32_t runners)
{
    constexpr int seeds = 3;
    double refusals = 0;
    double mean = 0;
    double p99 = 0;
    double failed = 0;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        routing::slot_simulation::settings settings;
        settings.strategy = strategy;
        settings.runners = runners;
        settings.seed = static_cast<std::uint64_t>(seed);
        const auto result = routing::slot_simulation(settings).run();
        refusals += result.refusal_rate / seeds;
        mean += result.mean_wait_ms / seeds;
        p99 += result.p99_wait_ms / seeds;
        failed += result.failed / seeds;
    }
    print(fmt::format("slots_refused_{}_{}", name, runners), refusals, "ratio");
    print(fmt::format("slots_wait_mean_ms_{}_{}", name, runners), mean, "ms");
    print(fmt::format("slots_wait_p99_ms_{}_{}", name, runners), p99, "ms");
    print(fmt::format("slots_failed_{}_{}", name, runners), failed, "ratio");
}

void measure_amplification(const std::string& name,
                           routing::attempt_outcome outcome,
                           std::uint32_t healthy)
{
    routing::failure_simulation::settings settings;
    settings.outcome = outcome;
    settings.healthy_runners = healthy;
    const auto result = routing::failure_simulation(settings).run();
    const routing::retry_budget_options budget;
    // The requests of the last second may be retried after it.
    const double minimum =
        budget.capacity + budget.min_per_second * (settings.seconds + 2);
    const double bound = 1 + budget.permille / 1000.0 +
                         minimum / static_cast<double>(result.requests);
    print("retry_amplification_" + name, result.amplification(), "ratio",
          fmt::format("{:.4g}", bound));
    print("retry_answered_" + name,
          static_cast<double>(result.answered) /
              static_cast<double>(result.requests),
          "ratio");
}

wire::heartbeat full_heartbeat()
{
    return {1000000, milliseconds(1500), 1000, 1000, true, 500};
}

void measure_heartbeats()
{
    constexpr double interval_s = 2;
    const std::string frame =
        *wire::encode_frame(wire::encode(full_heartbeat()));
    print("heartbeat_bytes", static_cast<double>(frame.size()), "bytes");
    for (const int peers : {8, 18, 36})
    {
        // The design's budget is 12 KB/s for all control traffic of a daemon.
        print(fmt::format("heartbeat_bytes_per_s_{}", peers),
              static_cast<double>(frame.size()) * peers / interval_s, "B/s",
              "12288");
    }
}

double processor_us()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

// Measures the processor time per message, sender and receiver together. With a
// pause each message wakes both threads, as heartbeats do.
void measure_links(const std::string& name, std::uint64_t messages,
                   std::chrono::microseconds pause)
{
    const base::system_clock clock;
    std::atomic<std::uint64_t> received{0};
    wire::peer_links_options options;
    options.self = {base::daemon_id("a"), 1, base::zone_id("a1")};
    auto sender =
        wire::peer_links::start(options, clock, base::seeded_random(1), {});
    wire::peer_events events;
    events.on_message = [&](const base::daemon_id&, const wire::message&)
    {
        ++received;
    };
    options.self.daemon = base::daemon_id("b");
    auto receiver =
        wire::peer_links::start(options, clock, base::seeded_random(2), events);
    if (!sender.ok() || !receiver.ok())
    {
        fmt::print(stderr, "measure_routing: cannot listen on loopback\n");
        return;
    }
    const base::zone_id zone("a1");
    const std::vector<wire::peer_address> peers = {
        {base::daemon_id("a"), zone, "127.0.0.1", (*sender)->port()},
        {base::daemon_id("b"), zone, "127.0.0.1", (*receiver)->port()}};
    (*sender)->set_peers(peers).IgnoreError();
    (*receiver)->set_peers(peers).IgnoreError();
    while ((*sender)->connected().empty())
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    const wire::freshness_answer value{1, 2, milliseconds(3), true, 4, false};
    const double begin = processor_us();
    for (std::uint64_t i = 0; i < messages; ++i)
    {
        while (!(*sender)->send(base::daemon_id("b"), value))
        {
            std::this_thread::sleep_for(std::chrono::microseconds(100));
        }
        if (pause.count() > 0)
        {
            std::this_thread::sleep_for(pause);
        }
    }
    while (received < messages)
    {
        std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    print("link_cpu_us_per_message_" + name,
          (processor_us() - begin) / static_cast<double>(messages), "us");
}

} // namespace

int main()
{
    for (const std::uint32_t runners : {13U, 35U, 100U, 400U})
    {
        measure_decisions(runners);
    }
    for (const std::uint32_t runners : {13U, 35U})
    {
        using routing::slot_strategy;
        measure_strategy("least_loaded", slot_strategy::least_loaded, runners);
        measure_strategy("power_of_two", slot_strategy::power_of_two, runners);
        measure_strategy("slot_leases", slot_strategy::slot_leases, runners);
        measure_strategy("random", slot_strategy::random_choice, runners);
    }
    using routing::attempt_outcome;
    measure_amplification("timeouts", attempt_outcome::timed_out, 0);
    measure_amplification("cut_answers", attempt_outcome::truncated, 0);
    measure_amplification("no_connection", attempt_outcome::nothing_sent, 0);
    measure_amplification("no_connection_other_zone",
                          attempt_outcome::nothing_sent, 35);
    measure_heartbeats();
    measure_links("busy", 200000, std::chrono::microseconds(0));
    measure_links("paced", 2000, std::chrono::microseconds(500));
}
