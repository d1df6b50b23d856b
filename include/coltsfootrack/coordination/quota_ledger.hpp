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

// One team's quota slice in one zone, seen by the zone's owner.
//
// The owner creates a ledger after each takeover and hands in only rows read
// after the takeover was known: before the takeover the former owner could
// still have changed the slice. Until the first row nothing is usable.
//
//     if (auto proposal = ledger.plan(now)) commit(*proposal);
//     start only while use + task fits in ledger.usable();
//
// An amount that is given up leaves usable() when plan() returns the proposal;
// an amount that is gained enters it when the commit is known. One proposal is
// open at a time.
//
// Thread safety: none.
class quota_ledger
{
public:
    // `zones` is the number of zones of the deployment, at least 1.
    quota_ledger(base::team_id team, base::zone_id zone, std::size_t zones,
                 timing periods = {});

    // A table read returned the row. Rows older than the known one are
    // ignored. It resolves a proposal in doubt if the row has changed.
    void row_read(const quota_row& row);

    // The team's limit and the version of its configuration row; a team that
    // was deleted has the limit nothing. Older versions are ignored.
    void limit_changed(const base::resources& limit, std::uint64_t version,
                       base::time_point now);

    // What the team runs in this zone (an upper bound, see
    // adoption_tracker::use_bound) and what waiting work needs on top.
    void set_demand(const base::resources& use, const base::resources& waiting,
                    base::time_point now);

    // The transfer to commit now, if any.
    std::optional<quota_proposal> plan(base::time_point now);

    // The proposal took effect with this version.
    void proposal_applied(std::uint64_t id, std::uint64_t version);

    // The proposal did not and will not take effect. A new one is planned only
    // after the next row_read, as another zone may have changed the row.
    void proposal_rejected(std::uint64_t id);

    // The answer was lost. needs_read() stays true until a read shows a newer
    // row, or the proposal is resolved by one of the functions above.
    void outcome_unknown(std::uint64_t id);

    // Whether the row should be read before anything else can be planned.
    bool needs_read() const;

    // What may be used now: no task may be started beyond it.
    base::resources usable() const;

    // The slice in the last known row.
    base::resources committed() const;

    // How much of the present use must be preempted.
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
    // Highest use plus waiting of each interval, newest last.
    std::deque<std::pair<base::time_point, base::resources>> peaks_;
    std::optional<quota_proposal> proposal_;
    bool in_doubt_ = false;
    std::uint64_t last_proposal_ = 0;
    // The row from which the present proportional shrink is computed, and
    // since when.
    std::optional<quota_row> shrink_base_;
    base::time_point shrink_since_{};
    // The slices of the zones that did not follow the previous shrink.
    base::resources shrink_fixed_;
};

} // namespace coltsfootrack::coordination

#endif
