// Tracks open commit attempts; the end of the lease follows from the start of
// the last successful one.

#include <coltsfootrack/coordination/session_lease.hpp>

#include <algorithm>

namespace coltsfootrack::coordination
{

session_lease::session_lease(timing periods)
    : periods_(periods)
{
}

std::uint64_t session_lease::commit_started(base::time_point now)
{
    if (open_.size() == max_attempts)
    {
        open_.erase(open_.begin());
    }
    open_.push_back({++last_attempt_, now, false});
    return last_attempt_;
}

void session_lease::commit_succeeded(std::uint64_t attempt)
{
    for (const attempt_state& open : open_)
    {
        if (open.number == attempt &&
            (!last_success_ || *last_success_ < open.started))
        {
            last_success_ = open.started;
        }
    }
    open_.clear();
}

void session_lease::commit_rejected(std::uint64_t attempt)
{
    open_.erase(std::remove_if(open_.begin(), open_.end(),
                               [attempt](const attempt_state& open)
                               { return open.number == attempt; }),
                open_.end());
}

void session_lease::outcome_unknown(std::uint64_t attempt)
{
    for (attempt_state& open : open_)
    {
        if (open.number == attempt)
        {
            open.unknown = true;
        }
    }
}

void session_lease::fenced()
{
    fenced_ = true;
    open_.clear();
}

std::optional<base::time_point> session_lease::valid_until() const
{
    if (fenced_ || !last_success_)
    {
        return std::nullopt;
    }
    return *last_success_ + periods_.lease;
}

bool session_lease::is_valid(base::time_point now) const
{
    const auto end = valid_until();
    return end && now < *end;
}

bool session_lease::is_fenced() const
{
    return fenced_;
}

bool session_lease::in_doubt() const
{
    return std::any_of(open_.begin(), open_.end(),
                       [](const attempt_state& open) { return open.unknown; });
}

} // namespace coltsfootrack::coordination
