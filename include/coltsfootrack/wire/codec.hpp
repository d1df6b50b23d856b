#ifndef COLTSFOOTRACK_WIRE_CODEC_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_CODEC_HPP_INCLUDED

#include <coltsfootrack/wire/message.hpp>

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace coltsfootrack::wire
{

// The FlatBuffers encoding of a message, without the length prefix. Durations
// out of range are clamped.
std::string encode(const message& value);

// Verifies the buffer and decodes one message. A malformed buffer, an unknown
// type, an empty id or a negative amount gives peer_protocol. The bytes need no
// alignment. The result takes no more memory than a small multiple of the
// buffer: lists whose entries overlap in it are refused.
absl::StatusOr<message> decode(std::string_view bytes);

} // namespace coltsfootrack::wire

#endif
