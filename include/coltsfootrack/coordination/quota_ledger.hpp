#ifndef COLTSFOOTRACK_COORDINATION_QUOTA_LEDGER_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_QUOTA_LEDGER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/coordination/quota_proposal.hpp>
#include <coltsfootrack/coordination/quota_row.hpp>
#include <coltsfootrack/coordination/timing.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace coltsfootrack::coordination
{

// One team's quota slice in one zone (the part of the team's limit that the
// zone may use), as tracked by the zone's owner.
//
// The owner creates a ledger after each takeover and passes only rows read
// after the takeover was known to have taken effect: before that, the previous
// owner could still change the slice. Until the first row nothing is usable.
//
//     if (auto proposal = ledger.plan(now)) commit(*proposal);
//     start only while use + task fits in ledger.usable();
//
// A reduction applies to usable() as soon as plan() returns the proposal, a
// raise only once its commit is known to have taken effect. One proposal is
// open at a time.
//
// Thread safety: none.
class quota_ledger
{
public:
    // `zones` is the number of zones of the deployment, at least 1.
    quota_ledger(base::team_id team, base::zone_id zone, std::size_t zones,
                 timing periods = {});

    // Records the row from a table read; older rows than the known one are
    // ignored. A changed row resolves a proposal in doubt.
    void row_read(const quota_row& row);

    // Sets the team's limit and the version of its configuration row. A deleted
    // team has a limit of zero. Older versions are ignored.
    void limit_changed(const base::resources& limit, std::uint64_t version,
                       base::time_point now);

    // Sets what the team uses in this zone (an upper bound, see
    // adoption_tracker::use_bound) and what its waiting tasks need on top.
    void set_demand(const base::resources& use, const base::resources& waiting,
                    base::time_point now);

    // The change of the slice to commit now, if any.
    std::optional<quota_proposal> plan(base::time_point now);

    // Records that the proposal took effect with this row version.
    void proposal_applied(std::uint64_t id, std::uint64_t version);

    // Records that the proposal did not and will not take effect. The next one
    // is planned only after a row_read, as another zone may have changed the
    // row.
    void proposal_rejected(std::uint64_t id);

    // Records that the answer to the commit was lost. needs_read() is true
    // until a read shows a newer row or one of the functions above is called.
    void outcome_unknown(std::uint64_t id);

    // Whether the row must be read before the next change can be planned.
    bool needs_read() const;

    // What the team may use now; no task may be started beyond it.
    base::resources usable() const;

    // The slice in the last known row.
    base::resources committed() const;

    // The part of the current use that must be preempted.
    base::resources to_preempt() const;

private:
    base::resources shrink_target() const;
    base::resources idle_floor(base::time_point now) const;
    base::resources wanted_slice(base::time_point now) const;
    bool over_limit() const;
    void update_shrink(base::time_point now);

    base::team_id team_;
    base::zone_id zone_;
    std::size_t zones_;
    timing periods_;
    bool row_known_ = false;
    bool reread_ = true;
    quota_row row_;
    std::optional<base::resources> limit_;
    std::uint64_t limit_version_ = 0;
    base::resources use_;
    base::resources waiting_;
    // The peak of use plus waiting in each interval, newest last.
    std::deque<std::pair<base::time_point, base::resources>> peaks_;
    std::optional<quota_proposal> proposal_;
    bool in_doubt_ = false;
    std::uint64_t last_proposal_ = 0;
    // The row from which the current proportional shrink is computed, and when
    // it was set.
    std::optional<quota_row> shrink_base_;
    base::time_point shrink_since_{};
    // The total of the slices that other zones did not lower in the previous
    // shrink.
    base::resources shrink_fixed_;
};

} // namespace coltsfootrack::coordination

#endif
