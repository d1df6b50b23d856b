// Compression of single texts, with the stream of frame_compression.hpp.

#include "frame_compression.hpp"

#include <coltsfootrack/wire/compressed_text.hpp>

namespace coltsfootrack::wire
{

std::string compress_text(std::string_view text)
{
    return frame_compressor().compress(text);
}

absl::StatusOr<std::string> decompress_text(std::string_view compressed,
                                            std::size_t limit)
{
    return frame_decompressor().decompress(compressed, limit);
}

} // namespace coltsfootrack::wire
