#include "app/Settings.h"

#include <boost/json/stream_parser.hpp>
#include <boost/leaf/error.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <limits>
#include <map>
#include <sstream>

namespace greengagestair {

using boost::leaf::result;

static constexpr std::size_t kMaxNameLength = 128;
static constexpr std::int64_t kMaxHttpThreads = 64;
static constexpr std::int64_t kMinMemoryMb = 16;
static constexpr std::int64_t kMaxMemoryMb = 1'000'000;
static constexpr std::int64_t kBytesPerMb = 1'048'576;
static constexpr std::int64_t kMinDescriptors = 64;
static constexpr std::int64_t kMaxDescriptors = 1'048'576;
/** Callers' bodies are at most this long (design section 9). */
static constexpr std::int64_t kMaxBodyBytesLimit = 65'536;
static constexpr std::chrono::milliseconds kMinStopTimeout(100);
static constexpr std::chrono::milliseconds kMaxStopTimeout(600'000);

static constexpr std::array<std::string_view, 13> kKnownKeys = {
    "host",      "failureDomain", "callerEndpoint", "peerEndpoint",  "platform",
    "seeds",     "httpThreads",   "maxBodyBytes",   "stopTimeoutMs", "logLevel",
    "traceFile", "memoryMb",      "maxDescriptors"
};

namespace {

/** An endpoint that is not `address:port`. */
struct MalformedEndpoint
{
};

} // namespace

static bool isIpNumber(const std::string &address)
{
    std::array<unsigned char, sizeof(in6_addr)> binary {};
    return inet_pton(AF_INET, address.c_str(), binary.data()) == 1
            || inet_pton(AF_INET6, address.c_str(), binary.data()) == 1;
}

result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return boost::leaf::new_error(MalformedEndpoint {});
    std::string_view address = text.substr(0, colon);
    const bool isBracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (isBracketed)
        address = address.substr(1, address.size() - 2);
    const bool hasColon = address.find(':') != std::string_view::npos;
    const std::string_view portText = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, error] =
            std::from_chars(portText.data(), portText.data() + portText.size(), port);
    const bool isPort = error == std::errc {} && end == portText.data() + portText.size()
            && port >= 1 && port <= std::numeric_limits<std::uint16_t>::max();
    if (!isPort || hasColon != isBracketed || !isIpNumber(std::string(address)))
        return boost::leaf::new_error(MalformedEndpoint {});
    return Endpoint { std::string(address), static_cast<std::uint16_t>(port) };
}

namespace {

/** Reads the members of the settings object; the first problem ends the reading. */
class SettingsReader
{
public:
    SettingsReader(const boost::json::object &object, const std::string &file)
        : m_object(object)
        , m_file(file)
    {
    }

    result<void> checkKeys() const
    {
        for (const auto &member : m_object) {
            const std::string_view key = member.key();
            if (std::find(kKnownKeys.begin(), kKnownKeys.end(), key) == kKnownKeys.end())
                return fail<SettingsUnknownKey>("$." + std::string(key), "a known key: " + keys());
        }
        return {};
    }

    template <typename Tag>
    result<void> readName(std::string_view key, Name<Tag> &name) const
    {
        const auto *value = m_object.if_contains(key);
        if (!value)
            return fail<SettingsMissingKey>(pathOf(key), "a name");
        if (!value->is_string())
            return fail<SettingsWrongType>(pathOf(key), "a name, as a string");
        name.value = std::string(value->get_string());
        if (!isName(name.value)) {
            return fail<SettingsOutOfRange>(pathOf(key),
                                            "1 to 128 letters, digits, '-', '_' or '.'");
        }
        return {};
    }

    result<void> readEndpoint(std::string_view key, Endpoint &endpoint)
    {
        const auto *value = m_object.if_contains(key);
        if (!value)
            return fail<SettingsMissingKey>(pathOf(key), kEndpointForm);
        BOOST_LEAF_ASSIGN(endpoint, toEndpoint(*value, pathOf(key)));
        return {};
    }

    result<void> readEndpoints(std::string_view key, bool isRequired,
                               std::vector<Endpoint> &endpoints)
    {
        const auto *value = m_object.if_contains(key);
        if (!value && !isRequired)
            return {};
        if (!value)
            return fail<SettingsMissingKey>(pathOf(key), kEndpointsForm);
        if (!value->is_array())
            return fail<SettingsWrongType>(pathOf(key), kEndpointsForm);
        if (value->get_array().empty() && isRequired)
            return fail<SettingsOutOfRange>(pathOf(key), "at least one address");
        for (std::size_t index = 0; index < value->get_array().size(); ++index) {
            const std::string path = pathOf(key) + "[" + std::to_string(index) + "]";
            BOOST_LEAF_AUTO(endpoint, toEndpoint(value->get_array()[index], path));
            endpoints.push_back(endpoint);
        }
        return {};
    }

    /** Keeps the default if the key is absent. */
    result<void> readInteger(std::string_view key, std::int64_t least, std::int64_t most,
                             const std::string &unit, std::int64_t &number) const
    {
        const auto *value = m_object.if_contains(key);
        if (!value)
            return {};
        const std::string expected = "a whole number of " + unit + " from " + std::to_string(least)
                + " to " + std::to_string(most);
        if (!value->is_int64() && !value->is_uint64())
            return fail<SettingsWrongType>(pathOf(key), expected);
        if (!value->is_int64() || value->get_int64() < least || value->get_int64() > most)
            return fail<SettingsOutOfRange>(pathOf(key), expected);
        number = value->get_int64();
        return {};
    }

    result<void> readText(std::string_view key, std::string &text) const
    {
        const auto *value = m_object.if_contains(key);
        if (!value)
            return {};
        if (!value->is_string())
            return fail<SettingsWrongType>(pathOf(key), "a string");
        text = std::string(value->get_string());
        return {};
    }

    result<void> readLogLevel(std::string_view key, LogLevel &level) const
    {
        static const std::map<std::string, LogLevel> kLevels = { { "debug", LogLevel::Debug },
                                                                 { "info", LogLevel::Info },
                                                                 { "warning", LogLevel::Warning },
                                                                 { "error", LogLevel::Error } };
        std::string text = "info";
        BOOST_LEAF_CHECK(readText(key, text));
        const auto found = kLevels.find(text);
        if (found == kLevels.end())
            return fail<SettingsOutOfRange>(pathOf(key), "debug, info, warning or error");
        level = found->second;
        return {};
    }

    template <typename Kind>
    boost::leaf::error_id fail(const std::string &path, const std::string &expected) const
    {
        return boost::leaf::new_error(SettingsProblem { m_file, path, expected }, Kind {});
    }

private:
    static constexpr const char *kEndpointForm = "an address such as \"127.0.1.1:7400\"";
    static constexpr const char *kEndpointsForm =
            "a list of addresses such as [\"127.0.1.1:7400\"]";

    static std::string keys()
    {
        std::string list;
        for (const std::string_view key : kKnownKeys) {
            list += list.empty() ? "" : ", ";
            list += key;
        }
        return list;
    }

    static std::string pathOf(std::string_view key) { return "$." + std::string(key); }

    static bool isName(const std::string &text)
    {
        const bool hasOnlyNameCharacters =
                std::all_of(text.begin(), text.end(), [](unsigned char letter) {
                    return std::isalnum(letter) || letter == '-' || letter == '_' || letter == '.';
                });
        return !text.empty() && text.size() <= kMaxNameLength && hasOnlyNameCharacters;
    }

    result<Endpoint> toEndpoint(const boost::json::value &value, const std::string &path)
    {
        if (!value.is_string())
            return fail<SettingsWrongType>(path, kEndpointForm);
        const auto endpoint = parseEndpoint(std::string_view(value.get_string()));
        if (!endpoint)
            return fail<SettingsWrongType>(path, kEndpointForm);
        const auto [first, isNew] = m_paths.emplace(toText(*endpoint), path);
        if (!isNew) {
            return fail<SettingsDuplicateAddress>(path,
                                                  "another address than that of " + first->second);
        }
        return *endpoint;
    }

    const boost::json::object &m_object;
    const std::string m_file;
    std::map<std::string, std::string> m_paths; ///< where each address was given first
};

} // namespace

/** Line and column of an offset, counted from 1. */
static std::string describePosition(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto lineBegin = before.rfind('\n');
    const auto column =
            lineBegin == std::string_view::npos ? before.size() + 1 : before.size() - lineBegin;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

result<boost::json::value> parseSettingsJson(std::string_view text, const std::string &file)
{
    boost::json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::json::stream_parser parser({}, options);
    boost::json::error_code error;
    const std::size_t consumed = parser.write_some(text.data(), text.size(), error);
    if (!error && consumed < text.size())
        error = boost::json::error::extra_data;
    if (!error)
        parser.finish(error);
    if (error) {
        return boost::leaf::new_error(SettingsProblem { file, describePosition(text, consumed),
                                                        "a JSON object (" + error.message() + ")" },
                                      SettingsSyntaxError {});
    }
    return parser.release();
}

result<Settings> parseSettings(std::string_view text, const std::string &file)
{
    BOOST_LEAF_AUTO(json, parseSettingsJson(text, file));
    if (!json.is_object()) {
        return boost::leaf::new_error(SettingsProblem { file, "$", "a JSON object" },
                                      SettingsWrongType {});
    }
    SettingsReader reader(json.get_object(), file);
    Settings settings;
    std::int64_t httpThreads = settings.httpThreads;
    auto maxBodyBytes = static_cast<std::int64_t>(settings.maxBodyBytes);
    std::int64_t stopTimeoutMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(settings.stopTimeout).count();
    BOOST_LEAF_CHECK(reader.checkKeys());
    BOOST_LEAF_CHECK(reader.readName("host", settings.host));
    BOOST_LEAF_CHECK(reader.readName("failureDomain", settings.failureDomain));
    BOOST_LEAF_CHECK(reader.readEndpoint("callerEndpoint", settings.callerEndpoint));
    BOOST_LEAF_CHECK(reader.readEndpoint("peerEndpoint", settings.peerEndpoint));
    BOOST_LEAF_CHECK(reader.readEndpoints("platform", true, settings.platform));
    BOOST_LEAF_CHECK(reader.readEndpoints("seeds", false, settings.seeds));
    BOOST_LEAF_CHECK(reader.readInteger("httpThreads", 1, kMaxHttpThreads, "threads", httpThreads));
    BOOST_LEAF_CHECK(
            reader.readInteger("maxBodyBytes", 1, kMaxBodyBytesLimit, "bytes", maxBodyBytes));
    BOOST_LEAF_CHECK(reader.readInteger("stopTimeoutMs", kMinStopTimeout.count(),
                                        kMaxStopTimeout.count(), "milliseconds", stopTimeoutMs));
    BOOST_LEAF_CHECK(reader.readLogLevel("logLevel", settings.logLevel));
    BOOST_LEAF_CHECK(reader.readText("traceFile", settings.traceFile));
    std::int64_t memoryMb = 0;
    std::int64_t maxDescriptors = 0;
    BOOST_LEAF_CHECK(
            reader.readInteger("memoryMb", kMinMemoryMb, kMaxMemoryMb, "megabytes", memoryMb));
    BOOST_LEAF_CHECK(reader.readInteger("maxDescriptors", kMinDescriptors, kMaxDescriptors,
                                        "descriptors", maxDescriptors));
    if (memoryMb > 0)
        settings.memoryBytes = static_cast<std::uint64_t>(memoryMb * kBytesPerMb);
    if (maxDescriptors > 0)
        settings.maxDescriptors = static_cast<std::size_t>(maxDescriptors);
    settings.httpThreads = static_cast<int>(httpThreads);
    settings.maxBodyBytes = static_cast<std::size_t>(maxBodyBytes);
    settings.stopTimeout = std::chrono::milliseconds(stopTimeoutMs);
    return settings;
}

result<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (stream && stream.peek() != std::ifstream::traits_type::eof())
        text << stream.rdbuf();
    if (!stream.is_open() || text.bad() || text.str().empty()) {
        return boost::leaf::new_error(SettingsProblem { file, "$", "a readable file" },
                                      SettingsUnreadable {});
    }
    return text.str();
}

result<Settings> readSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseSettings(text, file);
}

} // namespace greengagestair
