#ifndef COLTSFOOTRACK_DAEMON_STORE_SESSION_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_STORE_SESSION_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/config/daemon_settings.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/store/table_client.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfootrack::daemon
{

// The daemon's session in the table. After a fence, a new session starts under
// a new incarnation.
//
// Thread safety: submit, read, fetch_vm_list and table may be called from any
// thread; their callbacks run on the control thread. All else is for the
// control thread only. Must outlive the control thread.
class store_session
{
public:
    // Called on the control thread. Late events of an earlier incarnation are
    // dropped.
    struct events
    {
        std::function<void(base::time_point commit_start)> on_renewal;
        std::function<void()> on_fenced;
    };

    store_session(const config::daemon_settings& settings,
                  const base::clock& clock, control_loop& loop,
                  events handlers);

    // Starts the first session.
    void start();

    // The incarnation of the present session.
    std::string incarnation() const;

    // The client of the present session. After a fence it may still be called,
    // and refuses.
    std::shared_ptr<store::table_client> table() const;

    // As table_client::submit; a refusal is reported to the callback as
    // unavailable.
    void submit(store::mutation change,
                store::table_client::commit_callback callback);

    // As table_client::read; a refusal is reported to the callback.
    void read(std::vector<std::string> keys, std::vector<std::string> prefixes,
              store::table_client::read_callback callback);

    void fetch_vm_list(store::table_client::vm_list_callback callback);

    // The bytes of all sessions since the start.
    http::client_traffic traffic() const;

    // Finishes queued mutations, for at most the given time.
    void stop(base::duration limit);

private:
    void open_session();

    const config::daemon_settings& settings_;
    const base::clock& clock_;
    control_loop& loop_;
    events handlers_;
    base::random_source random_;
    mutable std::mutex mutex_;
    std::string incarnation_;
    std::shared_ptr<store::table_client> table_;
    // The bytes of the sessions that have ended.
    http::client_traffic closed_traffic_;
};

} // namespace coltsfootrack::daemon

#endif
