#include "app/CommandLine.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <vector>

using namespace greengagestair;

/** Nothing if the command line is refused. */
static std::optional<Command> parse(std::vector<std::string> words)
{
    words.insert(words.begin(), "greengagestair");
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<Command>> {
                BOOST_LEAF_AUTO(command,
                                parseCommandLine(static_cast<int>(words.size()), arguments.data()));
                return std::optional<Command>(command);
            },
            [](const UsageError &) { return std::optional<Command>(); },
            [] { return std::optional<Command>(); });
}

TEST_CASE("subcommands take their options in any place", "[command-line]")
{
    REQUIRE(std::get<ServeCommand>(*parse({ "serve", "--settings", "f" })).settingsFile == "f");
    REQUIRE(std::get<GatewayCommand>(*parse({ "gateway", "--settings", "f" })).settingsFile == "f");
    REQUIRE(std::holds_alternative<CheckGatewaySettingsCommand>(
            *parse({ "check-gateway-settings", "--settings", "f" })));
    const auto apply = parse({ "config", "--platform=127.0.0.1:7500", "apply", "f" });
    REQUIRE(std::get<ConfigApplyCommand>(*apply).declarationFile == "f");
    REQUIRE(std::get<ConfigApplyCommand>(*apply).platform == Endpoint { "127.0.0.1", 7500 });
    const auto explain = parse(
            { "explain", "--gateway", "127.0.0.1:1", "--host", "h", "--path", "/a", "--json" });
    REQUIRE(std::get<ExplainCommand>(*explain).host == "h");
    REQUIRE(std::get<ExplainCommand>(*explain).path == "/a");
    REQUIRE(std::get<ExplainCommand>(*explain).isJson);
    REQUIRE_FALSE(parse({ "explain", "--gateway", "127.0.0.1:1", "--host", "h" }));
    const auto replay = parse({ "replay", "t", "--expect", "e" });
    REQUIRE(std::get<ReplayCommand>(*replay).expectedFile == "e");
    REQUIRE(std::holds_alternative<HelpCommand>(*parse({ "serve", "--help" })));
    REQUIRE(std::holds_alternative<VersionCommand>(*parse({ "--version" })));
}

TEST_CASE("a command line that is not understood runs nothing", "[command-line]")
{
    const std::vector<std::vector<std::string>> refused = {
        {},
        { "start" },
        { "serve" },
        { "serve", "--settings" },
        { "serve", "--settings", "f", "extra" },
        { "serve", "--settings", "f", "--settings", "g" },
        { "serve", "--settings", "f", "--expect", "g" },
        { "serve", "--colour", "f" },
        { "gateway" },
        { "check-gateway-settings", "--settings" },
        { "config" },
        { "config", "apply", "--platform", "127.0.0.1:7500" },
        { "config", "apply", "f", "--platform", "platform:7500" },
        { "dump" }
    };
    for (const auto &words : refused)
        REQUIRE_FALSE(parse(words));
}
