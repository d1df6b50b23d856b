// Length-prefixed frames.

#include <coltsfootrack/wire/frame_decoder.hpp>

#include "frame_compression.hpp"

#include <coltsfootrack/base/error_kind.hpp>

#include <cstdint>
#include <fmt/core.h>

namespace coltsfootrack::wire
{
namespace
{

// The bit of the first byte of a prefix that marks a compressed body.
constexpr unsigned compressed_flag = 0x80;

bool is_compressed(const char* prefix)
{
    return (static_cast<unsigned char>(*prefix) & compressed_flag) != 0;
}

std::size_t read_length(const char* prefix)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i)
    {
        length = (length << 8U) | static_cast<unsigned char>(prefix[i]);
    }
    return length & ~(compressed_flag << 24U);
}

absl::Status check_length(std::size_t length)
{
    if (length == 0 || length > max_frame_bytes)
    {
        return base::make_error(
            base::error_kind::peer_protocol,
            fmt::format("frame of {} bytes; must be from 1 to {}", length,
                        max_frame_bytes));
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::string> encode_frame(std::string_view body, bool compressed)
{
    if (absl::Status status = check_length(body.size()); !status.ok())
    {
        return status;
    }
    std::string frame;
    frame.reserve(frame_prefix_bytes + body.size());
    for (std::size_t i = frame_prefix_bytes; i > 0; --i)
    {
        frame.push_back(static_cast<char>(body.size() >> (8 * (i - 1))));
    }
    frame.append(body);
    if (compressed)
    {
        frame.front() = static_cast<char>(
            static_cast<unsigned char>(frame.front()) | compressed_flag);
    }
    return frame;
}

frame_decoder::frame_decoder() = default;
frame_decoder::~frame_decoder() = default;
frame_decoder::frame_decoder(frame_decoder&& other) noexcept = default;
frame_decoder&
frame_decoder::operator=(frame_decoder&& other) noexcept = default;

void frame_decoder::append(std::string_view bytes)
{
    if (begin_ == buffer_.size())
    {
        buffer_.clear();
        begin_ = 0;
    }
    buffer_.append(bytes);
}

absl::StatusOr<std::optional<std::string>> frame_decoder::next()
{
    if (!error_.ok())
    {
        return error_;
    }
    if (buffered() < frame_prefix_bytes)
    {
        return std::optional<std::string>();
    }
    const std::size_t length = read_length(buffer_.data() + begin_);
    const bool compressed = is_compressed(buffer_.data() + begin_);
    error_ = check_length(length);
    if (!error_.ok())
    {
        return error_;
    }
    if (buffered() < frame_prefix_bytes + length)
    {
        // Drops the bytes already returned, so that the buffer does not grow
        // over the life of the connection.
        buffer_.erase(0, begin_);
        begin_ = 0;
        return std::optional<std::string>();
    }
    std::optional<std::string> body(
        buffer_.substr(begin_ + frame_prefix_bytes, length));
    begin_ += frame_prefix_bytes + length;
    consumed_ += frame_prefix_bytes + length;
    if (!compressed)
    {
        return body;
    }
    if (decompressor_ == nullptr)
    {
        decompressor_ = std::make_unique<frame_decompressor>();
    }
    auto plain = decompressor_->decompress(*body, max_frame_bytes);
    if (!plain.ok())
    {
        error_ = plain.status();
        return error_;
    }
    return std::optional<std::string>(*std::move(plain));
}

absl::Status frame_decoder::finish() const
{
    if (!error_.ok() || buffered() == 0)
    {
        return error_;
    }
    return base::make_error(
        base::error_kind::peer_protocol,
        fmt::format("connection ended after {} bytes of a frame", buffered()));
}

std::size_t frame_decoder::buffered() const
{
    return buffer_.size() - begin_;
}

} // namespace coltsfootrack::wire
