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

/** Collects the faults of one document and keeps the first. */
class FaultRecorder
{
public:
    /** Records a fault unless one was recorded before. `expected` describes a valid value. */
    void record(DocumentErrorKind kind, std::string path, std::string expected);
    /** The first recorded fault, if there was any. */
    const std::optional<DocumentError> &first() const { return m_first; }

private:
    std::optional<DocumentError> m_first;
};

/**
 * Validating reader of one JSON value, with the path of the value in its document. Parse
 * functions call its getters without checks in between: a getter that finds a fault records it and
 * returns a default value. The caller checks the FaultRecorder at the end and then rejects the
 * document.
 *
 * A getter with a `key` reads that member of the object; a missing member is a fault.
 */
class JsonReader
{
public:
    JsonReader(const boost::json::value &value, std::string path, FaultRecorder &faults);

    /** Path of the value, e.g. `services[0].slots`; empty for the whole document. */
    const std::string &path() const { return m_path; }
    /** Records a fault of the value itself. */
    void fault(DocumentErrorKind kind, std::string expected) const;
    /** Records a fault of the object's member `key`. */
    void fault(DocumentErrorKind kind, std::string_view key, std::string expected) const;

    /** Records a fault for each key of the object that is not in `allowed`. */
    void rejectUnknownKeys(std::initializer_list<std::string_view> allowed) const;
    /** Reader of a member that has to be an object. */
    JsonReader object(std::string_view key) const;
    /** Whether the value is an object that has the key. */
    bool has(std::string_view key) const;

    /** String of up to `maxLength` bytes. */
    std::string text(std::string_view key, std::size_t maxLength) const;
    /** Name for use in URLs and platform keys: 1 to 64 letters, digits, `-`, `_` and `.`. */
    std::string name(std::string_view key) const;
    /** Numeric IPv4 or IPv6 address in text form. */
    std::string address(std::string_view key) const;
    /** Integer from `minimum` to `maximum`; returns `minimum` after a fault. */
    std::uint64_t number(std::string_view key, std::uint64_t minimum, std::uint64_t maximum) const;
    /** Number from `minimum` to `maximum`, with or without a fraction; returns `minimum` after a
     * fault. */
    double decimal(std::string_view key, double minimum, double maximum) const;
    /** Integer number of milliseconds from `minimum` to `maximum`. */
    Duration milliseconds(std::string_view key, std::uint64_t minimum, std::uint64_t maximum) const;
    /** `true` or `false`; returns false after a fault. */
    bool boolean(std::string_view key) const;
    /** String that must be one of `choices`; returns its index there, or 0 after a fault. */
    std::size_t choice(std::string_view key, std::initializer_list<std::string_view> choices) const;
    /** Readers of the elements of an array of up to `maxSize` elements; empty after a fault. */
    std::vector<JsonReader> list(std::string_view key, std::size_t maxSize) const;
    /** The value itself as a string of up to `maxLength` bytes. */
    std::string asText(std::size_t maxLength) const;
    /** The value itself as a name, see name(). */
    std::string asName() const;

private:
    const boost::json::value *find(std::string_view key) const;
    std::string pathOf(std::string_view key) const;

    const boost::json::value *m_value;
    std::string m_path;
    FaultRecorder *m_faults;
};

} // namespace greengagestair
