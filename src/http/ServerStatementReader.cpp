#include "http/ServerStatementReader.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <iterator>
#include <string_view>

namespace greengagestair {

/** Greatest request rate, per second, that is taken for meant. */
static constexpr double kMaxRequestLimit = 1e6;
/** Longest pause that is taken for meant. */
static constexpr std::chrono::duration<double> kMaxPause = std::chrono::hours(1);
static constexpr int kServiceUnavailable = 503;
/** Bytes of an invalid value that are kept for the log. */
static constexpr std::size_t kMaxReportedBytes = 40;

namespace {

/** Reads single fields and notes those that are invalid. */
class StatementFields
{
public:
    StatementFields(const Headers &headers, ServerStatement &statement)
        : m_headers(headers)
        , m_statement(statement)
    {
    }

    /** True if the field is present with the value 1. */
    bool flag(const std::string &name)
    {
        const HeaderField *field = single(name);
        if (field && field->value != "1")
            addInvalid(*field);
        return field && field->value == "1";
    }

    /** A decimal number from 0 to `max`; nullopt if the field is absent or invalid. */
    std::optional<double> number(const std::string &name, double max)
    {
        const HeaderField *field = single(name);
        if (!field)
            return std::nullopt;
        const std::string &value = field->value;
        double number = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number,
                                            std::chars_format::fixed);
        const bool isWhole = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
        const bool isInRange = number >= 0 && number <= max; // False for NaN.
        if (isWhole && isInRange)
            return number;
        addInvalid(*field);
        return std::nullopt;
    }

private:
    void addInvalid(const HeaderField &field)
    {
        m_statement.invalid = field.name + ": " + field.value.substr(0, kMaxReportedBytes);
    }

    /** The field with this name; null if it is absent, or occurs twice, which is invalid. */
    const HeaderField *single(const std::string &name)
    {
        const auto isNamed = [&](const HeaderField &field) {
            return equalsIgnoringCase(field.name, name);
        };
        const auto field = std::find_if(m_headers.begin(), m_headers.end(), isNamed);
        if (name.empty() || field == m_headers.end())
            return nullptr;
        if (std::find_if(std::next(field), m_headers.end(), isNamed) == m_headers.end())
            return &*field;
        addInvalid(*field);
        return nullptr;
    }

    const Headers &m_headers;
    ServerStatement &m_statement;
};

} // namespace

ServerStatement readServerStatement(int status, const Headers &headers, const HeaderNames &names)
{
    ServerStatement statement;
    StatementFields fields(headers, statement);
    statement.requestLimit = fields.number(names.requestLimit, kMaxRequestLimit);
    if (status == kServiceUnavailable) {
        if (const auto seconds = fields.number("Retry-After", kMaxPause.count()))
            statement.pause = std::chrono::round<Duration>(std::chrono::duration<double>(*seconds));
    }
    statement.isLeaving = fields.flag(names.leaving);
    return statement;
}

} // namespace greengagestair
