// Reads of the session row: registration, and resolving commits in doubt.

#include "outcomes.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/store/commit_stream.hpp>

namespace coltsfootrack::store
{

using base::error_kind;

void commit_stream::session_read(
    const absl::StatusOr<std::optional<row>>& answer, base::time_point now)
{
    if (!answer.ok())
    {
        back_off(now);
        return;
    }
    if (phase_ == phase::initial_read)
    {
        start_registration(*answer);
        return;
    }
    resolve_in_doubt(*answer, now);
}

// The next commit replaces the row of the previous incarnation.
void commit_stream::start_registration(const std::optional<row>& found)
{
    sent_.reset();
    barrier_.reset();
    session_version_ = found ? found->version : 0;
    session_token_.clear();
    if (found)
    {
        const auto previous = session_row::from_json(found->value);
        if (previous.ok() &&
            previous->incarnation == options_.session.incarnation)
        {
            enter_fenced(*previous);
            return;
        }
        session_token_ = previous.ok() ? previous->token : std::string();
    }
    predecessor_token_ = session_token_;
    phase_ = phase::ready;
}

void commit_stream::resolve_in_doubt(const std::optional<row>& found,
                                     base::time_point now)
{
    const version actual = found ? found->version : 0;
    std::optional<session_row> session;
    if (found)
    {
        const auto parsed = session_row::from_json(found->value);
        if (parsed.ok())
        {
            session = *parsed;
        }
    }
    if (actual == session_version_)
    {
        phase_ = sent_ ? phase::barrier : phase::ready;
        if (!sent_)
        {
            back_off(now);
        }
        return;
    }
    if (session && !session->fenced)
    {
        for (const auto* candidate : {&sent_, &barrier_})
        {
            if (*candidate && (*candidate)->token == session->token)
            {
                on_applied(attempt(**candidate), actual);
                return;
            }
        }
    }
    const bool own_incarnation =
        session && session->incarnation == options_.session.incarnation;
    if (!registered_ && !own_incarnation)
    {
        start_registration(found);
        return;
    }
    enter_fenced(session);
}

// The session was fenced. The row that replaced it keeps its last token, which
// proves whether the commit in doubt applied.
void commit_stream::enter_fenced(const std::optional<session_row>& found)
{
    if (sent_)
    {
        std::string last_token;
        if (found)
        {
            last_token = found->incarnation == options_.session.incarnation
                             ? found->token
                             : found->predecessor;
        }
        const bool barrier_applied = barrier_ && last_token == barrier_->token;
        if (last_token == sent_->token)
        {
            // The version of its rows is no longer known.
            report_all(sent_->batch, committed(0));
        }
        else if (!last_token.empty() &&
                 (last_token == session_token_ || barrier_applied))
        {
            report_all(sent_->batch, failed(error_kind::fenced));
        }
        else
        {
            report_all(sent_->batch, unknown());
        }
    }
    sent_.reset();
    barrier_.reset();
    phase_ = phase::fenced;
    report_all(queue_.take_all(), failed(error_kind::fenced));
}

} // namespace coltsfootrack::store
