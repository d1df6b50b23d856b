// The parts of a libcurl call that the blocking and the asynchronous client
// share.

#include "transfer.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/numeric_address.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <string_view>

namespace coltsfootrack::http
{
namespace
{

// The limit for all header lines of one answer.
constexpr std::size_t max_header_bytes = std::size_t{64} << 10U;

// Set explicitly because libcurl's default connect timeout is 5 minutes.
constexpr std::chrono::milliseconds no_connect_timeout = std::chrono::hours(24);

// libcurl retries a request by itself when a reused connection turns out to be
// closed, although the server may have read the request. Aborts that retry.
int before_send(void* context, char* /*remote_ip*/, char* /*local_ip*/,
                int /*remote_port*/, int /*local_port*/)
{
    auto& current = *static_cast<transfer*>(context);
    if (current.send_attempts > 0 || (current.may_send && !current.may_send()))
    {
        return CURL_PREREQFUNC_ABORT;
    }
    ++current.send_attempts;
    current.sent_at = std::chrono::steady_clock::now();
    return CURL_PREREQFUNC_OK;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count,
                      void* context)
{
    auto& current = *static_cast<transfer*>(context);
    const absl::string_view line(data, size * count);
    current.header_bytes += line.size();
    if (current.header_bytes > max_header_bytes)
    {
        current.too_large = true;
        return 0;
    }
    if (absl::StartsWith(line, "HTTP/"))
    {
        // A further status line: drops the headers of an interim answer.
        current.answer.headers = header_list();
        return line.size();
    }
    const std::size_t colon = line.find(':');
    if (colon != absl::string_view::npos)
    {
        current.answer.headers.add(
            std::string(absl::StripAsciiWhitespace(line.substr(0, colon))),
            std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
    }
    return line.size();
}

std::size_t on_body(char* data, std::size_t size, std::size_t count,
                    void* context)
{
    auto& current = *static_cast<transfer*>(context);
    const std::size_t length = size * count;
    if (current.answer.body.size() + length > current.max_answer_bytes)
    {
        current.too_large = true;
        return 0;
    }
    current.answer.body.append(data, length);
    return length;
}

bool is_token(const std::string& text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [](unsigned char c) {
                                            return absl::ascii_isalnum(c) ||
                                                   c == '-' || c == '_';
                                        });
}

bool is_path(const std::string& path)
{
    return !path.empty() && path.front() == '/' &&
           std::all_of(path.begin(), path.end(),
                       [](unsigned char c) {
                           return c > 0x20 && c < 0x7f && c != '?' && c != '#';
                       });
}

bool is_field_value(const std::string& value)
{
    return std::all_of(value.begin(), value.end(),
                       [](unsigned char c)
                       { return (c >= 0x20 && c != 0x7f) || c == '\t'; });
}

std::string url_of(CURL* handle, const std::string& address,
                   const request& message)
{
    std::string url = "http://" + address + message.path;
    char separator = '?';
    const auto append = [&](const std::string& text)
    {
        char* escaped = curl_easy_escape(handle, text.c_str(),
                                         static_cast<int>(text.size()));
        url += escaped != nullptr ? escaped : "";
        curl_free(escaped);
    };
    for (const auto& [name, value] : message.query)
    {
        url += separator;
        append(name);
        url += '=';
        append(value);
        separator = '&';
    }
    return url;
}

// The header fields as a libcurl list. Empty ones suppress its defaults.
curl_slist* fields_of(const request& message)
{
    curl_slist* list = nullptr;
    for (const char* name : {"Accept", "Content-Type", "Expect"})
    {
        if (!message.headers.contains(name))
        {
            list = curl_slist_append(list, (std::string(name) + ":").c_str());
        }
    }
    for (const header_list::field& field : message.headers.fields())
    {
        // An empty value is written with a semicolon, see
        // CURLOPT_HTTPHEADER(3).
        list = curl_slist_append(list, (field.second.empty()
                                            ? field.first + ";"
                                            : field.first + ": " + field.second)
                                           .c_str());
    }
    return list;
}

// Whether the server declared the length of a successful transfer.
bool has_declared_length(CURL* handle, const transfer& current, bool head)
{
    curl_off_t declared = -1;
    curl_easy_getinfo(handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &declared);
    const std::string_view coding =
        current.answer.headers.value("Transfer-Encoding");
    return head || declared >= 0 || current.answer.status == 204 ||
           current.answer.status == 304 ||
           absl::EndsWithIgnoreCase(
               absl::string_view(coding.data(), coding.size()), "chunked");
}

absl::Status status_of(CURLcode code, const transfer& current)
{
    using base::error_kind;
    const char* text = curl_easy_strerror(code);
    if (current.send_attempts == 0)
    {
        return base::make_error(code == CURLE_URL_MALFORMAT
                                    ? error_kind::invalid_request
                                    : error_kind::upstream_unreachable,
                                text);
    }
    if (current.too_large)
    {
        return base::make_error(error_kind::upstream_truncated,
                                "the answer is longer than allowed");
    }
    if (code == CURLE_OPERATION_TIMEDOUT)
    {
        return base::make_error(error_kind::upstream_timeout, text);
    }
    return base::make_error(error_kind::upstream_truncated,
                            code == CURLE_ABORTED_BY_CALLBACK
                                ? "the connection was closed before the answer"
                                : text);
}

} // namespace

std::string validation_error(const std::string& address, const request& message)
{
    if (!is_numeric_address(address))
    {
        return "'" + address + "' is not a numeric address with a port";
    }
    if (!is_token(message.method) || !is_path(message.path))
    {
        return "malformed method or path";
    }
    for (const header_list::field& field : message.headers.fields())
    {
        if (!is_token(field.first) || !is_field_value(field.second))
        {
            return "malformed header field";
        }
    }
    return {};
}

void initialize_curl()
{
    static const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(done);
}

std::uint64_t bytes_sent(CURL* handle, const request& message)
{
    long header = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &header);
    return header > 0 ? static_cast<std::uint64_t>(header) + message.body.size()
                      : 0;
}

curl_slist* configure(CURL* handle, const std::string& address,
                      const request& message, const client_options& options,
                      std::chrono::milliseconds total_timeout,
                      timeout_enforcement enforcement, transfer& current)
{
    current.max_answer_bytes = options.max_answer_bytes;
    const bool head = message.method == "HEAD";
    curl_slist* headers = fields_of(message);
    curl_easy_setopt(handle, CURLOPT_URL,
                     url_of(handle, address, message).c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(options.max_idle_age.count()));
    if (enforcement == timeout_enforcement::by_library)
    {
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(options.connect_timeout.count()));
        // 0 would mean no limit.
        curl_easy_setopt(
            handle, CURLOPT_TIMEOUT_MS,
            std::max(1L, static_cast<long>(total_timeout.count())));
    }
    else
    {
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(no_connect_timeout.count()));
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &before_send);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &current);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
    if (head)
    {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    else if (message.method == "POST" || message.method == "PUT" ||
             !message.body.empty())
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(message.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, message.body.c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, message.method.c_str());
    }
    else
    {
        curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, message.method.c_str());
    }
    return headers;
}

client_result result_of(CURL* handle, CURLcode code, const request& message,
                        transfer& current)
{
    client_result result;
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    current.answer.status = static_cast<int>(status);
    result.request_sent = current.send_attempts > 0;
    if (code != CURLE_OK)
    {
        result.status = status_of(code, current);
    }
    else if (!has_declared_length(handle, current, message.method == "HEAD"))
    {
        result.status = base::make_error(base::error_kind::upstream_truncated,
                                         "the answer declares no length");
    }
    result.complete = result.status.ok();
    result.answer = std::move(current.answer);
    return result;
}

} // namespace coltsfootrack::http
