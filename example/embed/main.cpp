// Embeds the placement and quota parts in a program with its own clock and
// without a daemon: one zone, one team, and a slice that follows demand.

#include <coltsfootrack/base/manual_clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/coordination/quota_ledger.hpp>
#include <coltsfootrack/placement/scheduler.hpp>

#include <fmt/core.h>

int main()
{
    using namespace coltsfootrack;
    const base::team_id team("audio");
    const base::resources limit{16000, 65536, 0};
    base::manual_clock clock;

    placement::scheduler zone(placement::scheduler_options(),
                              base::seeded_random(1));
    zone.set_teams({{team, 1, limit}});
    zone.add_worker(
        {base::worker_id("w1"), base::rack_id("r1"), {32000, 131072, 0}});

    placement::job_spec job;
    job.id = base::job_id("mastering-1");
    job.team = team;
    job.task_size = {4000, 8192, 0};
    job.task_count = 6;
    const absl::Status accepted = zone.submit(job, clock.now());
    if (!accepted.ok())
    {
        fmt::print("refused: {}\n", std::string(accepted.message()));
        return 1;
    }

    // The ledger plans a transfer for the demand; a program with a table would
    // commit it there. Here each proposal applies at once.
    coordination::quota_ledger ledger(team, base::zone_id("a1"), 1);
    ledger.row_read({});
    ledger.limit_changed(limit, 1, clock.now());
    std::size_t started = 0;
    for (int round = 0; round < 3; ++round)
    {
        const auto counters = zone.counters();
        ledger.set_demand(counters.teams.front().used,
                          counters.teams.front().waiting, clock.now());
        if (const auto proposal = ledger.plan(clock.now()))
        {
            ledger.proposal_applied(proposal->id, proposal->id);
        }
        zone.set_quota(team, ledger.usable());
        for (const placement::action& next : zone.step(clock.now(), 100))
        {
            fmt::print("start task {} of {} on {}\n", next.task.index,
                       next.task.job.text(), next.worker.text());
            ++started;
        }
        clock.advance(std::chrono::seconds(1));
    }
    fmt::print("{}\n", zone.explain(job.id).text);
    // The limit of 16 cores holds four tasks of 4 cores.
    return started == 4 ? 0 : 1;
}
