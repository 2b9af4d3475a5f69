#include "codec/FrameDecoder.h"

#include <boost/leaf/error.hpp>

namespace leaf = boost::leaf;

namespace greengagestair {

/** An empty buffer with a larger capacity is freed, because each of thousands of connections has a
 * buffer. */
static constexpr std::size_t kMaxRetainedBufferBytes = 4096;

static std::size_t readLength(const std::uint8_t *prefix)
{
    std::size_t length = 0;
    for (std::size_t i = kFramePrefixBytes; i > 0; --i)
        length = length << 8 | prefix[i - 1];
    return length;
}

void FrameDecoder::append(std::span<const std::uint8_t> bytes)
{
    m_buffer.erase(m_buffer.begin(),
                   m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumedBytes));
    m_consumedBytes = 0;
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

void FrameDecoder::releaseBufferIfEmpty()
{
    if (bufferedBytes() > 0 || m_buffer.capacity() <= kMaxRetainedBufferBytes)
        return;
    m_buffer = FrameBytes();
    m_consumedBytes = 0;
}

leaf::result<std::optional<PeerEnvelope>> FrameDecoder::next()
{
    if (bufferedBytes() < kFramePrefixBytes) {
        releaseBufferIfEmpty();
        return std::optional<PeerEnvelope>();
    }
    const std::size_t length = readLength(m_buffer.data() + m_consumedBytes);
    if (length > kMaxFrameBytes)
        return leaf::new_error(FrameTooLarge { length });
    if (bufferedBytes() < kFramePrefixBytes + length)
        return std::optional<PeerEnvelope>();
    const std::span<const std::uint8_t> body(m_buffer.data() + m_consumedBytes + kFramePrefixBytes,
                                             length);
    m_consumedBytes += kFramePrefixBytes + length;
    auto envelope = FrameCodec::decodeBody(body);
    if (!envelope)
        return envelope.error();
    return std::optional<PeerEnvelope>(std::move(*envelope));
}

} // namespace greengagestair
