#ifndef COLTSFOOTRACK_STORE_STREAM_CALL_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_STREAM_CALL_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/store/mutation.hpp>

namespace coltsfootrack::store
{

// The next call that a commit stream asks for.
struct stream_call
{
    enum class action
    {
        // Do nothing until wake_at, unless a mutation is submitted.
        wait,
        // Read the session row and pass the answer to session_read.
        read_session,
        // Commit the content and pass the answer to commit_answered.
        commit
    };

    stream_call::action action = action::wait;
    base::time_point wake_at;
    // For commit: all conditions and writes, including the session row.
    mutation content;
};

} // namespace coltsfootrack::store

#endif
