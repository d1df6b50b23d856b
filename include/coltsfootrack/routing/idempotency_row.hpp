#ifndef COLTSFOOTRACK_ROUTING_IDEMPOTENCY_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_IDEMPOTENCY_ROW_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/routing/idempotency_status.hpp>

#include <absl/status/statusor.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootrack::routing
{

// The value of `idem/<team>/<key>`.
struct idempotency_row
{
    idempotency_status status = idempotency_status::claimed;
    // The token of the claim, unique to one request at one daemon.
    std::string token;
    // The daemon that made the claim and its incarnation.
    base::daemon_id daemon;
    std::uint64_t incarnation = 0;
    // The content_hash of the request.
    std::string content;
    // When the row expires, in seconds since 1970.
    std::chrono::seconds expires = std::chrono::seconds(0);
    // For a done row: the HTTP status, the content type, the body, and whether
    // the body was too large to be recorded.
    std::uint32_t http_status = 0;
    std::string content_type;
    std::string body;
    bool body_omitted = false;

    friend bool operator==(const idempotency_row& a, const idempotency_row& b)
    {
        return a.status == b.status && a.token == b.token &&
               a.daemon == b.daemon && a.incarnation == b.incarnation &&
               a.content == b.content && a.expires == b.expires &&
               a.http_status == b.http_status &&
               a.content_type == b.content_type && a.body == b.body &&
               a.body_omitted == b.body_omitted;
    }

    friend bool operator!=(const idempotency_row& a, const idempotency_row& b)
    {
        return !(a == b);
    }
};

// The largest body that a done row records, in bytes.
constexpr std::size_t max_recorded_body = std::size_t(64) * 1024;

// The row as JSON. The content type and the body are in base64, since the
// upstream may send any bytes.
std::string to_json(const idempotency_row& row);

// Parses a row. Returns internal if the text is not a valid row.
absl::StatusOr<idempotency_row>
idempotency_row_from_json(std::string_view text);

} // namespace coltsfootrack::routing

#endif
