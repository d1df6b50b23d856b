#ifndef COLTSFOOTRACK_STORE_COMMIT_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_COMMIT_ANSWER_HPP_INCLUDED

#include <coltsfootrack/store/row.hpp>

#include <string>
#include <vector>

namespace coltsfootrack::store
{

// What the answer to one commit request proves.
struct commit_answer
{
    enum class result
    {
        // It applied.
        committed,
        // It did not apply; failed_keys names the conditions that failed.
        conflict,
        // It did not apply: the platform rejected its form or size.
        refused,
        // The request was not sent.
        not_sent,
        // No usable answer: it may have applied, or may still apply.
        lost
    };

    commit_answer::result result = result::lost;
    // For committed: the sequence number of the commit.
    store::version sequence = 0;
    // For conflict: the keys whose versions differ.
    std::vector<std::string> failed_keys;
};

} // namespace coltsfootrack::store

#endif
