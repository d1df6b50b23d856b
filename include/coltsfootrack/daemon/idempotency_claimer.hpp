#ifndef COLTSFOOTRACK_DAEMON_IDEMPOTENCY_CLAIMER_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_IDEMPOTENCY_CLAIMER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/http/response.hpp>
#include <coltsfootrack/routing/idempotency_claim.hpp>
#include <coltsfootrack/routing/idempotency_row.hpp>
#include <coltsfootrack/store/table_client.hpp>

#include <memory>
#include <optional>
#include <string>

namespace coltsfootrack::daemon
{

// The claim of one request on its row idem/<team>/<key>: written before the
// request is sent, and resolved when it has ended.
//
//     idempotency_claimer claim(table, clock, key, request);
//     claim.acquire(deadline);
//     if (claim.held()) { ... send ...; claim.record(...); }
//
// If the outcome of the claim's commit stays unknown, nothing is sent, and the
// claim is released should the commit turn out to have applied. A claim of a
// daemon whose session was fenced or replaced is marked as unknown.
//
// Thread safety: one connection thread at a time. All calls block.
class idempotency_claimer
{
public:
    idempotency_claimer(std::shared_ptr<store::table_client> table,
                        const base::clock& clock, std::string key,
                        routing::idempotency_claim request);

    // Tries to claim the row. Afterwards either the claim is held, or there is
    // a recorded answer to replay, or there is a refusal.
    void acquire(base::time_point deadline);

    bool held() const
    {
        return held_;
    }

    const std::optional<http::response>& replay() const
    {
        return replay_;
    }

    base::error_kind refusal() const
    {
        return refusal_;
    }

    // How a held claim ends.
    enum class claim_end
    {
        // The request certainly did not run.
        released,
        // The complete answer arrived.
        completed,
        // The request may have run.
        outcome_unknown
    };

    // Resolves a held claim; records the answer if it is complete. False if the
    // row could not be written: it then stays claimed, so that a retry with the
    // same key is not sent.
    bool record(claim_end how, const http::response& answer);

private:
    struct late_commit;

    bool try_once();
    bool write(const routing::idempotency_row& row, store::version version);
    void end_orphaned_claim(const routing::idempotency_row& row,
                            store::version version);
    void give_up(base::error_kind reason);

    std::shared_ptr<store::table_client> table_;
    const base::clock& clock_;
    std::string key_;
    routing::idempotency_claim request_;
    std::shared_ptr<late_commit> late_commit_;
    bool held_ = false;
    routing::idempotency_row row_;
    store::version version_ = 0;
    std::optional<http::response> replay_;
    base::error_kind refusal_ = base::error_kind::store_unavailable;
};

// The number that stands for a session's incarnation in idempotency rows: its
// first 16 hexadecimal digits.
std::uint64_t incarnation_number(const std::string& incarnation);

} // namespace coltsfootrack::daemon

#endif
