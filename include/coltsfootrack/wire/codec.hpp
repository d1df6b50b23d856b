#ifndef COLTSFOOTRACK_WIRE_CODEC_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_CODEC_HPP_INCLUDED

#include <coltsfootrack/wire/message.hpp>

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace coltsfootrack::wire
{

// The FlatBuffers encoding of a message, without the length prefix. Amounts
// below zero in durations are encoded as they are; decode refuses them.
std::string encode(const message& value);

// Verifies the buffer and reads one message. Any fault in the buffer, an
// unknown type, an empty id or a negative duration gives peer_protocol. The
// bytes need no alignment.
absl::StatusOr<message> decode(std::string_view bytes);

} // namespace coltsfootrack::wire

#endif
