#pragma once

#include "codec/FrameCodec.h"

#include <optional>

namespace greengagestair {

/** Cuts a byte stream into frames and decodes them. Holds at most one incomplete frame plus what
 * was appended last. */
class FrameDecoder
{
public:
    /** Adds bytes of the stream. Call `next` until it returns nothing before adding more. */
    void append(std::span<const std::uint8_t> bytes);

    /**
     * The next envelope, or nothing if its frame is incomplete. UnknownPayload skips one frame; the
     * frames after it can be read. Any other error is final: the stream must be closed.
     */
    boost::leaf::result<std::optional<PeerEnvelope>> next();

    /** Bytes that wait for the rest of their frame. */
    std::size_t bufferedBytes() const { return m_buffer.size() - m_begin; }

private:
    void releaseWhenEmpty();

    FrameBytes m_buffer;
    std::size_t m_begin = 0; ///< of the first byte that was not consumed
};

} // namespace greengagestair
