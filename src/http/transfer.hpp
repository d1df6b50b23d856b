#ifndef COLTSFOOTRACK_SRC_HTTP_TRANSFER_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_HTTP_TRANSFER_HPP_INCLUDED

#include <coltsfootrack/http/client_options.hpp>
#include <coltsfootrack/http/client_result.hpp>
#include <coltsfootrack/http/request.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <curl/curl.h>
#include <string>

namespace coltsfootrack::http
{

// What the callbacks of one call collect.
struct transfer
{
    std::size_t header_bytes = 0;
    std::size_t max_answer_bytes = 0;
    // How often libcurl was about to write the request, and when first.
    int sends = 0;
    std::chrono::steady_clock::time_point sent_at;
    bool too_large = false;
    response answer;
};

// The reason why a request cannot be sent, or an empty text.
std::string fault_of(const std::string& address, const request& message);

// Initializes libcurl once for the process.
void initialize_library();

// Who ends a call that takes too long: libcurl, or the caller of prepare.
enum class expiry
{
    by_library,
    by_caller
};

// Sets the options of a handle for one call. The request, the transfer and the
// returned header list must live until the call has ended; the caller frees the
// list.
curl_slist* prepare(CURL* handle, const std::string& address,
                    const request& message, const client_options& options,
                    std::chrono::milliseconds total_timeout, expiry ends,
                    transfer& current);

// What became of a call that libcurl ended with this code. Takes the answer out
// of the transfer.
client_result result_of(CURL* handle, CURLcode code, const request& message,
                        transfer& current);

// The size of the request as sent, body included.
std::uint64_t bytes_sent(CURL* handle, const request& message);

} // namespace coltsfootrack::http

#endif
