#ifndef COLTSFOOTRACK_FLEET_FLEET_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_FLEET_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace coltsfootrack::fleet
{

// The figures of a fleet. The platform's own bounds are set from its settings;
// the others have the defaults below.
struct fleet_options
{
    using milliseconds = std::chrono::milliseconds;

    // The leader's epoch. Run numbers start at (epoch - 1) * runs_per_epoch +
    // 1, so that they rise over leaders that do not know of each other's runs.
    std::uint64_t epoch = 1;
    std::uint64_t runs_per_epoch = 1000;

    // The lease of each renewal: long enough for a change of the leader, short
    // enough that work on a lost worker is soon started again.
    milliseconds lease{5000};
    // The longest lease that any leader may have granted.
    milliseconds longest_lease{5000};

    // A team may hand in the share of this window and some jobs more at once;
    // the platform's figures. What lies beyond waits behind all other work.
    std::chrono::seconds share_window{5};
    int share_slack = 20;

    // A ticket is not used in the last part of its life, for the way to the
    // worker.
    milliseconds ticket_margin{150};
    // The most workers named in a request for tickets; the platform allows 100
    // and each costs time.
    std::size_t ticket_workers = 30;
    // Known good workers named when tickets are renewed.
    std::size_t renewed_workers = 8;
    // Steps without room that keep their tickets fresh, per service.
    std::size_t ready_steps = 4;

    // Steps without room, per service, that other work is stopped for, that
    // workers are kept free for, and that tickets are asked for. Bounds the
    // work of a round when very many jobs wait.
    std::size_t considered_steps = 16;

    // A worker whose lease has passed counts as lost after this many renewals
    // in a row that were sent since then and not answered: it may have listed
    // ends in answers that this daemon was too slow to read. A second one
    // covers an answer that was lost with its connection.
    int lost_after_renewals = 2;
    // A run that its worker does not list, without an end, is given up after
    // this many reports in a row.
    int missing_reports = 2;
    // A stop without an answer is repeated after this time.
    milliseconds stop_retry{500};
    // Runs and ends of a job that is not known wait this long for its row.
    milliseconds unknown_job_wait{5000};
    // Consecutive failures, of two jobs or more, that put a worker aside.
    int quarantine_failures = 3;
    milliseconds quarantine{4000};
    // A worker that refused an order is not used for this time.
    milliseconds refusal_pause{500};
    // A task whose progress stands still for this long is started elsewhere.
    milliseconds stall_time{2500};
    // Workers kept free for a step that waits for room, as a part of a service.
    double reserved_part = 0.25;
};

} // namespace coltsfootrack::fleet

#endif
