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

// The claim of one request on its row idem/<team>/<key>: made before anything
// is sent, and ended when the request has ended.
//
//     idempotency_claimer claim(table, clock, key, request);
//     claim.acquire(deadline);
//     if (claim.held()) { ... send ...; claim.record(...); }
//
// A claim whose commit has an unknown outcome and that is given up is released
// as soon as the commit turns out to have applied, since nothing was sent. The
// claim of a daemon whose session was fenced or replaced is ended as unknown.
//
// Thread safety: one connection thread at a time. All calls block.
class idempotency_claimer
{
public:
    idempotency_claimer(std::shared_ptr<store::table_client> table,
                        const base::clock& clock, std::string key,
                        routing::idempotency_claim request);

    // Tries to claim the row. Afterwards the claim is held, or there is a
    // recorded answer to replay, or there is a refusal.
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
    enum class ending
    {
        // It is proved that the request did not run.
        released,
        // The complete answer arrived.
        completed,
        // The request may have run.
        lost
    };

    // Ends a held claim; the answer is recorded if it was complete. False if
    // the row could not be written: it then stays claimed, so that a repeat of
    // the key is not sent again.
    bool record(ending how, const http::response& answer);

private:
    struct watch;

    bool try_once();
    bool write(const routing::idempotency_row& row, store::version version);
    void end_dead_claim(const routing::idempotency_row& row,
                        store::version version);
    void give_up(base::error_kind reason);

    std::shared_ptr<store::table_client> table_;
    const base::clock& clock_;
    std::string key_;
    routing::idempotency_claim request_;
    std::shared_ptr<watch> watch_;
    bool held_ = false;
    routing::idempotency_row row_;
    store::version version_ = 0;
    std::optional<http::response> replay_;
    base::error_kind refusal_ = base::error_kind::store_unavailable;
};

// The number of a process start in idempotency rows, from the incarnation of
// its session: its first 16 hexadecimal digits.
std::uint64_t incarnation_number(const std::string& incarnation);

} // namespace coltsfootrack::daemon

#endif
