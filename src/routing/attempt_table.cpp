// Matches answers to open attempts.

#include <coltsfootrack/routing/attempt_table.hpp>

#include <coltsfootrack/base/error_kind.hpp>

#include <fmt/core.h>

namespace coltsfootrack::routing
{

attempt_table::attempt_table(std::size_t capacity)
    : capacity_(capacity)
{
}

absl::Status attempt_table::open(const std::string& attempt_id,
                                 std::uint64_t request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (open_.contains(attempt_id))
    {
        return base::make_error(base::error_kind::internal,
                                "attempt id is in use");
    }
    if (open_.size() >= capacity_)
    {
        return base::make_error(base::error_kind::overloaded,
                                "too many attempts in flight");
    }
    open_.emplace(attempt_id, request);
    return absl::OkStatus();
}

absl::StatusOr<std::uint64_t>
attempt_table::settle(const std::string& sent_as, const attempt_answer& answer)
{
    std::uint64_t request = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = open_.find(sent_as);
        if (found == open_.end())
        {
            return base::make_error(base::error_kind::not_found,
                                    "no open attempt for the answer");
        }
        request = found->second;
        open_.erase(found);
    }
    if (answer.attempt_id != sent_as)
    {
        return base::make_error(base::error_kind::upstream_truncated,
                                "the answer belongs to another attempt");
    }
    if (!answer.declared_length)
    {
        return base::make_error(base::error_kind::upstream_truncated,
                                "the answer declares no length");
    }
    if (*answer.declared_length != answer.received_length)
    {
        return base::make_error(base::error_kind::upstream_truncated,
                                fmt::format("{} of {} bytes arrived",
                                            answer.received_length,
                                            *answer.declared_length));
    }
    return request;
}

bool attempt_table::abandon(const std::string& attempt_id)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_.erase(attempt_id) != 0;
}

std::size_t attempt_table::size() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_.size();
}

} // namespace coltsfootrack::routing
