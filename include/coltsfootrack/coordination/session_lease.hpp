#ifndef COLTSFOOTRACK_COORDINATION_SESSION_LEASE_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_SESSION_LEASE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/coordination/timing.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace coltsfootrack::coordination
{

// The lease that a daemon's successful commits renew. It runs from the time
// before the commit was sent, because the table may have applied the commit at
// any moment after that.
//
//     const auto attempt = lease.commit_started(now);
//     // ... send; later, on success or when a read shows the token:
//     lease.commit_succeeded(attempt);
//     if (lease.is_valid(now)) ...
//
// An attempt whose answer was lost stays open until it is resolved; meanwhile
// another attempt under the same session version may be started. At most
// max_attempts are kept; the success of a dropped one does not renew the lease.
//
// Thread safety: none.
class session_lease
{
public:
    static constexpr std::size_t max_attempts = 8;

    explicit session_lease(timing periods = {});

    // Records that a commit is about to be sent and returns its attempt number.
    std::uint64_t commit_started(base::time_point now);

    // Records that the attempt took effect. All other open attempts were
    // conditional on the same session version and can no longer take effect.
    void commit_succeeded(std::uint64_t attempt);

    // Records that the attempt did not and will not take effect.
    void commit_rejected(std::uint64_t attempt);

    // Records that the answer was lost. The lease is unchanged until
    // commit_succeeded or commit_rejected resolves the attempt.
    void outcome_unknown(std::uint64_t attempt);

    // Records that another daemon wrote the session row: the lease ends for
    // good.
    void fenced();

    // The end of the lease; none before the first success and after fenced().
    std::optional<base::time_point> valid_until() const;

    bool is_valid(base::time_point now) const;
    bool is_fenced() const;

    // Whether there is an open attempt whose answer was lost.
    bool in_doubt() const;

private:
    struct attempt_state
    {
        std::uint64_t number;
        base::time_point started;
        bool unknown;
    };

    timing periods_;
    std::uint64_t last_attempt_ = 0;
    std::vector<attempt_state> open_;
    std::optional<base::time_point> last_success_;
    bool fenced_ = false;
};

} // namespace coltsfootrack::coordination

#endif
