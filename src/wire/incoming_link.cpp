// The incoming connection from one peer.

#include "incoming_link.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/wire/codec.hpp>

#include <array>
#include <cerrno>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace coltsfootrack::wire
{
namespace
{

// Read from one connection at a time, so that one peer does not starve others.
constexpr std::size_t max_read_bytes = std::size_t(64) * 1024;

} // namespace

incoming_link::incoming_link(socket_handle socket,
                             const peer_links_options& options,
                             base::time_point now)
    : socket_(std::move(socket))
    , options_(&options)
    , accepted_at_(now)
    , last_received_at_(now)
{
}

base::time_point incoming_link::deadline() const
{
    return peer_ ? last_received_at_ + options_->idle_timeout
                 : accepted_at_ + options_->hello_timeout;
}

absl::Status incoming_link::receive(base::time_point now, peer_traffic& traffic,
                                    std::vector<message>& messages)
{
    std::array<char, max_read_bytes> bytes; // NOLINT: filled by recv
    const ssize_t count =
        recv(socket_.descriptor(), bytes.data(), bytes.size(), 0);
    if (count < 0)
    {
        return errno == EAGAIN || errno == EINTR
                   ? absl::OkStatus()
                   : base::make_error(base::error_kind::cancelled,
                                      "connection failed");
    }
    if (count == 0)
    {
        const absl::Status end = decoder_.finish();
        return end.ok() ? base::make_error(base::error_kind::cancelled,
                                           "connection ended")
                        : end;
    }
    last_received_at_ = now;
    decoder_.append(
        std::string_view(bytes.data(), static_cast<std::size_t>(count)));
    return decode_frames(traffic, messages);
}

absl::Status incoming_link::decode_frames(peer_traffic& traffic,
                                          std::vector<message>& messages)
{
    for (;;)
    {
        const std::uint64_t consumed = decoder_.consumed();
        auto frame = decoder_.next();
        if (!frame.ok())
        {
            return frame.status();
        }
        if (!*frame)
        {
            return absl::OkStatus();
        }
        auto value = decode(**frame);
        if (!value.ok())
        {
            return value.status();
        }
        auto& counts =
            traffic.received[static_cast<std::size_t>(type_of(*value))];
        ++counts.messages;
        counts.bytes += decoder_.consumed() - consumed;
        const bool is_hello = std::holds_alternative<hello>(*value);
        if (is_hello == peer_.has_value())
        {
            return base::make_error(base::error_kind::peer_protocol,
                                    is_hello ? "second hello"
                                             : "message before the hello");
        }
        if (is_hello)
        {
            peer_ = std::get<hello>(*std::move(value));
        }
        else
        {
            messages.push_back(*std::move(value));
        }
    }
}

} // namespace coltsfootrack::wire
