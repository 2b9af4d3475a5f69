#include "http/ServerStatementReader.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace greengagestair {

/** Greatest request rate, per second, that is taken for meant. */
static constexpr double kMaxRequestLimit = 1e6;
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

    /** A decimal number from 0 to `max`; nullopt if the field is absent or invalid. */
    std::optional<double> number(const std::string &name, double max)
    {
        const auto isNamed = [&](const HeaderField &field) {
            return equalsIgnoringCase(field.name, name);
        };
        const auto field = std::find_if(m_headers.begin(), m_headers.end(), isNamed);
        if (name.empty() || field == m_headers.end())
            return std::nullopt;
        const std::string &value = field->value;
        double number = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number,
                                            std::chars_format::fixed);
        const bool isWhole = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
        const bool isInRange = number >= 0 && number <= max; // False for NaN.
        const bool isRepeated = std::count_if(field, m_headers.end(), isNamed) > 1;
        if (isWhole && isInRange && !isRepeated)
            return number;
        m_statement.invalid = field->name + ": " + value.substr(0, kMaxReportedBytes);
        return std::nullopt;
    }

private:
    const Headers &m_headers;
    ServerStatement &m_statement;
};

} // namespace

ServerStatement readServerStatement(const Headers &headers, const HeaderNames &names)
{
    ServerStatement statement;
    StatementFields fields(headers, statement);
    statement.requestLimit = fields.number(names.requestLimit, kMaxRequestLimit);
    return statement;
}

} // namespace greengagestair
