#ifndef COLTSFOOTRACK_DAEMON_REQUEST_API_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_REQUEST_API_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/config/daemon_settings.hpp>
#include <coltsfootrack/daemon/metrics.hpp>
#include <coltsfootrack/daemon/published_state.hpp>
#include <coltsfootrack/daemon/store_session.hpp>
#include <coltsfootrack/http/client.hpp>
#include <coltsfootrack/http/request.hpp>
#include <coltsfootrack/http/response.hpp>
#include <coltsfootrack/routing/attempt_table.hpp>
#include <coltsfootrack/routing/idempotency_claim.hpp>
#include <coltsfootrack/routing/request_flow.hpp>
#include <coltsfootrack/routing/retry_budget.hpp>
#include <coltsfootrack/routing/router.hpp>

#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace coltsfootrack::daemon
{

// Serves POST /v1/services/<service>/requests: checks the team's key, claims
// the idempotency key of a non-idempotent request, and sends the request to
// runners as routing::request_flow decides.
//
// A request blocks its connection thread until it is answered, so the number of
// connections bounds the requests in flight.
//
// Thread safety: all functions may be called from any thread.
class request_api
{
public:
    request_api(const config::daemon_settings& settings,
                const base::clock& clock, metrics& counters,
                published_state& published, store_session& store);

    // Replaces the runners by those of the platform's list.
    void set_directory(const vm_directory& directory);

    // Answers one request.
    http::response handle(const std::string& service,
                          const http::request& message);

private:
    struct exchange;

    http::response refuse(const absl::Status& error);
    http::response run(exchange& work);
    routing::request_step claim(exchange& work);
    routing::request_step send(exchange& work);
    routing::request_step finish_attempt(exchange& work,
                                         const routing::attempt& sent,
                                         const http::client_result& result);
    void record(exchange& work, bool succeeded);
    std::uint64_t random();

    const config::daemon_settings& settings_;
    const base::clock& clock_;
    metrics& metrics_;
    published_state& published_;
    store_session& store_;
    std::mutex random_mutex_;
    base::random_source random_;
    std::mutex services_mutex_;
    // The services that have runners.
    std::set<base::service_id> services_;
    routing::router router_;
    routing::retry_budget budget_;
    routing::attempt_table attempts_;
    http::client client_;
};

} // namespace coltsfootrack::daemon

#endif
