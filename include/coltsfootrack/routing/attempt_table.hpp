#ifndef COLTSFOOTRACK_ROUTING_ATTEMPT_TABLE_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ATTEMPT_TABLE_HPP_INCLUDED

#include <coltsfootrack/routing/attempt_answer.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace coltsfootrack::routing
{

// Matches answers from runners to the requests that caused them.
//
// An answer is accepted only if the attempt on whose connection it arrived is
// still open, the answer carries that attempt's id, and its body has the
// declared length. Late and duplicate answers find no open attempt. An answer
// with the id of another attempt is dropped and leaves that attempt open.
//
// Limits: `capacity` open attempts; open refuses more.
//
// Thread safety: all functions may be called from any thread.
class attempt_table
{
public:
    explicit attempt_table(std::size_t capacity = 65536);

    // Records an attempt of a request before it is sent. Returns overloaded if
    // the table is full, internal if the id is already open.
    absl::Status open(const std::string& attempt_id, std::uint64_t request);

    // Ends the attempt with the id `sent_as` by the answer that arrived on its
    // connection and returns the request. Returns not_found if the attempt is
    // not open: the answer must be dropped. Returns upstream_truncated if the
    // answer belongs to another attempt, declares no length or has another
    // length; the attempt has then ended as attempt_outcome::truncated.
    absl::StatusOr<std::uint64_t> settle(const std::string& sent_as,
                                         const attempt_answer& answer);

    // Ends an attempt without an answer. Returns false if it was not open.
    bool abandon(const std::string& attempt_id);

    std::size_t size() const;

private:
    std::size_t capacity_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, std::uint64_t> open_;
};

} // namespace coltsfootrack::routing

#endif
