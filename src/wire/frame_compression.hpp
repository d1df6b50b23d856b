#ifndef COLTSFOOTRACK_WIRE_FRAME_COMPRESSION_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_FRAME_COMPRESSION_HPP_INCLUDED

#include <absl/status/statusor.h>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <zlib.h>

namespace coltsfootrack::wire
{

// Compresses the frames of one connection as one deflate stream. Most messages
// repeat ids, addresses and payloads of earlier ones, so a shared history makes
// them several times smaller; one by one they would hardly shrink.
//
// Each frame is flushed, so that the receiver can decode it at once. The empty
// block that ends a flush is not sent; the receiver adds it again.
//
// Thread safety: none.
class frame_compressor
{
public:
    frame_compressor();
    ~frame_compressor();
    frame_compressor(const frame_compressor&) = delete;
    frame_compressor& operator=(const frame_compressor&) = delete;

    // The body of the next frame of the stream, compressed.
    std::string compress(std::string_view body);

private:
    z_stream stream_{};
};

// The reverse of frame_compressor.
//
// Thread safety: none.
class frame_decompressor
{
public:
    frame_decompressor();
    ~frame_decompressor();
    frame_decompressor(const frame_decompressor&) = delete;
    frame_decompressor& operator=(const frame_decompressor&) = delete;

    // The body of the next frame of the stream; peer_protocol if it is not a
    // part of one or would be larger than `limit`. An error is final.
    absl::StatusOr<std::string> decompress(std::string_view compressed,
                                           std::size_t limit);

private:
    z_stream stream_{};
};

} // namespace coltsfootrack::wire

#endif
