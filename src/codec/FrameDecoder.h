#pragma once

#include "codec/FrameCodec.h"

#include <optional>

namespace greengagestair {

/**
 * Splits the byte stream of one connection into frames and decodes them. Each connection between
 * entry hosts has one decoder. If next() is called as append() requires, the decoder buffers at
 * most one incomplete frame and the bytes that were appended last.
 */
class FrameDecoder
{
public:
    /** Appends bytes of the stream. Before, call next() until it returns nothing. */
    void append(std::span<const std::uint8_t> bytes);

    /**
     * Returns the next envelope, or nothing if its frame is incomplete. Errors: UnknownPayload,
     * which skips one frame so that the frames after it can be read, and FrameTooLarge,
     * FrameVerificationFailed and UnsupportedProtocolVersion, after which the stream must be
     * closed.
     */
    boost::leaf::result<std::optional<PeerEnvelope>> next();

    /** Number of appended bytes that were not decoded yet. */
    std::size_t bufferedBytes() const { return m_buffer.size() - m_consumedBytes; }

private:
    void releaseBufferIfEmpty();

    FrameBytes m_buffer;
    std::size_t m_consumedBytes = 0; ///< number of bytes at the start of m_buffer already decoded
};

} // namespace greengagestair
