#ifndef COLTSFOOTRACK_HTTP_CALL_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_CALL_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <functional>

namespace coltsfootrack::http
{

// How long a call of async_client may take, and whether it is still to be made.
struct call_options
{
    // The time until the answer is complete, or with a stall_timeout until it
    // begins.
    std::chrono::milliseconds timeout{0};
    // If set, an answer that has begun may take longer: the call fails when
    // nothing has arrived for this long, or `longest` after it was sent.
    std::chrono::milliseconds stall_timeout{0};
    std::chrono::milliseconds longest{0};
    // Called on the client's thread when the connection is open, right before
    // the request is sent; if it returns false, the call fails as not sent.
    std::function<bool()> may_send;
};

} // namespace coltsfootrack::http

#endif
