#pragma once

#include "codec/CodecErrors.h"
#include "greengagestair/Messages.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace greengagestair {

/** Bytes of frames, as sent and received. */
using FrameBytes = std::vector<std::uint8_t>;

/** Bytes in front of each envelope: its length, little-endian. */
constexpr std::size_t kFramePrefixBytes = 4;

/** Bound on the length of one envelope. A platform value, which DocumentPush carries, is up to 1
 * MB.
 */
constexpr std::size_t kMaxFrameBytes = 1'310'720;

/** Written into each frame. Later versions only append fields and payload types. */
constexpr std::uint32_t kProtocolVersion = 1;

/** Oldest version of a sender whose frames are read. */
constexpr std::uint32_t kOldestProtocolVersion = 1;

/** Converts envelopes to frames and back. */
class FrameCodec
{
public:
    /** Appends one frame to `out`, which stays as it is after an error. Error: FrameTooLarge. */
    static boost::leaf::result<void> append(const HostId &sender, Incarnation incarnation,
                                            const Endpoint &endpoint, const PeerMessage &message,
                                            FrameBytes &out);

    /** The frame of one envelope, with its prefix. Error: FrameTooLarge. */
    static boost::leaf::result<FrameBytes> encode(const PeerEnvelope &envelope);

    /**
     * Reads the body of one frame, without its prefix. Errors: FrameVerificationFailed,
     * UnknownPayload, UnsupportedProtocolVersion. Times beyond a day are cut to one, so that sums
     * with event times cannot overflow.
     */
    static boost::leaf::result<PeerEnvelope> decodeBody(std::span<const std::uint8_t> body);
};

} // namespace greengagestair
