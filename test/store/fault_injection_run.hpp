#ifndef COLTSFOOTRACK_TEST_STORE_FAULT_INJECTION_RUN_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STORE_FAULT_INJECTION_RUN_HPP_INCLUDED

#include "naive_table.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/store/commit_stream.hpp>

#include <cstdint>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace coltsfootrack::store
{

// Drives a commit stream against a naive table with random faults drawn by
// RapidCheck, and checks the reports against the table's contents.
class fault_injection_run
{
public:
    static table_options options()
    {
        table_options made;
        made.session.daemon = base::daemon_id("d1");
        made.session.incarnation = "i2";
        made.session.zone = base::zone_id("a1");
        made.session.address = "10.0.0.1:80";
        made.max_batch_mutations = 4;
        return made;
    }

    // Percentages of each fault.
    struct fault_rates
    {
        int lost_applied = 15;
        int lost_dropped = 10;
        int delayed = 15;
        int not_sent = 5;
        int refused = 5;
        int read_failed = 20;
        int fenced = 1;
    };

    explicit fault_injection_run(const fault_rates& rates)
        : rates_(rates)
        , stream_(options(), base::seeded_random(*rc::gen::arbitrary<int>()))
    {
        if (percent(50))
        {
            session_row previous;
            previous.incarnation = "i1";
            previous.token = "former";
            table_.commit(mutation().put(key_, previous.to_json()));
        }
    }

    // Submits mutations and serves calls with faults for a number of steps.
    void run_with_faults(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            if (percent(50))
            {
                submit();
            }
            if (percent(rates_.fenced) && table_.read(key_))
            {
                fence_or_replace_session();
            }
            if (percent(30))
            {
                apply_one_delayed();
            }
            serve(rates_);
        }
    }

    // Serves calls without faults until every mutation has its outcome. Delayed
    // commits apply at any time, also after the last outcome.
    void run_to_completion()
    {
        const fault_rates none{0, 0, 0, 0, 0, 0, 0};
        for (int i = 0; i < 400; ++i)
        {
            if (percent(10))
            {
                apply_one_delayed();
            }
            serve(none);
        }
        while (!delayed_.empty())
        {
            apply_one_delayed();
        }
        serve(none);
    }

    void check_outcomes() const
    {
        for (const auto& [id, seen] : mutations_)
        {
            const int count = table_.write_count(own_key(id));
            RC_ASSERT(count <= 1);
            RC_ASSERT(!seen.outcomes.empty());
            const commit_outcome& last = seen.outcomes.back();
            RC_ASSERT(seen.outcomes.size() <= 2U);
            RC_ASSERT(seen.outcomes.size() == 1U ||
                      !seen.outcomes.front().final());
            if (last.committed())
            {
                RC_ASSERT(count == 1);
                RC_ASSERT(last.version == 0 ||
                          last.version == table_.read(own_key(id))->version);
            }
            else if (last.final())
            {
                RC_ASSERT(count == 0);
            }
            else
            {
                // The outcome may stay unknown only if the session was replaced
                // more than once.
                RC_ASSERT(replacements_ > 1);
            }
            if (last.result == commit_outcome::result::conflict)
            {
                RC_ASSERT(last.conflicts ==
                          std::vector<std::string>{seen.shared_key});
            }
        }
        RC_ASSERT(stream_.idle());
        RC_ASSERT(!fenced_ || stream_.fenced());
    }

    std::size_t mutation_count() const
    {
        return mutations_.size();
    }

private:
    struct submitted_mutation
    {
        std::string shared_key;
        std::vector<commit_outcome> outcomes;
    };

    // Uniform in each case; without the resize the first cases would draw only
    // the lowest values.
    static int draw(int low, int high)
    {
        return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
    }

    static bool percent(int rate)
    {
        return rate > 0 && draw(0, 100) < rate;
    }

    static std::string own_key(std::uint64_t id)
    {
        return "own/" + std::to_string(id);
    }

    // Each mutation writes its own row, to count how often it applied, and may
    // require and write one of three shared rows.
    void submit()
    {
        const std::uint64_t id = ++last_id_;
        mutation change;
        change.put(own_key(id), id);
        submitted_mutation seen;
        if (percent(60))
        {
            seen.shared_key = "shared/" + std::to_string(draw(0, 3));
            const auto found = table_.read(seen.shared_key);
            change.require(seen.shared_key, found ? found->version : 0);
            if (percent(50))
            {
                change.put(seen.shared_key, id);
            }
        }
        if (stream_.submit(id, change, now_).ok())
        {
            mutations_[id] = seen;
        }
    }

    // Marks the session as fenced, as a successor does, or replaces it, as a
    // new incarnation does.
    void fence_or_replace_session()
    {
        const auto found = table_.read(key_);
        auto session = *session_row::from_json(found->value);
        if (percent(50))
        {
            session.fenced = true;
        }
        else
        {
            session.predecessor = session.token;
            session.incarnation = "j" + std::to_string(++replacements_);
            session.token = session.incarnation;
            session.fenced = false;
        }
        table_.commit(mutation()
                          .require(key_, found->version)
                          .put(key_, session.to_json()));
        fenced_ = fenced_ || renewed_;
    }

    void apply_one_delayed()
    {
        if (delayed_.empty())
        {
            return;
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, delayed_.size());
        table_.commit(delayed_[index]);
        delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void serve(const fault_rates& rates)
    {
        const stream_call call = stream_.next(now_);
        const base::time_point start = now_;
        now_ += std::chrono::milliseconds(draw(1, 400));
        switch (call.action)
        {
        case stream_call::action::wait:
            now_ = std::max(
                now_, std::min(call.wake_at, now_ + std::chrono::seconds(1)));
            break;
        case stream_call::action::read_session:
            if (percent(rates.read_failed))
            {
                stream_.session_read(
                    base::make_error(base::error_kind::store_unavailable, ""),
                    now_);
            }
            else
            {
                stream_.session_read(table_.read(key_), now_);
            }
            break;
        case stream_call::action::commit:
            stream_.commit_answered(commit(call.content, rates), now_);
            break;
        }
        const auto renewal = stream_.take_renewal();
        if (renewal)
        {
            // A lease that runs from after the commit was sent would be too
            // long.
            RC_ASSERT(*renewal <= start);
            renewed_ = true;
        }
        for (const commit_report& report : stream_.take_reports())
        {
            mutations_.at(report.id).outcomes.push_back(report.outcome);
        }
    }

    commit_answer commit(const mutation& content, const fault_rates& rates)
    {
        commit_answer answer;
        if (percent(rates.delayed))
        {
            delayed_.push_back(content);
            return answer;
        }
        if (percent(rates.lost_dropped))
        {
            return answer;
        }
        if (percent(rates.not_sent))
        {
            answer.result = commit_answer::result::not_sent;
            return answer;
        }
        if (percent(rates.refused))
        {
            answer.result = commit_answer::result::refused;
            return answer;
        }
        answer.failed_keys = table_.commit(content);
        answer.sequence = table_.sequence();
        answer.result = answer.failed_keys.empty()
                            ? commit_answer::result::committed
                            : commit_answer::result::conflict;
        if (percent(rates.lost_applied))
        {
            return {};
        }
        return answer;
    }

    std::string key_ = options().session.key();
    fault_rates rates_;
    naive_table table_;
    commit_stream stream_;
    base::time_point now_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, submitted_mutation> mutations_;
    std::vector<mutation> delayed_;
    int replacements_ = 0;
    // The stream has seen its session registered.
    bool renewed_ = false;
    // The session was fenced after that.
    bool fenced_ = false;
};

} // namespace coltsfootrack::store

#endif
