#ifndef COLTSFOOTRACK_HTTP_CLIENT_RESULT_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_CLIENT_RESULT_HPP_INCLUDED

#include <coltsfootrack/http/response.hpp>

#include <absl/status/status.h>

namespace coltsfootrack::http
{

// The result of one call.
struct client_result
{
    // OK if a complete answer arrived, whatever its HTTP status. Otherwise
    // - invalid_request: the address or the request is malformed;
    // - upstream_unreachable: no connection, nothing was sent;
    // - upstream_timeout: sent, no complete answer in time;
    // - upstream_truncated: sent, the connection was lost before the complete
    //   answer, its length was not declared, or it was over the limit.
    absl::Status status;
    // False if it is certain that no byte of the request was sent.
    bool request_sent = false;
    // Whether the answer arrived completely, with a declared length.
    bool complete = false;
    // What was received of the answer.
    response answer;

    bool ok() const
    {
        return status.ok();
    }
};

} // namespace coltsfootrack::http

#endif
