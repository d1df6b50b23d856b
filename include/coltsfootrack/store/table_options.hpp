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

    // The session is renewed this often if no other commit renews it.
    std::chrono::milliseconds renewal_interval{2000};
    // Commits with mutations start at least this far apart; mutations that
    // arrive meanwhile share the next one (group commit). 18 daemons then make
    // at most 360 commits a second; the platform sustains several hundred. A
    // mutation that arrives at an idle stream is not delayed.
    std::chrono::milliseconds min_commit_interval{50};
    // The timeout of one commit or one read.
    std::chrono::milliseconds call_timeout{2000};
    // A mutation that is neither applied nor refused by then is reported as
    // failed if it is certain that it did not apply, else as unknown.
    std::chrono::milliseconds mutation_timeout{5000};
    // The delay after a failed call doubles from the first to the second value,
    // with jitter.
    std::chrono::milliseconds initial_retry_delay{50};
    std::chrono::milliseconds max_retry_delay{1000};

    // Limits of one commit; the platform takes 500 writes and 1 MiB, including
    // the session row.
    std::size_t max_batch_mutations = 100;
    std::size_t max_batch_writes = 400;
    std::size_t max_batch_bytes = std::size_t{512} << 10U;
    // Limits of the queues; above them submissions are refused: overloaded.
    std::size_t max_queued_mutations = 2000;
    std::size_t max_queued_bytes = std::size_t{8} << 20U;
    std::size_t max_queued_reads = 500;
    // The maximum size of the answer to a read.
    std::size_t max_read_bytes = std::size_t{32} << 20U;

    // Rate limits with a burst of one second's worth, for rows written and for
    // read calls. Work above them is refused: store_budget_spent. A renewal
    // counts as one row and is never refused.
    double writes_per_second = 100;
    double reads_per_second = 100;
};

} // namespace coltsfootrack::store

#endif
