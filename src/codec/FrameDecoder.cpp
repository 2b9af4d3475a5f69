#include "codec/FrameDecoder.h"

#include <boost/leaf/error.hpp>

namespace leaf = boost::leaf;

namespace greengagestair {

/** A buffer that grew beyond this is given back once it is empty: thousands of connections have one
 * each. */
static constexpr std::size_t kKeptBufferBytes = 4096;

static std::size_t readLength(const std::uint8_t *prefix)
{
    std::size_t length = 0;
    for (std::size_t i = kFramePrefixBytes; i > 0; --i)
        length = length << 8 | prefix[i - 1];
    return length;
}

void FrameDecoder::append(std::span<const std::uint8_t> bytes)
{
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin));
    m_begin = 0;
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

void FrameDecoder::releaseWhenEmpty()
{
    if (bufferedBytes() > 0 || m_buffer.capacity() <= kKeptBufferBytes)
        return;
    m_buffer = FrameBytes();
    m_begin = 0;
}

leaf::result<std::optional<PeerEnvelope>> FrameDecoder::next()
{
    if (bufferedBytes() < kFramePrefixBytes) {
        releaseWhenEmpty();
        return std::optional<PeerEnvelope>();
    }
    const std::size_t length = readLength(m_buffer.data() + m_begin);
    if (length > kMaxFrameBytes)
        return leaf::new_error(FrameTooLarge { length });
    if (bufferedBytes() < kFramePrefixBytes + length)
        return std::optional<PeerEnvelope>();
    const std::span<const std::uint8_t> body(m_buffer.data() + m_begin + kFramePrefixBytes, length);
    m_begin += kFramePrefixBytes + length;
    auto envelope = FrameCodec::decodeBody(body);
    if (!envelope)
        return envelope.error();
    return std::optional<PeerEnvelope>(std::move(*envelope));
}

} // namespace greengagestair
