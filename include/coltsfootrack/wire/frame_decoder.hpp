#ifndef COLTSFOOTRACK_WIRE_FRAME_DECODER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_FRAME_DECODER_HPP_INCLUDED

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootrack::wire
{

// The maximum size of a frame's body, in bytes.
constexpr std::size_t max_frame_bytes = std::size_t(1024) * 1024;

// The size of a frame's length prefix, in bytes.
constexpr std::size_t frame_prefix_bytes = 4;

// The body preceded by its length as a 4-byte big-endian number; peer_protocol
// if the body is empty or larger than max_frame_bytes. The highest bit of the
// prefix tells that the body is compressed, as the next part of the deflate
// stream of its connection.
absl::StatusOr<std::string> encode_frame(std::string_view body,
                                         bool compressed = false);

class frame_decompressor;

// Splits the byte stream of one connection into frames, and decompresses them.
//
//     frame_decoder decoder;
//     decoder.append(bytes);
//     for (;;)
//     {
//         auto frame = decoder.next(); // error: close the connection
//         if (!frame.ok() || !*frame) break;
//         use(**frame);
//     }
//
// Limits: holds at most one incomplete frame and the complete frames that
// next() has not returned yet. An error is final: every later call returns it
// again.
//
// Thread safety: none; one thread at a time.
class frame_decoder
{
public:
    frame_decoder();
    ~frame_decoder();
    frame_decoder(frame_decoder&& other) noexcept;
    frame_decoder& operator=(frame_decoder&& other) noexcept;

    // Adds bytes received from the connection.
    void append(std::string_view bytes);

    // The next complete body, or nothing if more bytes are needed. An empty or
    // oversized frame gives peer_protocol as soon as its prefix is known.
    absl::StatusOr<std::optional<std::string>> next();

    // Called at the end of the connection: ok between two frames,
    // peer_protocol if the last frame is truncated.
    absl::Status finish() const;

    // Bytes held and not yet returned.
    std::size_t buffered() const;

    // The bytes of all frames returned so far, as received.
    std::uint64_t consumed() const
    {
        return consumed_;
    }

private:
    std::string buffer_;
    std::size_t begin_ = 0;
    std::uint64_t consumed_ = 0;
    // Set by the first compressed frame.
    std::unique_ptr<frame_decompressor> decompressor_;
    absl::Status error_;
};

} // namespace coltsfootrack::wire

#endif
