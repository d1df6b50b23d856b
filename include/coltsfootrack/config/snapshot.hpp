#ifndef COLTSFOOTRACK_CONFIG_SNAPSHOT_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_SNAPSHOT_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/config/object_row.hpp>
#include <coltsfootrack/config/object_version.hpp>
#include <coltsfootrack/config/ticket.hpp>

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfootrack::config
{

// The immutable configuration at one sequence number. Applying a ticket returns
// a new snapshot.
//
//     auto current = snapshot::empty();
//     auto next = current->apply(ticket, sequence);
//     if (next.ok())
//     {
//         current = *next;
//     }
//
// Pointers to objects are valid for the lifetime of the snapshot.
//
// Thread safety: all functions may be called concurrently.
class snapshot
{
public:
    using pointer = std::shared_ptr<const snapshot>;

    // The most objects, deleted ones included, that check_ticket allows in a
    // configuration.
    static constexpr std::size_t max_objects = 50'000;

    // The configuration before the first ticket; its sequence is 0.
    static pointer empty();

    // Restores the configuration from all rows `config/object/...`, read
    // together with the sequence of `config/head`. A row that cannot be read
    // gives invalid_ticket and names the row.
    static absl::StatusOr<pointer>
    from_rows(std::uint64_t sequence, const std::vector<object_row>& rows);

    // The sequence of the last ticket.
    std::uint64_t sequence() const;

    // The configuration after a committed ticket. ticket_superseded, without
    // effect, if the sequence is not higher than this one's, or an object was
    // written by a ticket with a higher number.
    absl::StatusOr<pointer> apply(const ticket& change,
                                  std::uint64_t sequence) const;

    // Checks that an acceptor makes before it commits a ticket: each team and
    // queue that the ticket refers to exists, here or in the ticket, and the
    // configuration stays within max_objects. Errors: invalid_ticket, one line
    // "path: message" per error.
    absl::Status check_ticket(const ticket& change) const;

    // The object with the given name, or null if it is absent or deleted.
    const team* find_team(const base::team_id& name) const;
    const workload* find_workload(const base::workload_id& name) const;
    const service* find_service(const base::service_id& name) const;
    const queue* find_queue(std::string_view name) const;

    // The team of the presented key "<key id>.<secret>". Errors: key_missing
    // for an empty text; key_unknown for a text that matches no key;
    // key_withdrawn for a key that is withdrawn or whose team is deleted. The
    // secret is compared in constant time.
    absl::StatusOr<base::team_id>
    authenticate(std::string_view presented) const;

    // Whether work is accepted without a key.
    bool is_open(const workload& value) const;
    bool is_open(const service& value) const;

    // All teams, workloads and services that are not deleted, in ascending
    // order of names.
    std::vector<const team*> teams() const;
    std::vector<const workload*> workloads() const;
    std::vector<const service*> services() const;

    // The current version of each object that the ticket writes, in the order
    // of its objects.
    std::vector<object_version> versions_of(const ticket& change) const;

    // All objects as table rows, in ascending order of kind and name.
    std::vector<object_row> rows() const;

private:
    // An object and the number of the ticket that wrote it. Snapshots share
    // unchanged objects.
    struct entry
    {
        std::uint64_t ticket_number = 0;
        std::shared_ptr<const ticket_object> object;
    };

    // By kind and name.
    using entries = std::map<std::pair<std::string, std::string>, entry>;

    snapshot(std::uint64_t sequence, entries objects);

    entries objects_after(const ticket& change) const;

    template <class T>
    const T* find(std::string_view kind, const std::string& name) const;

    template <class T>
    std::vector<const T*> all(std::string_view kind) const;

    bool queue_allows_open_work(const std::string& name) const;

    std::uint64_t sequence_;
    entries objects_;
};

} // namespace coltsfootrack::config

#endif
