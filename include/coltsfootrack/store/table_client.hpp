#ifndef COLTSFOOTRACK_STORE_TABLE_CLIENT_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_TABLE_CLIENT_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/http/client_traffic.hpp>
#include <coltsfootrack/store/commit_outcome.hpp>
#include <coltsfootrack/store/mutation.hpp>
#include <coltsfootrack/store/read_result.hpp>
#include <coltsfootrack/store/table_hooks.hpp>
#include <coltsfootrack/store/table_options.hpp>
#include <coltsfootrack/store/vm_list.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootrack::store
{

// The daemon's client of the platform's table and VM list.
//
//     table_client table(options, clock, system_random(), hooks);
//     const absl::Status status = table.submit(
//         mutation().require("ticket/7", 0).put("ticket/7", hash),
//         [](const commit_outcome& outcome) { ... });
//
// One thread makes all commits, one at a time, with many mutations in each.
// Each commit writes the session row on condition of its previous version; see
// section 3.2 of the design. A second thread makes reads and fetches the VM
// list, one at a time.
//
// Callbacks run on these threads and must not block. They are called once, or
// twice for a commit whose outcome was unknown at first. When a function
// returns an error, its callback is never called.
//
// Limits: see table_options.
//
// Thread safety: all functions may be called from any thread, also from
// callbacks, except stop and the destructor.
class table_client
{
public:
    using commit_callback = std::function<void(const commit_outcome&)>;
    // The result is passed by value, so that it can be moved to another thread.
    using read_callback = std::function<void(absl::StatusOr<read_result>)>;
    using vm_list_callback = std::function<void(absl::StatusOr<vm_list>)>;

    // Starts the threads and registers the session. The clock must outlive the
    // client.
    table_client(const table_options& options, const base::clock& clock,
                 base::random_source random, table_hooks hooks);
    table_client(const table_client&) = delete;
    table_client& operator=(const table_client&) = delete;

    // Stops without waiting for mutations that have not been sent.
    ~table_client();

    // Queues a mutation. Refused with invalid_request (malformed or over a
    // limit), overloaded, store_budget_spent, fenced or draining; it then never
    // applies.
    absl::Status submit(mutation change, commit_callback callback);

    // Queues a read of single rows and of all rows with a prefix, in one
    // snapshot. Refused with overloaded, store_budget_spent or draining. Fails
    // with store_unavailable or peer_protocol.
    absl::Status read(std::vector<std::string> keys,
                      std::vector<std::string> prefixes,
                      read_callback callback);

    // Queues a request for the VM list, as read does.
    absl::Status fetch_vm_list(vm_list_callback callback);

    // The bytes of all calls to the platform so far.
    http::client_traffic traffic() const;

    // Whether the session has been fenced.
    bool fenced() const;

    // Refuses new work, finishes the queued work for at most the given time,
    // reports the rest and joins the threads. Has no effect the second time.
    void stop(base::duration limit);

private:
    class state;

    std::unique_ptr<state> state_;
};

} // namespace coltsfootrack::store

#endif
