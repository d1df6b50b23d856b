#ifndef COLTSFOOTRACK_FLEET_FLEET_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_FLEET_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace coltsfootrack::fleet
{

// Tuning parameters of a fleet. Limits of the platform are set from its
// settings; the others keep the defaults below.
struct fleet_options
{
    using milliseconds = std::chrono::milliseconds;

    // The leader's epoch. Run numbers start at (epoch - 1) * runs_per_epoch +
    // 1, so that they increase across leaders that do not know each other's
    // runs.
    std::uint64_t epoch = 1;
    std::uint64_t runs_per_epoch = 1000;

    // The lease of each renewal: long enough to survive a leader change, short
    // enough that work of a lost worker restarts soon.
    milliseconds lease{5000};
    // The longest lease that a worker takes; it shortens longer ones. A call
    // that was meant for its former life can grant this much.
    milliseconds longest_lease{10000};
    // The longest time from a grant until the call that carries it reaches the
    // worker: as long as it may wait here and at a peer, and its timeout.
    milliseconds lease_delivery{1550};
    // How much later a worker may carry out an order that it did not answer.
    milliseconds late_order{12000};

    // A team may submit its share of this window plus share_burst_jobs jobs as
    // a burst; the platform sets both. Jobs beyond that wait behind all others.
    std::chrono::seconds share_window{5};
    int share_burst_jobs = 20;

    // A ticket is not used this shortly before it expires, since the order
    // takes time to reach the worker.
    milliseconds ticket_margin{150};
    // The most workers named in a ticket request; the platform allows 100, and
    // each adds to its latency.
    std::size_t max_ticket_workers = 30;
    // Eligible workers named when tickets are renewed.
    std::size_t renewed_workers = 8;
    // Steps per service that keep their tickets valid while they wait for room.
    std::size_t fresh_ticket_steps = 4;

    // Steps without room, per service, for which a round preempts runs,
    // reserves workers and requests tickets. Bounds the cost of a round when
    // very many jobs wait.
    std::size_t max_considered_steps = 16;

    // A worker counts as lost after this many consecutive renewals, sent after
    // its lease expired, without an answer: it may have listed ends in answers
    // that this daemon was too slow to read. The second one covers an answer
    // that was lost with its connection.
    int max_unanswered_renewals = 2;
    // Each of them has to be confirmed by a daemon near the worker that got no
    // answer either; else the links to its zone may be full or cut. Without
    // that, the worker counts as lost only if it is off the platform's list,
    // which takes its own reports to the store, and a renewal sent this long
    // after its lease expired was not answered.
    milliseconds unconfirmed_loss_delay{10000};
    // The same for a worker that stays on the list.
    milliseconds listed_loss_delay{30000};
    // A run that its worker lists neither as running nor as ended is dropped
    // after this many consecutive reports.
    int max_missing_reports = 2;
    // An unanswered stop order is retried after this time.
    milliseconds stop_retry_interval{500};
    // How long runs and ends of an unknown job wait for its row.
    milliseconds unknown_job_timeout{5000};
    // Consecutive failures that quarantine a worker, and the least number of
    // jobs that they must be of. Failures that their job is to blame for do not
    // count.
    int quarantine_failures = 3;
    int quarantine_jobs = 2;
    // The first quarantine; each further one without a run that is done in
    // between is twice as long, at most max_quarantine.
    milliseconds quarantine{4000};
    milliseconds max_quarantine{32000};
    // The most workers of a service that are not used for their quarantine.
    double max_quarantined_fraction = 0.5;
    // A worker that refused an order gets no tasks for this time.
    milliseconds refusal_backoff{500};
    // A run that lists the same percent for this long, and for as long as
    // stall_percents of it should take, is stopped and started elsewhere. Each
    // time, the task is then given twice as long.
    milliseconds stall_timeout{2500};
    int stall_percents = 8;
    // The most workers of a service that are reserved for waiting steps.
    double max_reserved_fraction = 0.25;
    // A worker is reserved only if the runs that are in the way are expected to
    // end within this time.
    milliseconds reservation_wait{10000};
};

} // namespace coltsfootrack::fleet

#endif
