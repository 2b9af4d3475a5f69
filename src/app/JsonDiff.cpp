#include "app/JsonDiff.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <map>

namespace greengagestair {

namespace json = boost::json;

static constexpr std::string_view kAbsent = "absent";

using Children = std::map<std::string, const json::value *>;

/** The parts of an object or list by the end of their path. */
static Children childrenOf(const json::value &value)
{
    Children children;
    if (value.is_object()) {
        for (const auto &member : value.get_object())
            children.emplace("." + std::string(member.key()), &member.value());
    }
    if (value.is_array()) {
        std::size_t index = 0;
        for (const json::value &item : value.get_array()) {
            const json::value *name =
                    item.is_object() ? item.get_object().if_contains("name") : nullptr;
            const std::string key = name && name->is_string() ? std::string(name->get_string())
                                                              : std::to_string(index);
            children.emplace("[" + key + "]", &item);
            ++index;
        }
    }
    return children;
}

static std::string textOf(const json::value *value)
{
    return value ? json::serialize(*value) : std::string(kAbsent);
}

static void addDifferences(const std::string &path, const json::value *current,
                           const json::value *declared, std::vector<std::string> &lines)
{
    const bool areContainers =
            current && declared && current->kind() == declared->kind() && current->is_structured();
    if (!areContainers) {
        const bool areEqual = current && declared && *current == *declared;
        if (!areEqual)
            lines.push_back(path + ": " + textOf(current) + " -> " + textOf(declared));
        return;
    }
    const Children left = childrenOf(*current);
    const Children right = childrenOf(*declared);
    for (const auto &[key, value] : left) {
        const auto other = right.find(key);
        addDifferences(path + key, value, other == right.end() ? nullptr : other->second, lines);
    }
    for (const auto &[key, value] : right) {
        if (!left.contains(key))
            addDifferences(path + key, nullptr, value, lines);
    }
}

static json::value parseConfigurationText(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    json::value value = json::parse(text, error, {}, options);
    if (error || !value.is_object())
        return json::object();
    value.get_object().erase("changeId");
    value.get_object().erase("recentChangeIds");
    return value;
}

std::vector<std::string> diffConfigurations(std::string_view current, std::string_view declared)
{
    const json::value left = parseConfigurationText(current);
    const json::value right = parseConfigurationText(declared);
    std::vector<std::string> lines;
    addDifferences("$", &left, &right, lines);
    return lines;
}

} // namespace greengagestair
