#ifndef COLTSFOOTRACK_SRC_HTTP_TRANSFER_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_HTTP_TRANSFER_HPP_INCLUDED

#include <coltsfootrack/http/client_options.hpp>
#include <coltsfootrack/http/client_result.hpp>
#include <coltsfootrack/http/request.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <curl/curl.h>
#include <functional>
#include <string>

namespace coltsfootrack::http
{

// What libcurl's callbacks collect during one call.
struct transfer
{
    std::size_t header_bytes = 0;
    std::size_t max_answer_bytes = 0;
    // How often libcurl was about to send the request, and when first.
    int send_attempts = 0;
    std::chrono::steady_clock::time_point sent_at;
    bool too_large = false;
    // Asked right before the request is sent; empty for no condition.
    std::function<bool()> may_send;
    response answer;
};

// Why a request cannot be sent; empty if it is valid.
std::string validation_error(const std::string& address,
                             const request& message);

// Initializes libcurl once for the process.
void initialize_curl();

// Whether libcurl or the caller of configure enforces the timeouts of a call.
enum class timeout_enforcement
{
    by_library,
    by_caller
};

// Sets the options of a handle for one call. The request, the transfer and the
// returned header list must outlive the call; the caller frees the list.
curl_slist* configure(CURL* handle, const std::string& address,
                      const request& message, const client_options& options,
                      std::chrono::milliseconds total_timeout,
                      timeout_enforcement enforcement, transfer& current);

// The result of a call that libcurl ended with this code. Moves the answer out
// of the transfer.
client_result result_of(CURL* handle, CURLcode code, const request& message,
                        transfer& current);

// The size of the request as sent, body included.
std::uint64_t bytes_sent(CURL* handle, const request& message);

} // namespace coltsfootrack::http

#endif
