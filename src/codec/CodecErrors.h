#pragma once

#include <cstddef>
#include <cstdint>

namespace greengagestair {

/** Error: a frame to be sent or received is longer than kMaxFrameBytes. */
struct FrameTooLarge
{
    std::size_t bytes = 0; ///< length of the envelope, without its prefix
};

/** Error: the bytes are not a valid envelope. They were damaged, or the sender is faulty. */
struct FrameVerificationFailed
{
};

/**
 * Error: the envelope is valid, but has a payload type or an enumerator that this build does not
 * know. The frames after it can still be read.
 */
struct UnknownPayload
{
    unsigned type = 0; ///< number of the payload in the union in Peer.fbs
};

/** Error: the sender uses a protocol version that this build no longer reads. */
struct UnsupportedProtocolVersion
{
    std::uint32_t version = 0; ///< less than kOldestProtocolVersion
};

} // namespace greengagestair
