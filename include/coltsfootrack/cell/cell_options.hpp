#ifndef COLTSFOOTRACK_CELL_CELL_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CELL_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/cell/catalogue_catch_up.hpp>
#include <coltsfootrack/cell/catalogue_duty.hpp>
#include <coltsfootrack/cell/early_cancel_limit.hpp>
#include <coltsfootrack/fleet/fleet_options.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace coltsfootrack::cell
{

struct cell_options
{
    using milliseconds = std::chrono::milliseconds;

    base::daemon_id daemon;
    base::zone_id zone;
    // Differs for each start of the process.
    std::uint64_t incarnation = 0;
    // Where it listens for peers: a numeric address and a free port.
    std::string address;
    std::uint16_t peer_port = 0;
    // Where its peers connect.
    std::string advertised_address;
    std::uint16_t advertised_port = 0;

    // The CPU capacity of the VM, in thousandths of a core; 0 if unknown. The
    // leader needs the most.
    std::uint32_t processor_milli = 0;

    // The rate of the VM's link, in bytes a second; 0 if unknown.
    std::uint64_t link_rate = 0;

    // A link of at most this rate, in bytes a second, is thin (5 Mbit/s):
    // frames to peers are compressed, and writes wait longer for others.
    std::uint64_t thin_link_rate = 625000;

    // How long progress that no caller waits for may wait for other writes of
    // its part. Half of what a leader sends are such writes, mostly headers and
    // conditions, which a transaction of several rows has once.
    milliseconds group_delay{50};
    milliseconds thin_link_group_delay{200};

    bool has_thin_link() const
    {
        return link_rate > 0 && link_rate <= thin_link_rate;
    }

    // The number of parts that jobs are spread over. A part runs the
    // transactions of all daemons one after another, each taking a third of a
    // second while the store is slow, so callers queue if there are few parts.
    // More parts mean more transactions, which the platform charges for, and
    // each part costs a write and three reads at a takeover.
    std::size_t job_parts = 16;

    // The longest value of a row that the store takes, in bytes.
    std::size_t max_row_bytes = 65536;

    fleet::fleet_options fleet;

    // The interval at which workers report to the platform, which drops the
    // entry of a worker after three of them without a report; 0 if unknown.
    milliseconds worker_report_interval{0};

    // The interval of the status messages to peers, which are also the
    // heartbeats by which a lost leader is detected.
    milliseconds status_period{250};
    // In a cell with more daemons, those that are not the leader send half as
    // many.
    std::size_t large_cell_size = 16;
    // When a copy of a newer catalogue is requested from a peer; a change has
    // to take effect within 2.5 s. In a large cell, who follows the catalogue
    // in the store.
    catalogue_catch_up::limits catalogue_requests;
    catalogue_duty::limits catalogue_followers;
    // How long a read of changes waits for one (long poll). A dead connection
    // is noticed after this time plus the timeout of the store.
    milliseconds follow_wait{1500};
    // The same for the rows of the cell. Daemons that do little else learn from
    // it that the store answers, so it is shorter than the time after which a
    // silent store counts as unresponsive.
    milliseconds cell_follow_wait{1000};
    // The pause after a read of changes of jobs or workers, so that changes
    // arrive in batches.
    milliseconds follow_pause{250};
    // A worker may delay its answer to a renewal until a run ends. The delay is
    // chosen so that all idle workers together are renewed this many times a
    // second, within these bounds. What a lost answer contained is unknown
    // until that time and the timeout have passed.
    int idle_renewals_per_second = 100;
    milliseconds min_renewal_wait{400};
    milliseconds max_renewal_wait{1000};
    // The pause before the next renewal of a worker that refused or did not
    // answer.
    milliseconds renewal_retry_pause{200};
    // The pause between two renewals of a worker with ends that are not stored
    // yet.
    milliseconds renewal_pause{250};
    // A start or renewal that the leader has not sent to the worker within this
    // time is not sent any more: peers take over from a leader that was paused
    // for so long, and its worker may have restarted and forgotten the run.
    milliseconds send_limit{1200};
    // A leader whose control thread was not active for this long was paused. It
    // orders nothing until it has read the leader row. Less than the time after
    // which a silent leader is replaced.
    milliseconds paused_after{1000};
    // How long a leader that was paused and gets no answer from the store waits
    // for the statuses of its peers, which name a later leader: more than two
    // status periods. With paused_after it exceeds isolated_after, so that a
    // leader without peers counts as isolated by then.
    milliseconds peers_confirm_after{600};
    // A leader that is being stopped waits this long for the answers of idle
    // workers, and in all this long before it hands over: peers take over from
    // one that is lost after 1.2 s.
    milliseconds idle_answer_timeout{250};
    milliseconds hand_over_timeout{600};
    // The minimum time between two scheduling rounds, so that a burst of events
    // shares one.
    milliseconds min_round_interval{8};
    // The maximum time between two scheduling rounds.
    milliseconds round_period{50};
    // A store that has left a write unanswered for this long, and has answered
    // nothing else since, counts as down. A slow store takes 360 ms a write.
    milliseconds store_unresponsive_after{700};
    // A new leader starts no inherited job before the store has answered for
    // this long: worker entries that expired during an outage are back about
    // 2 s after it, and the follower of the list needs another second.
    milliseconds list_complete_delay{3000};
    // A leader that has had no answer from the store for this long, and has not
    // reached every daemon of the cell within this time, grants no lease. Peers
    // wait as long before they take over from it.
    milliseconds isolated_after{1500};
    // The leader removes the row of a daemon that it has not reached for this
    // long, while the store answered; and how often it looks.
    std::chrono::seconds member_retention{20};
    std::chrono::seconds member_check_period{1};
    // A submission that was not sent to the store within this time is refused.
    milliseconds submit_timeout{1000};
    // A failed submission is relayed to a peer only if the local attempt took
    // at most this long, since callers wait 3 s.
    milliseconds relay_cutoff{800};
    // The timeout of a submission relayed to a peer: a store call and the round
    // trip.
    milliseconds relay_timeout{1300};
    // The timeout of a job state query to the leader; then the store is read.
    milliseconds query_timeout{400};
    // Final jobs and their rows are removed after this time; the platform
    // requires 120 s.
    milliseconds final_job_retention{150000};
    // The cancellations of unknown jobs that a daemon stores. The leader
    // removes them once it has known them for this time: as long as the row of
    // a final job keeps its submission from being accepted again.
    early_cancel_limit::limits early_cancels;
    milliseconds early_cancel_retention{150000};
    // How often final jobs are removed, and how many at most each time, so that
    // the removal does not delay other work.
    milliseconds removal_period{1000};
    std::size_t removal_batch = 100;
    // The timeout of a ticket request is its expected duration plus this.
    milliseconds ticket_timeout_margin{900};
    // Ticket requests that take longer leave one daemon free for short ones.
    milliseconds long_ticket_request{100};
};

} // namespace coltsfootrack::cell

#endif
