#pragma once

#include "core/documents/DocumentParsers.h"
#include "greengagestair/Types.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/** Keeps the first fault of one document. */
class FaultRecorder
{
public:
    void record(DocumentErrorKind kind, std::string path, std::string expected);
    const std::optional<DocumentError> &first() const { return m_first; }

private:
    std::optional<DocumentError> m_first;
};

/**
 * One JSON value with its path. A getter that finds a fault records it and returns a default, so
 * that parse functions read straight through; the document is refused at the end.
 */
class JsonReader
{
public:
    JsonReader(const boost::json::value &value, std::string path, FaultRecorder &faults);

    const std::string &path() const { return m_path; }
    void fault(DocumentErrorKind kind, std::string expected) const;
    void fault(DocumentErrorKind kind, std::string_view key, std::string expected) const;

    /** Records each key of the object that is not allowed. */
    void rejectUnknownKeys(std::initializer_list<std::string_view> allowed) const;
    bool has(std::string_view key) const;

    /** Text of up to `maxLength` bytes. */
    std::string text(std::string_view key, std::size_t maxLength) const;
    /** Non-empty text of letters, digits, `-`, `_` and `.`, as used in URLs and platform keys. */
    std::string name(std::string_view key) const;
    /** IP address in text form. */
    std::string address(std::string_view key) const;
    std::uint64_t number(std::string_view key, std::uint64_t minimum, std::uint64_t maximum) const;
    /** Number with or without a fraction. */
    double decimal(std::string_view key, double minimum, double maximum) const;
    Duration milliseconds(std::string_view key, std::uint64_t minimum, std::uint64_t maximum) const;
    bool boolean(std::string_view key) const;
    /** Index of the text among the allowed words; 0 after a fault. */
    std::size_t choice(std::string_view key, std::initializer_list<std::string_view> words) const;
    /** Elements of a list. */
    std::vector<JsonReader> list(std::string_view key, std::size_t maxSize) const;
    /** The value itself as a text. */
    std::string asText(std::size_t maxLength) const;
    /** The value itself as a name. */
    std::string asName() const;

private:
    const boost::json::value *find(std::string_view key) const;
    std::string pathOf(std::string_view key) const;

    const boost::json::value *m_value;
    std::string m_path;
    FaultRecorder *m_faults;
};

} // namespace greengagestair
