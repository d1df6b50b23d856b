// What a leader does when its process was paused or isolated: peers may have
// taken over, so it reads the leader row before it orders anything. The fencing
// tokens of the workers do not replace this: one that has restarted since, or
// that the next leader does not reach, knows none.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/leader_row.hpp>
#include <coltsfootrack/cell/leadership.hpp>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "leader";

// The pause before the leader row is read again.
constexpr std::chrono::milliseconds retry_pause{100};

// Whether the leader row, as read, names this epoch.
bool is_led_by(std::uint64_t epoch, const std::vector<stored_row>& rows)
{
    if (rows.empty())
    {
        return false;
    }
    const auto leader =
        decode_leader_row(rows.front().value, rows.front().version);
    return leader.ok() && leader->epoch == epoch;
}

} // namespace

void leadership::on_isolated()
{
    pauses_.assume_pause();
    request_round();
}

void leadership::confirm_leadership()
{
    if (resumed_at_)
    {
        return;
    }
    resumed_at_ = clock_.now();
    metrics_.count_event("leader_paused");
    base::log(base::log_level::warning, log_part,
              "Reading the leader row before the next order. epoch={} "
              "isolated={} since_last_round_ms={}",
              epoch(), hooks_.isolated && hooks_.isolated(),
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  clock_.now() - last_round_)
                  .count());
    read_leader_row();
}

void leadership::read_leader_row()
{
    const base::time_point sent = clock_.now();
    ports_.store.read_row(
        layout_.leader(),
        posted<read_result>([this, sent](const read_result& result)
                            { on_leader_row(result, sent); }));
}

void leadership::on_leader_row(const read_result& result, base::time_point sent)
{
    hooks_.on_store(result.status == read_status::ok);
    // A further pause makes the answer useless.
    const bool answered = result.status == read_status::ok &&
                          clock_.now() - sent <= options_.paused_after;
    if (answered && !is_led_by(epoch(), result.rows))
    {
        report_lost("it was paused or isolated, and no longer leads");
        return;
    }
    if (!answered && !peers_confirm())
    {
        loop_.after(retry_pause, guarded([this] { read_leader_row(); }));
        return;
    }
    resumed_at_.reset();
    pauses_.reset(clock_.now());
    request_round();
}

// Whether every daemon of the cell is reached and has had the time to name a
// later leader, whereupon this one would have stepped down.
bool leadership::peers_confirm() const
{
    return clock_.now() - *resumed_at_ >= options_.peers_confirm_after &&
           !(hooks_.isolated && hooks_.isolated());
}

} // namespace coltsfootrack::cell
