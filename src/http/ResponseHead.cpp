#include "http/ResponseHead.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>

namespace greengagestair {

static constexpr std::string_view kLineEnd = "\r\n";

const char *toText(ResponseDefect defect)
{
    switch (defect) {
    case ResponseDefect::StatusLine:
        return "statusLine";
    case ResponseDefect::Status:
        return "status";
    case ResponseDefect::FieldName:
        return "fieldName";
    case ResponseDefect::FieldValue:
        return "fieldValue";
    case ResponseDefect::Head:
        return "head";
    case ResponseDefect::Framing:
        return "framing";
    case ResponseDefect::Body:
        return "body";
    case ResponseDefect::TooLarge:
        return "tooLarge";
    case ResponseDefect::Unmatched:
        return "unmatched";
    case ResponseDefect::Memory:
        return "memory";
    }
    return "unknown";
}

static bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/** Which bytes are characters of a token (RFC 9110, section 5.6.2). */
static constexpr std::array<bool, 256> kTokenCharacters = [] {
    std::array<bool, 256> table {};
    for (const std::string_view characters :
         { std::string_view("abcdefghijklmnopqrstuvwxyz"),
           std::string_view("ABCDEFGHIJKLMNOPQRSTUVWXYZ"), std::string_view("0123456789"),
           std::string_view("!#$%&'*+-.^_`|~") }) {
        for (const char c : characters)
            table[static_cast<unsigned char>(c)] = true;
    }
    return table;
}();

static bool isTokenCharacter(char c)
{
    return kTokenCharacters[static_cast<unsigned char>(c)];
}

/** True if the text may stand in a field value or a reason phrase (RFC 9110, section 5.5). */
static bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        constexpr unsigned char kDelete = 0x7f;
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= ' ' && byte != kDelete);
    });
}

std::variant<HeaderField, ResponseDefect> parseFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const bool isName = !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
    if (colon == std::string_view::npos || !isName)
        return ResponseDefect::FieldName;
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isFieldText(value))
        return ResponseDefect::FieldValue;
    return HeaderField { std::string(name), std::string(value) };
}

/** Parses `HTTP/1.0` or `HTTP/1.1`, `SP 3DIGIT` and optionally `SP reason` into `head`. */
static std::optional<ResponseDefect> parseStatusLine(std::string_view line, ResponseHead &head)
{
    constexpr std::string_view kProtocol = "HTTP/1.";
    constexpr std::size_t kVersionLength = kProtocol.size() + 1;
    constexpr std::size_t kStatusDigits = 3;
    if (!line.starts_with(kProtocol) || line.size() <= kVersionLength
        || line[kVersionLength] != ' ')
        return ResponseDefect::StatusLine;
    head.minorVersion = line[kProtocol.size()] - '0';
    if (head.minorVersion != 0 && head.minorVersion != 1)
        return ResponseDefect::StatusLine;
    line.remove_prefix(kVersionLength + 1);
    const std::string_view digits = line.substr(0, line.find(' '));
    const std::string_view reason = line.substr(std::min(digits.size() + 1, line.size()));
    if (!isFieldText(line))
        return ResponseDefect::StatusLine;
    if (digits.size() != kStatusDigits || !std::all_of(digits.begin(), digits.end(), isDigit))
        return ResponseDefect::Status;
    std::from_chars(digits.data(), digits.data() + digits.size(), head.status);
    head.reason = std::string(reason);
    // No request of this tier offers to switch the protocol.
    constexpr int kSwitchingProtocols = 101;
    if (head.status < 100 || head.status > 599 || head.status == kSwitchingProtocols)
        return ResponseDefect::Status;
    return std::nullopt;
}

/** Parses a Content-Length value, which may repeat the same number as a list. */
static std::optional<std::uint64_t> parseLength(std::string_view list)
{
    std::optional<std::uint64_t> length;
    for (bool isLast = false; !isLast;) {
        const std::size_t comma = list.find(',');
        isLast = comma == std::string_view::npos;
        const std::string_view item = trimmed(list.substr(0, comma));
        std::uint64_t value = 0;
        const auto parsed = std::from_chars(item.data(), item.data() + item.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != item.data() + item.size())
            return std::nullopt;
        if (length && *length != value)
            return std::nullopt;
        length = value;
        if (!isLast)
            list.remove_prefix(comma + 1);
    }
    return length;
}

/** True if all recipients see the same end of the body (RFC 9112, section 6). */
static bool hasClearFraming(const ResponseHead &head)
{
    std::optional<std::uint64_t> length;
    std::size_t codings = 0;
    for (const HeaderField &field : head.fields) {
        if (equalsIgnoringCase(field.name, "Content-Length")) {
            const auto stated = parseLength(field.value);
            if (!stated || (length && *length != *stated))
                return false;
            length = stated;
        } else if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
            if (!equalsIgnoringCase(field.value, "chunked") || head.minorVersion == 0)
                return false;
            ++codings;
        }
    }
    return codings == 0 || (codings == 1 && !length);
}

/** Removes the first line from `text` and returns it without its CRLF; nullopt if it has none. */
static std::optional<std::string_view> takeLine(std::string_view &text)
{
    const std::size_t end = text.find(kLineEnd);
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + kLineEnd.size());
    return line;
}

std::variant<ResponseHead, ResponseDefect> parseResponseHead(std::string_view text)
{
    ResponseHead head;
    const auto statusLine = takeLine(text);
    if (!statusLine)
        return ResponseDefect::StatusLine;
    if (const auto defect = parseStatusLine(*statusLine, head))
        return *defect;
    for (auto line = takeLine(text); line != std::string_view(); line = takeLine(text)) {
        if (!line)
            return ResponseDefect::FieldName;
        auto field = parseFieldLine(*line);
        if (const auto *defect = std::get_if<ResponseDefect>(&field))
            return *defect;
        head.fields.push_back(std::move(std::get<HeaderField>(field)));
    }
    if (!text.empty())
        return ResponseDefect::FieldName;
    if (!hasClearFraming(head))
        return ResponseDefect::Framing;
    return head;
}

} // namespace greengagestair
