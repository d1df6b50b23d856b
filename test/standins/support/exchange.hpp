#ifndef COLTSFOOTRACK_TEST_STANDINS_SUPPORT_EXCHANGE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_SUPPORT_EXCHANGE_HPP_INCLUDED

#include <coltsfootrack/http/request.hpp>
#include <coltsfootrack/http/response.hpp>

#include <algorithm>
#include <cstring>
#include <fmt/core.h>
#include <microhttpd.h>
#include <string>
#include <sys/socket.h>

namespace coltsfootrack::standins
{

// A request to a stand-in and its answer, which is sent at once or later,
// complete or with a fault. Used only on the thread of the event loop. Exactly
// one of answer, truncate, duplicate and reset must be called.
class exchange
{
public:
    http::request message;

    // Sends the complete answer.
    void answer(http::response response)
    {
        end(outcome::complete, std::move(response));
    }

    // Declares the full length, sends half of the body and closes.
    void truncate(http::response response)
    {
        end(outcome::truncated, std::move(response));
    }

    // Sends the answer twice.
    void duplicate(http::response response)
    {
        end(outcome::duplicated, std::move(response));
    }

    // Resets the connection without an answer.
    void reset()
    {
        end(outcome::none, {});
    }

private:
    friend class http_port;

    enum class outcome
    {
        open,
        complete,
        truncated,
        duplicated,
        none
    };

    void end(outcome as, http::response response)
    {
        outcome_ = as;
        response_ = std::move(response);
        if (suspended_)
        {
            suspended_ = false;
            MHD_resume_connection(connection_);
            *resumed_ = true;
        }
    }

    MHD_Result queue() const
    {
        if (outcome_ == outcome::none)
        {
            const linger abort{1, 0};
            ::setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &abort,
                         sizeof abort);
            return MHD_NO;
        }
        if (outcome_ == outcome::duplicated)
        {
            const std::string copy = to_text();
            ::send(descriptor(), copy.data(), copy.size(), MSG_NOSIGNAL);
        }
        MHD_Response* out = nullptr;
        if (outcome_ == outcome::truncated)
        {
            out = MHD_create_response_from_callback(
                std::max<std::size_t>(response_.body.size(), 1), 4096,
                &read_half, new std::string(response_.body),
                [](void* body) { delete static_cast<std::string*>(body); });
        }
        else
        {
            out = MHD_create_response_from_buffer(
                response_.body.size(),
                const_cast<char*>(response_.body.data()), // NOLINT
                MHD_RESPMEM_MUST_COPY);
        }
        for (const auto& [name, value] : response_.headers.fields())
        {
            MHD_add_response_header(out, name.c_str(), value.c_str());
        }
        const MHD_Result result = MHD_queue_response(
            connection_, static_cast<unsigned>(response_.status), out);
        MHD_destroy_response(out);
        return result;
    }

    static ssize_t read_half(void* context, std::uint64_t position,
                             char* target, std::size_t size)
    {
        const auto& body = *static_cast<const std::string*>(context);
        const std::size_t half = body.size() / 2;
        if (position >= half)
        {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        const std::size_t length = std::min(size, half - position);
        std::memcpy(target, body.data() + position, length);
        return static_cast<ssize_t>(length);
    }

    std::string to_text() const
    {
        std::string text =
            fmt::format("HTTP/1.1 {} OK\r\nContent-Length: {}\r\n",
                        response_.status, response_.body.size());
        for (const auto& [name, value] : response_.headers.fields())
        {
            text += fmt::format("{}: {}\r\n", name, value);
        }
        return text + "\r\n" + response_.body;
    }

    int descriptor() const
    {
        return MHD_get_connection_info(connection_,
                                       MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    }

    MHD_Connection* connection_ = nullptr;
    // Set to tell the port that a connection was resumed.
    bool* resumed_ = nullptr;
    bool handled_ = false;
    bool suspended_ = false;
    outcome outcome_ = outcome::open;
    http::response response_;
};

} // namespace coltsfootrack::standins

#endif
