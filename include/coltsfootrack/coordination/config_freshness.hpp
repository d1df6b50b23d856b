#ifndef COLTSFOOTRACK_COORDINATION_CONFIG_FRESHNESS_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_CONFIG_FRESHNESS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/freshness_answer.hpp>
#include <coltsfootrack/coordination/membership_row.hpp>
#include <coltsfootrack/coordination/timing.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace coltsfootrack::coordination
{

// Proves that the configuration in force is current.
//
// A ticket is an operator's numbered change of the configuration. A piece of
// evidence (s, t) states that every ticket accepted before time t has at most
// sequence s. Once the sequence in force has reached s, it proves that the
// configuration was current at t. Evidence comes from a store read (rule 1), a
// peer's proof (rule 2) or the answers of all acceptors (rule 3).
//
//     const auto round = freshness.begin_round(now); // query all peers
//     freshness.answered(answer, now);
//     if (!freshness.is_current(now)) refuse(config_stale);
//
// Limits: max_rounds open query rounds, and max_pending pieces of evidence for
// sequences not yet in force; the oldest are dropped first.
//
// Thread safety: none.
class config_freshness
{
public:
    static constexpr std::size_t max_rounds = 8;
    static constexpr std::size_t max_pending = 16;

    // Rounds are numbered from first_round + 1. Pass a random number, so that
    // an answer to a previous process does not match a round of this one.
    explicit config_freshness(timing periods = {},
                              std::uint64_t first_round = 0);

    // Records that the configuration of this sequence is in force. Lower
    // sequences are ignored.
    void applied(std::uint64_t sequence, base::time_point now);

    // Rule 1: records the head and membership from a table read sent at `sent`.
    void store_read(base::time_point sent, std::uint64_t sequence,
                    const membership_row& membership);

    // Starts a round of queries to all peers and acceptors, including this
    // daemon's own acceptor_state, and returns its number. The queries must be
    // sent after this call.
    std::uint64_t begin_round(base::time_point now);

    // Rules 2 and 3: records the answer to a query. This daemon's own answer
    // carries no proof age.
    void answered(const freshness_answer& answer);

    // Records that a peer or a notice reported this sequence as accepted.
    void reported(std::uint64_t sequence);

    // Whether the configuration is proved current, so that requests with an
    // API key may be accepted.
    bool is_current(base::time_point now) const;

    // The age of the latest proof, if any. May be sent to a peer as
    // freshness_answer::proof_age together with sequence().
    std::optional<base::duration> age(base::time_point now) const;

    // The sequence in force.
    std::uint64_t sequence() const;

    // The highest sequence known to be accepted; above sequence() while this
    // daemon has to catch up.
    std::uint64_t known_sequence() const;

    const membership_row& membership() const;

private:
    struct evidence
    {
        std::uint64_t sequence;
        base::time_point at;
    };

    struct query_round
    {
        std::uint64_t number;
        base::time_point sent;
        std::map<base::daemon_id, acceptor_answer> acceptors;
    };

    void add_evidence(std::uint64_t sequence, base::time_point at);
    void check_acceptors(const query_round& round);

    timing periods_;
    std::uint64_t sequence_ = 0;
    base::time_point sequence_since_{};
    std::uint64_t known_sequence_ = 0;
    membership_row membership_;
    // The configuration head that was read together with membership_.
    std::uint64_t membership_sequence_ = 0;
    std::optional<base::time_point> proof_;
    std::vector<evidence> pending_;
    std::uint64_t last_round_;
    std::vector<query_round> rounds_;
};

} // namespace coltsfootrack::coordination

#endif
