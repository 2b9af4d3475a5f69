#include "app/ConfigurationChange.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace greengagestair {

namespace json = boost::json;

static constexpr std::size_t kRecentChangeIds = 32;
static constexpr const char *kChangeIdKey = "changeId";
static constexpr const char *kRecentKey = "recentChangeIds";

/** An empty object if the text is not a JSON object. */
static json::object parseObject(const std::string &text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    json::value value = json::parse(text, error, {}, options);
    return value.is_object() ? std::move(value.get_object()) : json::object();
}

static std::string changeIdOf(const json::object &configuration)
{
    const json::value *value = configuration.if_contains(kChangeIdKey);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

static json::array recentChangeIdsOf(const json::object &configuration)
{
    const json::value *value = configuration.if_contains(kRecentKey);
    return value && value->is_array() ? value->get_array() : json::array();
}

std::string withRecentChangeIds(const std::string &declaration, const std::string &current)
{
    json::object configuration = parseObject(declaration);
    const json::object previous = parseObject(current);
    json::array recent;
    if (const std::string last = changeIdOf(previous); !last.empty())
        recent.push_back(json::string(last));
    for (const json::value &identifier : recentChangeIdsOf(previous)) {
        if (recent.size() < kRecentChangeIds)
            recent.push_back(identifier);
    }
    configuration[kRecentKey] = std::move(recent);
    return json::serialize(configuration);
}

static bool hasSameContent(json::object left, json::object right)
{
    left.erase(kRecentKey);
    right.erase(kRecentKey);
    return left == right;
}

/** What the platform's document says about the declaration; nothing if it does not know it. */
static std::optional<ChangeReport> recognise(const std::string &declaration,
                                             const PlatformDocument &current)
{
    const json::object declared = parseObject(declaration);
    const json::object held = parseObject(current.content);
    const std::string own = changeIdOf(declared);
    if (changeIdOf(held) == own) {
        const bool isSame = hasSameContent(declared, held);
        return ChangeReport { isSame ? ChangeResult::Accepted : ChangeResult::IdentifierReused,
                              current.revision, own };
    }
    const json::array recent = recentChangeIdsOf(held);
    if (std::find(recent.begin(), recent.end(), json::value(json::string(own))) != recent.end())
        return ChangeReport { ChangeResult::AcceptedBefore, current.revision, changeIdOf(held) };
    return std::nullopt;
}

ChangeReport applyConfiguration(const std::string &declaration, ConfigurationStore &store)
{
    std::optional<PlatformDocument> current = store.read();
    while (!current && store.waitBeforeRetry())
        current = store.read();
    if (!current)
        return { ChangeResult::Unreachable, {}, {} };
    if (const auto known = recognise(declaration, *current))
        return *known;
    const Revision expected = current->revision;
    const std::string content = withRecentChangeIds(declaration, current->content);
    bool writesAgain = true;
    do {
        const WriteResult written = store.write(expected, content);
        if (const auto *revision = std::get_if<Revision>(&written))
            return { ChangeResult::Accepted, *revision, {} };
        current = store.read();
        if (current && current->revision != expected) {
            // The conflict may be with this tool's own write, whose answer was lost.
            if (const auto known = recognise(declaration, *current))
                return *known;
            return { ChangeResult::LostRace, current->revision,
                     changeIdOf(parseObject(current->content)) };
        }
        writesAgain = store.waitBeforeRetry();
    } while (writesAgain);
    return { ChangeResult::Unknown, expected, {} };
}

} // namespace greengagestair
