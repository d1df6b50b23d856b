#ifndef COLTSFOOTRACK_STORE_TABLE_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_TABLE_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/store/session_identity.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace coltsfootrack::store
{

// The settings and limits of a table client.
struct table_options
{
    // Numeric address and port of the platform.
    std::string platform;
    session_identity session;

    // Without other work the session is renewed this often.
    std::chrono::milliseconds renewal_interval{2000};
    // Commits with mutations start at least this far apart, and mutations that
    // arrive meanwhile share the next one. 18 daemons then make at most 360
    // commits a second; the platform sustains several hundred. A mutation that
    // arrives at an idle stream is not delayed.
    std::chrono::milliseconds min_commit_interval{50};
    // The time for one commit or one read.
    std::chrono::milliseconds call_timeout{2000};
    // A mutation that is neither applied nor refused by then is reported as
    // unavailable if it is certain that it did not apply, else as unknown.
    std::chrono::milliseconds mutation_timeout{5000};
    // The waiting time after a failed call doubles from the first to the
    // second value, with jitter.
    std::chrono::milliseconds retry_first{50};
    std::chrono::milliseconds retry_last{1000};

    // One commit; the platform takes 500 writes and 1 MiB, including the
    // session row.
    std::size_t max_batch_mutations = 100;
    std::size_t max_batch_writes = 400;
    std::size_t max_batch_bytes = std::size_t{512} << 10U;
    // Mutations and reads that wait. Above it they are refused: overloaded.
    std::size_t max_queued_mutations = 2000;
    std::size_t max_queued_bytes = std::size_t{8} << 20U;
    std::size_t max_queued_reads = 500;
    // The longest answer to a read.
    std::size_t max_read_bytes = std::size_t{32} << 20U;

    // Budgets per second, of which one second's worth may be used at once.
    // Rows written and calls read above theirs are refused: store_budget_spent.
    // Renewals are charged as rows and always made.
    double writes_per_second = 100;
    double reads_per_second = 100;
};

} // namespace coltsfootrack::store

#endif
