// The transitions of the state machine drawn in the header.

#include <coltsfootrack/routing/idempotency_state.hpp>

#include <coltsfootrack/base/error_kind.hpp>

#include <fmt/core.h>
#include <utility>

namespace coltsfootrack::routing
{
namespace
{

std::chrono::seconds seconds_of(std::chrono::system_clock::time_point wall)
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        wall.time_since_epoch());
}

} // namespace

idempotency_state::idempotency_state(std::optional<idempotency_row> row)
    : row_(std::move(row))
{
}

const std::optional<idempotency_row>& idempotency_state::row() const
{
    return row_;
}

bool idempotency_state::expired(
    std::chrono::system_clock::time_point wall) const
{
    return row_ && row_->expires <= seconds_of(wall);
}

claim_decision
idempotency_state::claim(const idempotency_claim& request,
                         std::chrono::system_clock::time_point wall) const
{
    const bool absent = !row_ || expired(wall);
    if (!absent && row_->content != request.content)
    {
        return refuse_claim{base::error_kind::invalid_request};
    }
    if (absent || row_->status == idempotency_status::released)
    {
        idempotency_row claimed;
        claimed.status = idempotency_status::claimed;
        claimed.token = request.token;
        claimed.daemon = request.daemon;
        claimed.incarnation = request.incarnation;
        claimed.content = request.content;
        claimed.expires = seconds_of(wall) + lifetime;
        return write_claim{std::move(claimed)};
    }
    if (row_->status == idempotency_status::done)
    {
        return replay_outcome{*row_};
    }
    if (row_->status == idempotency_status::unknown)
    {
        return refuse_claim{base::error_kind::outcome_unknown};
    }
    if (row_->token == request.token && row_->daemon == request.daemon &&
        row_->incarnation == request.incarnation)
    {
        return claim_held{};
    }
    return refuse_claim{base::error_kind::request_in_progress};
}

absl::StatusOr<idempotency_row>
idempotency_state::complete(std::string_view token, std::uint32_t http_status,
                            std::string_view content_type,
                            std::string_view body,
                            std::chrono::system_clock::time_point wall) const
{
    auto row =
        end(row_ && row_->token == token, idempotency_status::done, wall);
    if (row.ok())
    {
        row->http_status = http_status;
        row->content_type = std::string(content_type);
        row->body_omitted = body.size() > max_recorded_body;
        row->body = row->body_omitted ? std::string() : std::string(body);
    }
    return row;
}

absl::StatusOr<idempotency_row>
idempotency_state::release(std::string_view token,
                           std::chrono::system_clock::time_point wall) const
{
    return end(row_ && row_->token == token, idempotency_status::released,
               wall);
}

absl::StatusOr<idempotency_row> idempotency_state::mark_unknown(
    std::string_view token, std::chrono::system_clock::time_point wall) const
{
    return end(row_ && row_->token == token, idempotency_status::unknown, wall);
}

absl::StatusOr<idempotency_row>
idempotency_state::abandon(const base::daemon_id& daemon,
                           std::uint64_t incarnation,
                           std::chrono::system_clock::time_point wall) const
{
    return end(row_ && row_->daemon == daemon &&
                   row_->incarnation == incarnation,
               idempotency_status::unknown, wall);
}

absl::StatusOr<idempotency_row>
idempotency_state::end(bool permitted, idempotency_status status,
                       std::chrono::system_clock::time_point wall) const
{
    if (!permitted || row_->status != idempotency_status::claimed)
    {
        return base::make_error(base::error_kind::store_conflict,
                                "the idempotency row has another claim");
    }
    idempotency_row row = *row_;
    row.status = status;
    row.expires = seconds_of(wall) + lifetime;
    return row;
}

} // namespace coltsfootrack::routing
