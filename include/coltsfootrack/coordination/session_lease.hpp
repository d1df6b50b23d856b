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

// The lease that a daemon's successful commits give it. It counts from before
// the commit was sent, because the table may have applied the commit at any
// moment after that.
//
//     const auto attempt = lease.commit_started(now);
//     // ... send; later, on success or when a read shows the token:
//     lease.commit_succeeded(attempt);
//     if (lease.is_valid(now)) ...
//
// An attempt whose answer was lost stays open until it is resolved; a further
// attempt under the same session version may be started meanwhile. At most
// max_attempts are remembered; the success of a forgotten one does not extend
// the lease.
//
// Thread safety: none.
class session_lease
{
public:
    static constexpr std::size_t max_attempts = 8;

    explicit session_lease(timing periods = {});

    // Records that a commit is about to be sent and returns its attempt number.
    std::uint64_t commit_started(base::time_point now);

    // The attempt took effect. All other open attempts had the same session
    // version as a condition and are known not to take effect.
    void commit_succeeded(std::uint64_t attempt);

    // The attempt is known not to have taken effect and never will.
    void commit_rejected(std::uint64_t attempt);

    // The answer was lost. The lease stays as it is until the attempt is
    // resolved by commit_succeeded or commit_rejected.
    void outcome_unknown(std::uint64_t attempt);

    // The session row was written by another daemon: the lease ends for good.
    void fenced();

    // The end of the lease; none before the first success and after fenced.
    std::optional<base::time_point> valid_until() const;

    bool is_valid(base::time_point now) const;
    bool is_fenced() const;

    // Whether an attempt is open whose answer was lost.
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
