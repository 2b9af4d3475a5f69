#pragma once

#include "codec/CodecErrors.h"
#include "greengagestair/Messages.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace greengagestair {

/** Encoded frames, as sent and received. A frame is a length prefix and one envelope. */
using FrameBytes = std::vector<std::uint8_t>;

/** Size of the prefix of a frame in bytes: the length of the envelope, little-endian. */
constexpr std::size_t kFramePrefixBytes = 4;

/**
 * Maximum length of one envelope in bytes, without its prefix. Fits a DocumentPush with a value of
 * up to 1 MB, the maximum of the platform's store.
 */
constexpr std::size_t kMaxFrameBytes = 1'310'720;

/** Protocol version written into each frame. Later versions only append fields and payloads. */
constexpr std::uint32_t kProtocolVersion = 1;

/** Oldest protocol version that this build decodes. */
constexpr std::uint32_t kOldestProtocolVersion = 1;

/**
 * Converts the messages between entry hosts to frames and back, with the FlatBuffers schema in
 * Peer.fbs. Frames from the network are untrusted: decoding verifies the buffer and limits the
 * memory that a message takes. All functions are stateless; FrameDecoder splits a stream into
 * frames.
 */
class FrameCodec
{
public:
    /**
     * Appends the frame of one message to `out`. Error: FrameTooLarge, which leaves `out`
     * unchanged.
     */
    static boost::leaf::result<void> append(const HostId &sender, Incarnation incarnation,
                                            const Endpoint &endpoint, const PeerMessage &message,
                                            FrameBytes &out);

    /** Returns the frame of one envelope, with its prefix. Error: FrameTooLarge. */
    static boost::leaf::result<FrameBytes> encode(const PeerEnvelope &envelope);

    /**
     * Decodes one envelope, which is the body of a frame without its prefix. Durations are limited
     * to 24 hours in both directions, so that sums with event times cannot overflow. Errors:
     * FrameVerificationFailed, UnknownPayload, UnsupportedProtocolVersion.
     */
    static boost::leaf::result<PeerEnvelope> decodeBody(std::span<const std::uint8_t> body);
};

} // namespace greengagestair
