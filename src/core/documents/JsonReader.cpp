#include "core/documents/JsonReader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <utility>

namespace greengagestair {

static constexpr std::size_t kMaxNameLength = 64;

static bool isNameCharacter(char character)
{
    const bool letter =
            (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' || character == '.';
}

static bool isName(const std::string &text)
{
    if (text.empty() || text.size() > kMaxNameLength)
        return false;
    return std::all_of(text.begin(), text.end(), isNameCharacter);
}

static bool isAddress(const std::string &text)
{
    std::array<unsigned char, 16> parsed {};
    return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1
            || inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

static std::string joinChoices(std::initializer_list<std::string_view> choices)
{
    std::string joined;
    for (const std::string_view choice : choices) {
        if (!joined.empty())
            joined += ", ";
        joined += choice;
    }
    return joined;
}

void FaultRecorder::record(DocumentErrorKind kind, std::string path, std::string expected)
{
    if (!m_first)
        m_first = DocumentError { kind, std::move(path), std::move(expected) };
}

JsonReader::JsonReader(const boost::json::value &value, std::string path, FaultRecorder &faults)
    : m_value(&value)
    , m_path(std::move(path))
    , m_faults(&faults)
{
}

void JsonReader::fault(DocumentErrorKind kind, std::string expected) const
{
    m_faults->record(kind, m_path, std::move(expected));
}

void JsonReader::fault(DocumentErrorKind kind, std::string_view key, std::string expected) const
{
    m_faults->record(kind, pathOf(key), std::move(expected));
}

void JsonReader::rejectUnknownKeys(std::initializer_list<std::string_view> allowed) const
{
    if (!m_value->is_object()) {
        fault(DocumentErrorKind::WrongType, "an object");
        return;
    }
    for (const auto &member : m_value->get_object()) {
        const std::string_view key(member.key().data(), member.key().size());
        if (std::find(allowed.begin(), allowed.end(), key) == allowed.end())
            fault(DocumentErrorKind::UnknownKey, key, "one of " + joinChoices(allowed));
    }
}

bool JsonReader::has(std::string_view key) const
{
    return m_value->is_object() && m_value->get_object().contains(key);
}

std::string JsonReader::text(std::string_view key, std::size_t maxLength) const
{
    const boost::json::value *value = find(key);
    return value ? JsonReader(*value, pathOf(key), *m_faults).asText(maxLength) : std::string();
}

std::string JsonReader::name(std::string_view key) const
{
    const boost::json::value *value = find(key);
    return value ? JsonReader(*value, pathOf(key), *m_faults).asName() : std::string();
}

std::string JsonReader::address(std::string_view key) const
{
    std::string address = text(key, kMaxNameLength);
    if (has(key) && !isAddress(address))
        fault(DocumentErrorKind::BadText, key, "a numeric IPv4 or IPv6 address");
    return address;
}

std::uint64_t JsonReader::number(std::string_view key, std::uint64_t minimum,
                                 std::uint64_t maximum) const
{
    const boost::json::value *value = find(key);
    if (!value)
        return minimum;
    const std::string expected =
            "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (!value->is_int64() && !value->is_uint64()) {
        fault(DocumentErrorKind::WrongType, key, expected);
        return minimum;
    }
    const bool negative = value->is_int64() && value->get_int64() < 0;
    const std::uint64_t number = negative ? 0
            : value->is_int64()           ? static_cast<std::uint64_t>(value->get_int64())
                                          : value->get_uint64();
    if (negative || number < minimum || number > maximum) {
        fault(DocumentErrorKind::OutOfRange, key, expected);
        return minimum;
    }
    return number;
}

double JsonReader::decimal(std::string_view key, double minimum, double maximum) const
{
    const boost::json::value *value = find(key);
    if (!value)
        return minimum;
    const std::string expected =
            "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (!value->is_number()) {
        fault(DocumentErrorKind::WrongType, key, expected);
        return minimum;
    }
    const double number = value->to_number<double>();
    if (number >= minimum && number <= maximum)
        return number;
    fault(DocumentErrorKind::OutOfRange, key, expected);
    return minimum;
}

Duration JsonReader::milliseconds(std::string_view key, std::uint64_t minimum,
                                  std::uint64_t maximum) const
{
    return std::chrono::milliseconds(number(key, minimum, maximum));
}

bool JsonReader::boolean(std::string_view key) const
{
    const boost::json::value *value = find(key);
    if (!value)
        return false;
    if (!value->is_bool()) {
        fault(DocumentErrorKind::WrongType, key, "true or false");
        return false;
    }
    return value->get_bool();
}

std::size_t JsonReader::choice(std::string_view key,
                               std::initializer_list<std::string_view> choices) const
{
    if (!find(key))
        return 0;
    const std::string text = this->text(key, kMaxNameLength);
    const auto *found = std::find(choices.begin(), choices.end(), text);
    if (found == choices.end()) {
        fault(DocumentErrorKind::BadText, key, "one of " + joinChoices(choices));
        return 0;
    }
    return static_cast<std::size_t>(found - choices.begin());
}

JsonReader JsonReader::object(std::string_view key) const
{
    static const boost::json::value kEmpty = boost::json::object();
    const boost::json::value *value = find(key);
    if (value && !value->is_object())
        fault(DocumentErrorKind::WrongType, key, "an object");
    const bool isObject = value && value->is_object();
    return { isObject ? *value : kEmpty, pathOf(key), *m_faults };
}

std::vector<JsonReader> JsonReader::list(std::string_view key, std::size_t maxSize) const
{
    std::vector<JsonReader> elements;
    const boost::json::value *value = find(key);
    if (!value)
        return elements;
    if (!value->is_array()) {
        fault(DocumentErrorKind::WrongType, key, "an array");
        return elements;
    }
    const boost::json::array &array = value->get_array();
    if (array.size() > maxSize) {
        fault(DocumentErrorKind::OutOfRange, key,
              "at most " + std::to_string(maxSize) + " entries");
        return elements;
    }
    elements.reserve(array.size());
    const std::string prefix = pathOf(key) + "[";
    for (const boost::json::value &element : array)
        elements.emplace_back(element, prefix + std::to_string(elements.size()) + "]", *m_faults);
    return elements;
}

std::string JsonReader::asText(std::size_t maxLength) const
{
    if (!m_value->is_string()) {
        fault(DocumentErrorKind::WrongType, "a string");
        return {};
    }
    const boost::json::string &text = m_value->get_string();
    if (text.size() > maxLength) {
        fault(DocumentErrorKind::OutOfRange, "at most " + std::to_string(maxLength) + " bytes");
        return {};
    }
    return { text.data(), text.size() };
}

std::string JsonReader::asName() const
{
    std::string text = asText(kMaxNameLength);
    if (!isName(text)) {
        fault(DocumentErrorKind::BadText,
              "a name of 1 to 64 letters, digits, hyphens, underscores and dots");
    }
    return text;
}

const boost::json::value *JsonReader::find(std::string_view key) const
{
    if (!m_value->is_object()) {
        fault(DocumentErrorKind::WrongType, "an object");
        return nullptr;
    }
    const boost::json::value *found = m_value->get_object().if_contains(key);
    if (!found)
        fault(DocumentErrorKind::MissingKey, key, "a value");
    return found;
}

std::string JsonReader::pathOf(std::string_view key) const
{
    std::string path = m_path;
    if (!path.empty())
        path += '.';
    path += key;
    return path;
}

} // namespace greengagestair
