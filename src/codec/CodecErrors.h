#pragma once

#include <cstddef>
#include <cstdint>

namespace greengagestair {

/** The length of a frame is above `kMaxFrameBytes`. */
struct FrameTooLarge
{
    std::size_t bytes = 0;
};

/** The bytes are not a valid envelope: they were damaged, or the sender is faulty. */
struct FrameVerificationFailed
{
};

/** A valid envelope with content that this build does not know; the frames after it are readable.
 */
struct UnknownPayload
{
    unsigned type = 0; ///< as numbered by the union in Peer.fbs
};

/** The sender speaks a protocol version that this build no longer reads. */
struct UnsupportedProtocolVersion
{
    std::uint32_t version = 0;
};

} // namespace greengagestair
