// Collects evidence by the three rules described in the header.

#include <coltsfootrack/coordination/config_freshness.hpp>

#include <algorithm>

namespace coltsfootrack::coordination
{

config_freshness::config_freshness(timing periods, std::uint64_t first_round)
    : periods_(periods)
    , last_round_(first_round)
{
}

void config_freshness::applied(std::uint64_t sequence, base::time_point now)
{
    if (sequence <= sequence_)
    {
        return;
    }
    sequence_ = sequence;
    sequence_since_ = now;
    reported(sequence);
    const std::vector<evidence> waiting = std::move(pending_);
    pending_.clear();
    for (const evidence& piece : waiting)
    {
        add_evidence(piece.sequence, piece.at);
    }
}

void config_freshness::store_read(base::time_point sent, std::uint64_t sequence,
                                  const membership_row& membership)
{
    if (sequence < sequence_ && sent > sequence_since_)
    {
        // The table has lost a ticket that is in force here, so the read
        // proves nothing.
        return;
    }
    if (membership.version > membership_.version)
    {
        membership_ = membership;
        membership_sequence_ = sequence;
    }
    add_evidence(sequence, sent);
}

std::uint64_t config_freshness::begin_round(base::time_point now)
{
    if (rounds_.size() == max_rounds)
    {
        rounds_.erase(rounds_.begin());
    }
    rounds_.push_back({++last_round_, now, {}});
    return last_round_;
}

void config_freshness::answered(const freshness_answer& answer)
{
    reported(answer.sequence);
    const auto round = std::find_if(rounds_.begin(), rounds_.end(),
                                    [&answer](const query_round& open)
                                    { return open.number == answer.round; });
    if (round == rounds_.end())
    {
        return;
    }
    if (answer.proof_age && *answer.proof_age >= base::duration::zero())
    {
        // The peer's clock may run 1% slow and this one 1% fast.
        const base::duration age = *answer.proof_age + *answer.proof_age / 48;
        add_evidence(answer.sequence, round->sent - age);
    }
    const std::vector<base::daemon_id>& members = membership_.members;
    if (std::find(members.begin(), members.end(), answer.from) != members.end())
    {
        if (answer.acceptor.ready)
        {
            reported(answer.acceptor.sequence);
        }
        round->acceptors[answer.from] = answer.acceptor;
        check_acceptors(*round);
    }
}

void config_freshness::reported(std::uint64_t sequence)
{
    known_sequence_ = std::max(known_sequence_, sequence);
}

bool config_freshness::is_current(base::time_point now) const
{
    const auto proved = age(now);
    return proved && *proved < periods_.max_proof_age &&
           sequence_ >= known_sequence_;
}

std::optional<base::duration> config_freshness::age(base::time_point now) const
{
    if (!proof_)
    {
        return std::nullopt;
    }
    return now - *proof_;
}

std::uint64_t config_freshness::sequence() const
{
    return sequence_;
}

std::uint64_t config_freshness::known_sequence() const
{
    return known_sequence_;
}

const membership_row& config_freshness::membership() const
{
    return membership_;
}

void config_freshness::add_evidence(std::uint64_t sequence, base::time_point at)
{
    reported(sequence);
    if (sequence <= sequence_)
    {
        if (!proof_ || *proof_ < at)
        {
            proof_ = at;
        }
        return;
    }
    if (pending_.size() == max_pending)
    {
        pending_.erase(pending_.begin());
    }
    pending_.push_back({sequence, at});
}

void config_freshness::check_acceptors(const query_round& round)
{
    // The head read together with the membership covers all tickets that were
    // accepted before that membership was written.
    std::uint64_t sequence = membership_sequence_;
    for (const base::daemon_id& member : membership_.members)
    {
        const auto found = round.acceptors.find(member);
        if (found == round.acceptors.end())
        {
            return;
        }
        const acceptor_answer& answer = found->second;
        if (!answer.ready || answer.in_doubt ||
            answer.membership_version != membership_.version)
        {
            return;
        }
        sequence = std::max(sequence, answer.sequence);
    }
    add_evidence(sequence, round.sent);
}

} // namespace coltsfootrack::coordination
