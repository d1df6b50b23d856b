// Sends batches and handles the answers to commits; see section 3.2 of the
// design.

#include "outcomes.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/hex_token.hpp>
#include <coltsfootrack/store/commit_stream.hpp>

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <limits>

namespace coltsfootrack::store
{
namespace
{

using base::error_kind;
constexpr std::size_t no_limit = std::numeric_limits<std::size_t>::max();

// The keys of the mutation's conditions that are among the failed ones.
std::vector<std::string> conflicts_of(const mutation& change,
                                      const std::vector<std::string>& failed)
{
    std::vector<std::string> keys;
    for (const condition& each : change.conditions)
    {
        if (std::find(failed.begin(), failed.end(), each.key) != failed.end())
        {
            keys.push_back(each.key);
        }
    }
    return keys;
}

} // namespace

commit_stream::commit_stream(const table_options& options,
                             base::random_source random)
    : options_(options)
    , random_(std::move(random))
    , queue_(options)
    , retry_at_(base::time_point::min())
    , renew_at_(base::time_point::min())
    , next_batch_at_(base::time_point::min())
{
}

absl::Status commit_stream::submit(std::uint64_t id, mutation change,
                                   base::time_point now)
{
    if (fenced())
    {
        return base::make_error(error_kind::fenced, "the session was fenced");
    }
    return queue_.push(
        {id, std::move(change), now + options_.mutation_timeout, false, 0});
}

stream_call commit_stream::next(base::time_point now)
{
    expire_mutations(now);
    if (!fenced() && now >= retry_at_)
    {
        switch (phase_)
        {
        case phase::initial_read:
        case phase::in_doubt:
            return {stream_call::action::read_session, {}, {}};
        case phase::barrier:
            return send_barrier(now);
        case phase::ready:
            if ((registered_ && !queue_.empty() && now >= next_batch_at_) ||
                now >= renew_at_)
            {
                return send_batch(now);
            }
            break;
        case phase::fenced:
            break;
        }
    }
    return {stream_call::action::wait, wake_time(), {}};
}

stream_call commit_stream::send_batch(base::time_point now)
{
    attempt sent;
    sent.start = now;
    // The registration has no mutations, so that none are in doubt if its
    // answer is lost. After a conflict, a renewal that is due is sent without
    // mutations: a series of conflicts would let the lease expire.
    if (registered_ && !(last_conflicted_ && now >= renew_at_))
    {
        sent.batch = queue_.take_batch(single_commits_left_ > 0 ? 1 : no_limit);
        single_commits_left_ -= std::min<std::size_t>(single_commits_left_, 1);
    }
    last_conflicted_ = false;
    if (!sent.batch.empty())
    {
        next_batch_at_ = now + options_.min_commit_interval;
    }
    sent_ = std::move(sent);
    barrier_in_flight_ = false;
    return commit_call(*sent_);
}

stream_call commit_stream::send_barrier(base::time_point now)
{
    // A repeated barrier keeps its token and its first start time: only one of
    // the copies can apply under one version, and the lease must run from the
    // start of the earliest.
    if (!barrier_)
    {
        barrier_ = attempt{{}, now, {}};
    }
    barrier_in_flight_ = true;
    return commit_call(*barrier_);
}

stream_call commit_stream::commit_call(attempt& sent)
{
    if (sent.token.empty())
    {
        sent.token = base::hex_token(random_);
        ++counter_;
    }
    session_row session;
    session.incarnation = options_.session.incarnation;
    session.zone = options_.session.zone.text();
    session.address = options_.session.address;
    session.counter = counter_;
    session.token = sent.token;
    session.predecessor = predecessor_token_;

    stream_call call;
    call.action = stream_call::action::commit;
    const std::string key = options_.session.key();
    call.content.require(key, session_version_).put(key, session.to_json());
    absl::flat_hash_map<std::string, version> required;
    for (const mutation_queue::entry& each : sent.batch)
    {
        for (const condition& needed : each.change.conditions)
        {
            if (required.emplace(needed.key, needed.version).second)
            {
                call.content.conditions.push_back(needed);
            }
        }
        call.content.writes.insert(call.content.writes.end(),
                                   each.change.writes.begin(),
                                   each.change.writes.end());
    }
    return call;
}

void commit_stream::commit_answered(const commit_answer& answer,
                                    base::time_point now)
{
    switch (answer.result)
    {
    case commit_answer::result::committed:
        on_applied(barrier_in_flight_ ? *barrier_ : *sent_, answer.sequence);
        break;
    case commit_answer::result::conflict:
        on_conflict(answer, now);
        break;
    case commit_answer::result::refused:
        on_refused(now);
        break;
    case commit_answer::result::not_sent:
        back_off(now);
        if (!barrier_in_flight_)
        {
            retry_batch(std::move(sent_->batch));
            sent_.reset();
        }
        break;
    case commit_answer::result::lost:
        on_lost(now);
        break;
    }
}

// Records the session row that the attempt wrote. Other attempts required the
// previous version, so they never apply.
void commit_stream::on_applied(const attempt& done, version sequence)
{
    renewal_ = done.start;
    renew_at_ = done.start + options_.renewal_interval;
    session_version_ = sequence;
    session_token_ = done.token;
    registered_ = true;
    consecutive_failures_ = 0;
    const bool batch_applied = sent_ && sent_->token == done.token;
    if (batch_applied)
    {
        report_all(sent_->batch, committed(sequence));
    }
    else if (sent_)
    {
        retry_batch(std::move(sent_->batch));
    }
    sent_.reset();
    barrier_.reset();
    phase_ = phase::ready;
}

// Requeues mutations that certainly did not apply. Those that were already
// reported as unknown fail instead: their callers have given up.
void commit_stream::retry_batch(std::vector<mutation_queue::entry> batch)
{
    std::vector<mutation_queue::entry> retried;
    for (mutation_queue::entry& each : batch)
    {
        if (each.unknown_reported)
        {
            report(each, failed(error_kind::store_unavailable));
        }
        else
        {
            retried.push_back(std::move(each));
        }
    }
    queue_.requeue(std::move(retried));
}

void commit_stream::on_conflict(const commit_answer& answer,
                                base::time_point now)
{
    const std::string session = options_.session.key();
    const bool session_failed =
        std::find(answer.failed_keys.begin(), answer.failed_keys.end(),
                  session) != answer.failed_keys.end();
    if (barrier_in_flight_)
    {
        // The commit in doubt or an earlier copy of the barrier applied, or the
        // session was fenced.
        phase_ = phase::in_doubt;
        if (!session_failed)
        {
            back_off(now);
        }
        return;
    }
    std::vector<mutation_queue::entry> others;
    for (mutation_queue::entry& each : sent_->batch)
    {
        std::vector<std::string> keys =
            conflicts_of(each.change, answer.failed_keys);
        if (keys.empty() || session_failed)
        {
            others.push_back(std::move(each));
        }
        else
        {
            report(each, conflict(std::move(keys)));
        }
    }
    const bool cause_known =
        session_failed || others.size() < sent_->batch.size();
    sent_.reset();
    queue_.requeue(std::move(others));
    last_conflicted_ = true;
    if (session_failed)
    {
        phase_ = registered_ ? phase::in_doubt : phase::initial_read;
    }
    if (!cause_known || !registered_)
    {
        back_off(now);
    }
}

// A refusal does not name the mutation at fault, so those of a batch are then
// sent one by one.
void commit_stream::on_refused(base::time_point now)
{
    if (barrier_in_flight_ || sent_->batch.empty())
    {
        back_off(now);
        if (!barrier_in_flight_)
        {
            sent_.reset();
        }
        return;
    }
    if (sent_->batch.size() == 1)
    {
        report(sent_->batch.front(), failed(error_kind::invalid_request));
    }
    else
    {
        single_commits_left_ = sent_->batch.size();
        queue_.requeue(std::move(sent_->batch));
    }
    sent_.reset();
}

void commit_stream::on_lost(base::time_point now)
{
    phase_ = phase::in_doubt;
    back_off(now);
}

void commit_stream::expire_mutations(base::time_point now)
{
    report_all(queue_.take_expired(now), failed(error_kind::store_unavailable));
    if (!sent_)
    {
        return;
    }
    for (mutation_queue::entry& each : sent_->batch)
    {
        if (each.deadline <= now && !each.unknown_reported)
        {
            report(each, unknown());
            each.unknown_reported = true;
        }
    }
}

base::time_point commit_stream::wake_time() const
{
    if (fenced())
    {
        return base::time_point::max();
    }
    base::time_point wake =
        std::min(queue_.next_deadline(), std::max(retry_at_, renew_at_));
    if (phase_ != phase::ready)
    {
        wake = std::min(wake, retry_at_);
    }
    else if (!queue_.empty())
    {
        wake = std::min(wake, std::max(retry_at_, next_batch_at_));
    }
    return wake;
}

void commit_stream::abandon()
{
    if (sent_)
    {
        for (mutation_queue::entry& each : sent_->batch)
        {
            if (!each.unknown_reported)
            {
                report(each, unknown());
                each.unknown_reported = true;
            }
        }
    }
    report_all(queue_.take_all(), failed(error_kind::draining));
}

std::vector<commit_report> commit_stream::take_reports()
{
    std::vector<commit_report> taken;
    taken.swap(reports_);
    return taken;
}

std::optional<base::time_point> commit_stream::take_renewal()
{
    const std::optional<base::time_point> taken = renewal_;
    renewal_.reset();
    return taken;
}

bool commit_stream::idle() const
{
    return queue_.empty() && (!sent_ || sent_->batch.empty());
}

void commit_stream::report(const mutation_queue::entry& entry,
                           commit_outcome outcome)
{
    if (outcome.final() || !entry.unknown_reported)
    {
        reports_.push_back({entry.id, std::move(outcome)});
    }
}

void commit_stream::report_all(
    const std::vector<mutation_queue::entry>& entries,
    const commit_outcome& outcome)
{
    for (const mutation_queue::entry& each : entries)
    {
        report(each, outcome);
    }
}

void commit_stream::back_off(base::time_point now)
{
    const std::uint32_t doublings =
        std::min<std::uint32_t>(consecutive_failures_, 16);
    ++consecutive_failures_;
    const auto longest =
        std::min(options_.max_retry_delay,
                 options_.initial_retry_delay * (1U << doublings));
    // Half of the delay is random, so that daemons do not retry in step.
    const auto half = std::max<std::int64_t>(longest.count() / 2, 1);
    retry_at_ =
        now + std::chrono::milliseconds(
                  half + static_cast<std::int64_t>(
                             random_() % static_cast<std::uint64_t>(half)));
}

} // namespace coltsfootrack::store
