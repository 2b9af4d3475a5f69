#pragma once

#include "codec/FrameCodec.h"
#include "codec/Peer_generated.h"
#include "greengagestair/Messages.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** Maximum length of names and keys in bytes. Entries of a list may share one string in the buffer,
 * so the limit on the frame alone does not limit the memory that a decoded message takes. */
inline constexpr std::size_t kMaxNameBytes = 512;

/** Maximum number of elements of each list in a message, for the same reason as kMaxNameBytes. */
inline constexpr std::size_t kMaxListItems = 8192;

/** Limit of decoded durations, so that sums with event times cannot overflow. */
inline constexpr Duration kMaxDuration = std::chrono::hours(24);

/**
 * Converts the fields of one message. Records whether a field exceeded a limit or had an enumerator
 * that this build does not know; the converted message must then be dropped.
 */
class FieldReader
{
public:
    template <typename NameType>
    NameType name(const flatbuffers::String *text)
    {
        return { boundedString(text) };
    }

    std::string boundedString(const flatbuffers::String *text)
    {
        if (text && text->size() > kMaxNameBytes) {
            m_exceedsLimits = true;
            return {};
        }
        return unboundedString(text);
    }

    std::string unboundedString(const flatbuffers::String *text)
    {
        return text ? text->str() : std::string();
    }

    /**
     * Converts strings with a total length of at most kMaxFrameBytes. The length of each string
     * counts, also if several share bytes of the buffer.
     */
    std::vector<std::string>
    strings(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *vector)
    {
        std::size_t bytes = 0;
        return list<std::string>(vector, [&](const flatbuffers::String *text) {
            bytes += text->size();
            m_exceedsLimits = m_exceedsLimits || bytes > kMaxFrameBytes;
            return m_exceedsLimits ? std::string() : text->str();
        });
    }

    /** Converts an enumerator; the order is the same in the schema and in Messages.h. */
    template <typename To, typename From>
    To enumerator(From value)
    {
        if (value > From::MAX) {
            m_hasUnknownEnumerator = true;
            return To {};
        }
        return static_cast<To>(value);
    }

    Duration duration(std::int64_t microseconds)
    {
        return std::clamp(Duration(microseconds), -kMaxDuration, kMaxDuration);
    }

    Endpoint endpoint(const flatbuffers::String *address, std::uint16_t port)
    {
        return { boundedString(address), port };
    }

    /** Converts each element of `vector`, which is null if the field is absent. */
    template <typename Item, typename Vector, typename Convert>
    std::vector<Item> list(const Vector *vector, Convert convert)
    {
        std::vector<Item> items;
        if (!vector)
            return items;
        if (vector->size() > kMaxListItems) {
            m_exceedsLimits = true;
            return items;
        }
        items.reserve(vector->size());
        for (const auto element : *vector)
            items.push_back(convert(element));
        return items;
    }

    bool exceedsLimits() const { return m_exceedsLimits; }
    bool hasUnknownEnumerator() const { return m_hasUnknownEnumerator; }

private:
    bool m_exceedsLimits = false;
    bool m_hasUnknownEnumerator = false;
};

/** Returns the message of an envelope, or nothing if its payload is missing. */
std::optional<PeerMessage> readMessage(FieldReader &reader, const wire::Envelope &envelope);

} // namespace greengagestair
