#include "net/EnumNames.h"

#include "net/Description.h"

namespace greengagestair {

template <typename Enum>
static std::string camelCaseName(Enum value)
{
    std::string name = boost::describe::enum_to_string(value, "Unknown");
    if (name.front() >= 'A' && name.front() <= 'Z')
        name.front() = static_cast<char>(name.front() - 'A' + 'a');
    return name;
}

std::string toText(QueryOutcome outcome)
{
    return camelCaseName(outcome);
}

std::string toText(QueryReason reason)
{
    return camelCaseName(reason);
}

std::string toText(PartReason reason)
{
    return camelCaseName(reason);
}

std::string toText(StateChangeKind kind)
{
    return camelCaseName(kind);
}

} // namespace greengagestair
