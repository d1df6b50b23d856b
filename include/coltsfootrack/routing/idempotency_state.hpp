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

// The transitions of the row idem/<team>/<key>, without I/O.
//
//     idempotency_state state(row read from the table);
//     claim_decision decision = state.claim(request, wall_time);
//
//     absent ------> claimed ----> done
//     released ---->   |  |------> unknown
//        ^-------------|
//
// Every written row is conditional on the version of the row that was read, so
// that of two daemons with the same key only one claims it. Expired rows count
// as absent, whatever they hold.
//
// Expiry uses the time of day, because the daemons share no other time line. A
// row lives for 24 h; errors of minutes do not matter.
//
// Thread safety: an immutable value.
class idempotency_state
{
public:
    // How long a row is kept after the last write.
    static constexpr std::chrono::hours lifetime{24};

    // The state with the given row, or absent.
    explicit idempotency_state(std::optional<idempotency_row> row);

    // The row, or nothing if absent.
    const std::optional<idempotency_row>& row() const;

    // Whether there is a row and its time is over. It may be deleted.
    bool expired(std::chrono::system_clock::time_point wall) const;

    // Decides on a request. Refuses with invalid_request if the key is in use
    // with another content, request_in_progress if another request holds the
    // claim, and outcome_unknown if the outcome is lost.
    claim_decision claim(const idempotency_claim& request,
                         std::chrono::system_clock::time_point wall) const;

    // The row that records the complete answer. This and the next two give
    // store_conflict unless the row is claimed with the token.
    absl::StatusOr<idempotency_row>
    complete(std::string_view token, std::uint32_t http_status,
             std::string_view content_type, std::string_view body,
             std::chrono::system_clock::time_point wall) const;

    // The row after it was proved that the request did not run.
    absl::StatusOr<idempotency_row>
    release(std::string_view token,
            std::chrono::system_clock::time_point wall) const;

    // The row after the request may have run and no complete answer arrived.
    absl::StatusOr<idempotency_row>
    mark_unknown(std::string_view token,
                 std::chrono::system_clock::time_point wall) const;

    // The row after the claiming process was fenced or is gone: the outcome is
    // unknown. store_conflict unless claimed by that process.
    absl::StatusOr<idempotency_row>
    abandon(const base::daemon_id& daemon, std::uint64_t incarnation,
            std::chrono::system_clock::time_point wall) const;

private:
    absl::StatusOr<idempotency_row>
    end(bool permitted, idempotency_status status,
        std::chrono::system_clock::time_point wall) const;

    std::optional<idempotency_row> row_;
};

// The hash of what makes two requests with one key the same: service, method
// and body; SHA-256 in hexadecimal digits.
std::string content_hash(std::string_view service, std::string_view method,
                         std::string_view body);

} // namespace coltsfootrack::routing

#endif
