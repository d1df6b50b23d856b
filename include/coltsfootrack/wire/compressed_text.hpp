#ifndef COLTSFOOTRACK_WIRE_COMPRESSED_TEXT_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_COMPRESSED_TEXT_HPP_INCLUDED

#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace coltsfootrack::wire
{

// Compresses a text that stands alone, unlike the frames of a connection, which
// share one stream. JSON with many similar entries becomes several times
// smaller.
std::string compress_text(std::string_view text);

// Reverts compress_text. Returns peer_protocol if the input is no output of it,
// or if the text is longer than `limit` bytes.
absl::StatusOr<std::string> decompress_text(std::string_view compressed,
                                            std::size_t limit);

} // namespace coltsfootrack::wire

#endif
