// The deflate stream of one connection.

#include "frame_compression.hpp"

#include <coltsfootrack/base/error_kind.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace coltsfootrack::wire
{
namespace
{

// A history of 8 KB and small tables: 50 KB of memory a connection on the
// sending and 15 KB on the receiving side.
constexpr int window_bits = -13; // Negative: without header and checksum.
constexpr int memory_level = 5;
constexpr int compression_level = 3;

constexpr std::size_t chunk_bytes = 4096;

// What Z_SYNC_FLUSH ends with.
constexpr std::string_view flush_marker("\x00\x00\xff\xff", 4);

// zlib does not write to its input.
Bytef* input_of(std::string_view text)
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

} // namespace

frame_compressor::frame_compressor()
{
    if (deflateInit2(&stream_, compression_level, Z_DEFLATED, window_bits,
                     memory_level, Z_DEFAULT_STRATEGY) != Z_OK)
    {
        throw std::runtime_error("deflateInit2 failed");
    }
}

frame_compressor::~frame_compressor()
{
    deflateEnd(&stream_);
}

std::string frame_compressor::compress(std::string_view body)
{
    std::string out;
    std::array<char, chunk_bytes> chunk; // NOLINT: filled by deflate
    stream_.next_in = input_of(body);
    stream_.avail_in = static_cast<uInt>(body.size());
    do
    {
        stream_.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream_.avail_out = static_cast<uInt>(chunk.size());
        deflate(&stream_, Z_SYNC_FLUSH);
        out.append(chunk.data(), chunk.size() - stream_.avail_out);
    } while (stream_.avail_out == 0);
    out.resize(out.size() - std::min(out.size(), flush_marker.size()));
    return out;
}

frame_decompressor::frame_decompressor()
{
    if (inflateInit2(&stream_, window_bits) != Z_OK)
    {
        throw std::runtime_error("inflateInit2 failed");
    }
}

frame_decompressor::~frame_decompressor()
{
    inflateEnd(&stream_);
}

absl::StatusOr<std::string>
frame_decompressor::decompress(std::string_view compressed, std::size_t limit)
{
    std::string out;
    std::array<char, chunk_bytes> chunk; // NOLINT: filled by inflate
    for (const std::string_view part : {compressed, flush_marker})
    {
        stream_.next_in = input_of(part);
        stream_.avail_in = static_cast<uInt>(part.size());
        do
        {
            stream_.next_out = reinterpret_cast<Bytef*>(chunk.data());
            stream_.avail_out = static_cast<uInt>(chunk.size());
            const int status = inflate(&stream_, Z_SYNC_FLUSH);
            out.append(chunk.data(), chunk.size() - stream_.avail_out);
            // Z_BUF_ERROR: there was nothing left to do.
            if ((status != Z_OK && status != Z_BUF_ERROR) || out.size() > limit)
            {
                return base::make_error(base::error_kind::peer_protocol,
                                        "invalid compressed frame");
            }
        } while (stream_.avail_out == 0);
        if (stream_.avail_in > 0)
        {
            return base::make_error(base::error_kind::peer_protocol,
                                    "invalid compressed frame");
        }
    }
    return out;
}

} // namespace coltsfootrack::wire
