#ifndef COLTSFOOTRACK_STORE_MUTATION_QUEUE_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_MUTATION_QUEUE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/store/mutation.hpp>
#include <coltsfootrack/store/table_options.hpp>

#include <absl/status/status.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace coltsfootrack::store
{

// The mutations that wait for a commit, in the order of submission, which is
// also the order of their deadlines.
//
// Limits: see table_options.
//
// Thread safety: as a standard container.
class mutation_queue
{
public:
    struct entry
    {
        std::uint64_t id = 0;
        mutation change;
        base::time_point deadline;
        // Its outcome has been reported as unknown.
        bool unknown_reported = false;
        // Set by push.
        std::size_t bytes = 0;
    };

    explicit mutation_queue(const table_options& options);

    // Appends a mutation. invalid_request if it is empty, repeats a key, names
    // the session row or can never fit into a commit; overloaded if the queue
    // is full.
    absl::Status push(entry added);

    // Removes the longest prefix that may be committed together, at most
    // `limit` mutations: within the limits of a commit, no row written
    // twice, no two versions required of one row, and no row required after an
    // earlier mutation wrote it. Such a commit has the effect of its mutations
    // one after the other.
    std::vector<entry> take_batch(std::size_t limit);

    // Puts entries back at the front, in the given order. The queue may exceed
    // its limits until they are taken again.
    void requeue(std::vector<entry> entries);

    // Removes the entries whose deadline has passed.
    std::vector<entry> take_expired(base::time_point now);

    // Removes all entries.
    std::vector<entry> take_all();

    bool empty() const
    {
        return entries_.empty();
    }

    // The earliest deadline; the largest time_point if the queue is empty.
    base::time_point next_deadline() const;

private:
    absl::Status validate(const mutation& change) const;

    table_options options_;
    std::deque<entry> entries_;
    std::size_t bytes_ = 0;
};

} // namespace coltsfootrack::store

#endif
