#ifndef COLTSFOOTRACK_CELL_WORKER_ROSTER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_WORKER_ROSTER_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/fleet/worker_listing.hpp>

#include <absl/status/status.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::cell
{

// The workers that may hold a lease, as stored rows, one for each job part.
//
// The platform's list is no record of them: it drops a worker that is silent
// for some seconds, while its lease lasts and its tasks run. A leader stores a
// worker here before it uses it for the first time, under its fence, and
// removes it once nothing can be running there. So the next leader, which reads
// the rows after it has written its own fence, waits for each worker that a
// former one may have used.
//
//     roster.add(listing);
//     if (auto row = roster.next_write(part))
//         write(part, row->text, [&] { roster.on_stored(part, row->change); });
//     ...
//     if (roster.stored(worker))
//         // The worker may be used.
//
// Thread safety: none; belongs to the control thread. The class does no I/O.
class worker_roster
{
public:
    // A row to be written. The number is passed back once it is stored.
    struct row_write
    {
        std::string text;
        std::uint64_t change = 0;
    };

    explicit worker_roster(std::size_t parts);

    // Adds the workers of a row as stored. Returns invalid_request, and adds
    // none, if the row cannot be parsed.
    absl::Status load(std::size_t part, const std::string& text);

    // Adds a worker, or takes over a changed entry of it.
    void add(const fleet::worker_listing& worker);

    // Removes a worker on which nothing can be running any more.
    void remove(const base::worker_id& worker);

    // Whether a stored row names the worker, or the next one will.
    bool contains(const base::worker_id& worker) const;

    // Whether a stored row names the worker.
    bool stored(const base::worker_id& worker) const;

    // Whether each row is stored as it is now.
    bool all_stored() const;

    // The row of a part, if it has changed since the last call.
    std::optional<row_write> next_write(std::size_t part);

    // A row from next_write, or a later one of the part, is stored.
    void on_stored(std::size_t part, std::uint64_t change);

    // The workers, without their labels.
    std::vector<fleet::worker_listing> workers() const;

private:
    struct entry
    {
        fleet::worker_listing worker;
        // The change of its part from which on the row names the worker.
        std::uint64_t added_by = 0;
    };

    struct part_state
    {
        std::map<base::worker_id, entry> entries;
        // Changes so far, those handed out by next_write, and those stored.
        std::uint64_t changes = 0;
        std::uint64_t written = 0;
        std::uint64_t stored = 0;
    };

    part_state& part_of(const base::worker_id& worker);
    const part_state& part_of(const base::worker_id& worker) const;

    std::vector<part_state> parts_;
};

} // namespace coltsfootrack::cell

#endif
