#ifndef COLTSFOOTRACK_ROUTING_IDEMPOTENCY_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_IDEMPOTENCY_STATE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/routing/claim_decision.hpp>
#include <coltsfootrack/routing/idempotency_claim.hpp>
#include <coltsfootrack/routing/idempotency_row.hpp>

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootrack::routing
{

// The state machine of the row `idem/<team>/<key>`, without I/O.
//
//     idempotency_state state(row read from the table);
//     claim_decision decision = state.claim(request, wall_time);
//
//     absent ------> claimed ----> done
//     released ---->   |  |------> unknown
//        ^-------------|
//
// Every write is conditional on the version of the row that was read, so that
// only one of two daemons with the same key claims it. Expired rows count as
// absent, whatever their status.
//
// Expiry uses wall-clock time, because the daemons share no other clock. A row
// lives for 24 h, so clock errors of minutes do not matter.
//
// Thread safety: an immutable value.
class idempotency_state
{
public:
    // How long a row is kept after the last write.
    static constexpr std::chrono::hours lifetime{24};

    // Takes the row that was read, or none if it was absent.
    explicit idempotency_state(std::optional<idempotency_row> row);

    // The row; none if absent.
    const std::optional<idempotency_row>& row() const;

    // Whether there is a row and it has expired, so that it may be deleted.
    bool expired(std::chrono::system_clock::time_point wall) const;

    // Decides on a request. Refuses with invalid_request if the key is in use
    // with other content, request_in_progress if another request holds the
    // claim, and outcome_unknown if the row has the status unknown.
    claim_decision claim(const idempotency_claim& request,
                         std::chrono::system_clock::time_point wall) const;

    // The row that records the complete answer. This and the next two return
    // store_conflict unless the row is claimed with the token.
    absl::StatusOr<idempotency_row>
    complete(std::string_view token, std::uint32_t http_status,
             std::string_view content_type, std::string_view body,
             std::chrono::system_clock::time_point wall) const;

    // The row for a request that is proved not to have run.
    absl::StatusOr<idempotency_row>
    release(std::string_view token,
            std::chrono::system_clock::time_point wall) const;

    // The row for a request that may have run, without a complete answer.
    absl::StatusOr<idempotency_row>
    mark_unknown(std::string_view token,
                 std::chrono::system_clock::time_point wall) const;

    // The row after the claiming process was fenced or is gone: the outcome is
    // unknown. Returns store_conflict unless that process holds the claim.
    absl::StatusOr<idempotency_row>
    abandon(const base::daemon_id& daemon, std::uint64_t incarnation,
            std::chrono::system_clock::time_point wall) const;

private:
    absl::StatusOr<idempotency_row>
    end(bool permitted, idempotency_status status,
        std::chrono::system_clock::time_point wall) const;

    std::optional<idempotency_row> row_;
};

// The SHA-256 hash, in hexadecimal digits, of what must be equal in two
// requests with the same key: service, method and body.
std::string content_hash(std::string_view service, std::string_view method,
                         std::string_view body);

} // namespace coltsfootrack::routing

#endif
