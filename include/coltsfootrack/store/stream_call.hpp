#ifndef COLTSFOOTRACK_STORE_STREAM_CALL_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_STREAM_CALL_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/store/mutation.hpp>

namespace coltsfootrack::store
{

// What a commit stream wants to be done next.
struct stream_call
{
    enum class action
    {
        // Nothing before wake_at, unless a mutation is submitted.
        wait,
        // Read the session row and report it by session_read.
        read_session,
        // Commit the content and report the answer by commit_answered.
        commit
    };

    stream_call::action action = action::wait;
    base::time_point wake_at;
    // For commit: all conditions and writes, including the session row.
    mutation content;
};

} // namespace coltsfootrack::store

#endif
