#include "net/HttpFraming.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace greengagestair {

static constexpr std::string_view kHeaderEnd = "\r\n\r\n";
static constexpr std::string_view kLineEnd = "\r\n";

static char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

static bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char first, char second) { return toLower(first) == toLower(second); });
}

static std::string_view trim(std::string_view text)
{
    constexpr std::string_view kWhitespace = " \t";
    const auto first = text.find_first_not_of(kWhitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

static std::optional<std::size_t> parseLength(std::string_view text)
{
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return length;
}

namespace {

/** The header fields that determine where a request ends. */
struct FramingFields
{
    std::optional<std::size_t> contentLength;
    bool wantsContinue = false;
};

} // namespace

/** Parses the header lines; returns nothing if they are malformed or contain Transfer-Encoding. */
static std::optional<FramingFields> parseFramingFields(std::string_view lines)
{
    FramingFields fields;
    while (!lines.empty()) {
        const auto end = std::min(lines.find(kLineEnd), lines.size());
        const std::string_view line = lines.substr(0, end);
        lines.remove_prefix(std::min(end + kLineEnd.size(), lines.size()));
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            return std::nullopt;
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = trim(line.substr(colon + 1));
        if (name.find_first_of(" \t") != std::string_view::npos)
            return std::nullopt;
        if (equalIgnoringCase(name, "Transfer-Encoding"))
            return std::nullopt;
        if (equalIgnoringCase(name, "Expect"))
            fields.wantsContinue = equalIgnoringCase(value, "100-continue");
        if (equalIgnoringCase(name, "Content-Length")) {
            // Prevents request smuggling: with two lengths, a proxy and this process could disagree
            // on where the request ends.
            if (fields.contentLength)
                return std::nullopt;
            fields.contentLength = parseLength(value);
            if (!fields.contentLength)
                return std::nullopt;
        }
    }
    return fields;
}

FramingResult frameRequest(std::string_view bytes, const HttpLimits &limits)
{
    const auto headerEnd = bytes.substr(0, limits.maxHeaderBytes).find(kHeaderEnd);
    if (headerEnd == std::string_view::npos) {
        if (bytes.size() >= limits.maxHeaderBytes)
            return { FramingStatus::HeaderTooLarge };
        return {};
    }
    const auto firstLineEnd = bytes.find(kLineEnd);
    const auto fieldsBegin = std::min(firstLineEnd + kLineEnd.size(), headerEnd);
    const auto fields = parseFramingFields(bytes.substr(fieldsBegin, headerEnd - fieldsBegin));
    if (firstLineEnd == 0 || !fields)
        return { FramingStatus::Malformed };
    const std::size_t bodyLength = fields->contentLength.value_or(0);
    if (bodyLength > limits.maxBodyBytes)
        return { FramingStatus::BodyTooLarge };
    const std::size_t length = headerEnd + kHeaderEnd.size() + bodyLength;
    if (bytes.size() < length)
        return { FramingStatus::Incomplete, 0, fields->wantsContinue };
    return { FramingStatus::Complete, length, false };
}

} // namespace greengagestair
