#include "app/Settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <random>

using namespace greengagestair;

static const std::string kGood = R"({
    // An entry host.
    "host": "shubra-1", "failureDomain": "shubra", "callerEndpoint": "127.0.1.1:8080",
    "peerEndpoint": "127.0.1.1:7400", "platform": ["127.0.0.1:7500"],
    "seeds": ["127.0.2.1:7400", "[::1]:7400"], "stopTimeoutMs": 2500, "logLevel": "warning",
})";

static std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = kGood;
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

/** The JSON path of the problem if it is of the given kind. */
template <typename Kind>
static std::string problemPath(const std::string &text)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(parseSettings(text, "host.json"));
                return std::string("accepted");
            },
            [](const SettingsProblem &problem, const Kind &) {
                REQUIRE(problem.file == "host.json");
                REQUIRE_FALSE(problem.expected.empty());
                return problem.path;
            },
            [](const SettingsProblem &problem) { return "other kind at " + problem.path; },
            [] { return std::string("no details"); });
}

TEST_CASE("settings are read with comments, units and defaults", "[settings]")
{
    const auto settings = parseSettings(kGood, "host.json");
    REQUIRE(settings);
    REQUIRE(settings->host.value == "shubra-1");
    REQUIRE(settings->seeds[1] == Endpoint { "::1", 7400 });
    REQUIRE(settings->stopTimeout == std::chrono::milliseconds(2500));
    REQUIRE(settings->logLevel == LogLevel::Warning);
    REQUIRE(settings->httpThreads == 2);
    REQUIRE(settings->maxBodyBytes == 65536);
    REQUIRE_FALSE(settings->memoryBytes);
    REQUIRE_FALSE(settings->maxDescriptors);
}

TEST_CASE("the memory and the descriptors of a process can be stated", "[settings]")
{
    const std::string text =
            replaced("\"stopTimeoutMs\": 2500", "\"memoryMb\": 160, \"maxDescriptors\": 4100");
    const auto settings = parseSettings(text, "host.json");
    REQUIRE(settings);
    REQUIRE(settings->memoryBytes == 167'772'160);
    REQUIRE(settings->maxDescriptors == 4100);
    const std::string few = replaced("\"stopTimeoutMs\": 2500", "\"maxDescriptors\": 63");
    REQUIRE(problemPath<SettingsOutOfRange>(few) == "$.maxDescriptors");
    const std::string little = replaced("\"stopTimeoutMs\": 2500", "\"memoryMb\": 15");
    REQUIRE(problemPath<SettingsOutOfRange>(little) == "$.memoryMb");
}

TEST_CASE("each mistake in the settings is refused with its place", "[settings]")
{
    using Unknown = SettingsUnknownKey;
    using Missing = SettingsMissingKey;
    using Type = SettingsWrongType;
    using Range = SettingsOutOfRange;
    using Duplicate = SettingsDuplicateAddress;
    REQUIRE(problemPath<Unknown>(replaced("stopTimeoutMs", "stopTimeoutSec"))
            == "$.stopTimeoutSec");
    REQUIRE(problemPath<Missing>(replaced("\"host\": \"shubra-1\",", "")) == "$.host");
    REQUIRE(problemPath<Type>(replaced("2500", "\"2.5s\"")) == "$.stopTimeoutMs");
    REQUIRE(problemPath<Type>(replaced("2500", "2500.0")) == "$.stopTimeoutMs");
    REQUIRE(problemPath<Range>(replaced("2500", "99")) == "$.stopTimeoutMs");
    REQUIRE(problemPath<Range>(replaced("2500", "18446744073709551615")) == "$.stopTimeoutMs");
    REQUIRE(problemPath<Range>(replaced("warning", "loud")) == "$.logLevel");
    REQUIRE(problemPath<Range>(replaced("\"shubra-1\"", "\"shubra 1\"")) == "$.host");
    REQUIRE(problemPath<Range>(replaced("[\"127.0.0.1:7500\"]", "[]")) == "$.platform");
    REQUIRE(problemPath<Type>(replaced("127.0.0.1:7500", "localhost:7500")) == "$.platform[0]");
    REQUIRE(problemPath<Type>(replaced("127.0.0.1:7500", "127.0.0.1:0")) == "$.platform[0]");
    REQUIRE(problemPath<Type>(replaced("127.0.0.1:7500", "127.0.0.1:65536")) == "$.platform[0]");
    REQUIRE(problemPath<Type>(replaced("127.0.0.1:7500", "::1:7500")) == "$.platform[0]");
    REQUIRE(problemPath<Duplicate>(replaced("127.0.2.1:7400", "127.0.1.1:7400")) == "$.seeds[0]");
    REQUIRE(problemPath<Type>("[]") == "$");
    REQUIRE(problemPath<SettingsSyntaxError>("{\n  \"host\": }") == "line 2, column 11");
    REQUIRE(problemPath<SettingsSyntaxError>(kGood + "x").starts_with("line 6"));
    REQUIRE(problemPath<SettingsSyntaxError>("{").starts_with("line 1"));
}

TEST_CASE("a missing settings file is an error of its own", "[settings]")
{
    const bool isUnreadable = boost::leaf::try_handle_all(
            []() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(readSettings("no-such-file.json"));
                return false;
            },
            [](SettingsUnreadable) { return true; }, [] { return false; });
    REQUIRE(isUnreadable);
}

// Guards against a parser that crashes, or accepts a file without the required settings.
TEST_CASE("mutated settings are read or refused", "[settings][fuzz]")
{
    static constexpr int kInputs = 5000;
    std::mt19937_64 random(1);
    int accepted = 0;
    for (int input = 0; input < kInputs; ++input) {
        std::string text = kGood;
        const auto mutations = 1 + random() % 4;
        for (std::uint64_t mutation = 0; mutation < mutations && !text.empty(); ++mutation) {
            const auto position = static_cast<std::size_t>(random() % text.size());
            if (random() % 3 == 0)
                text.erase(position, 1 + random() % 20);
            else
                text[position] = static_cast<char>(random() % 256);
        }
        const auto settings = boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<std::optional<Settings>> {
                    BOOST_LEAF_AUTO(parsed, parseSettings(text, "host.json"));
                    return std::optional(parsed);
                },
                [](const SettingsProblem &problem) {
                    REQUIRE_FALSE(problem.expected.empty());
                    return std::optional<Settings>();
                },
                [] { return std::optional<Settings>(); });
        if (!settings)
            continue;
        ++accepted;
        REQUIRE_FALSE(settings->host.empty());
        REQUIRE_FALSE(settings->platform.empty());
    }
    REQUIRE(accepted > 0);
    REQUIRE(accepted < kInputs);
}
