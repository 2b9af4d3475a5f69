#include "app/CommandLine.h"

#include "app/Settings.h"

#include <boost/leaf/error.hpp>

#include <getopt.h>

#include <array>
#include <map>
#include <vector>

namespace greengagestair {

using boost::leaf::result;

namespace {

/** Options and positional arguments as given. */
struct RawArguments
{
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    bool wantsHelp = false;
    bool wantsVersion = false;
};

} // namespace

static boost::leaf::error_id usageError(const std::string &problem)
{
    return boost::leaf::new_error(UsageError { problem });
}

static result<RawArguments> readArguments(int count, char *const *arguments)
{
    static const std::array<option, 11> kOptions = {
        { { "settings", required_argument, nullptr, 's' },
          { "platform", required_argument, nullptr, 'p' },
          { "host", required_argument, nullptr, 'o' },
          { "gateway", required_argument, nullptr, 'g' },
          { "path", required_argument, nullptr, 'a' },
          { "tenant", required_argument, nullptr, 't' },
          { "json", no_argument, nullptr, 'j' },
          { "expect", required_argument, nullptr, 'e' },
          { "help", no_argument, nullptr, 'h' },
          { "version", no_argument, nullptr, 'v' },
          { nullptr, 0, nullptr, 0 } }
    };
    RawArguments raw;
    opterr = 0;
    optind = 0; // Starts anew, since tests parse several command lines.
    int index = 0;
    for (;;) {
        // The command line is parsed before other threads start.
        const int found // NOLINTNEXTLINE(concurrency-mt-unsafe)
                = getopt_long(count, arguments, ":", kOptions.data(), &index);
        if (found == -1)
            break;
        if (found == ':')
            return usageError(std::string(arguments[optind - 1]) + " needs a value");
        if (found == '?')
            return usageError("unknown option " + std::string(arguments[optind - 1]));
        if (found == 'h')
            raw.wantsHelp = true;
        else if (found == 'v')
            raw.wantsVersion = true;
        else if (!raw.options.emplace(kOptions.at(index).name, optarg ? optarg : "").second)
            return usageError("--" + std::string(kOptions.at(index).name) + " is given twice");
    }
    for (int position = optind; position < count; ++position)
        raw.words.emplace_back(arguments[position]);
    return raw;
}

namespace {

/** Takes options and words out of the raw arguments; what is left over is an error. */
class ArgumentTaker
{
public:
    explicit ArgumentTaker(RawArguments raw)
        : m_raw(std::move(raw))
    {
    }

    std::string takeWord()
    {
        if (m_raw.words.empty())
            return {};
        std::string word = m_raw.words.front();
        m_raw.words.erase(m_raw.words.begin());
        return word;
    }

    result<std::string> takeFile()
    {
        std::string file = takeWord();
        if (file.empty())
            return usageError("a file is missing");
        return file;
    }

    std::string takeOptional(const std::string &option)
    {
        const auto node = m_raw.options.extract(option);
        return node.empty() ? std::string() : node.mapped();
    }

    /** True if an option without a value is given. */
    bool takeFlag(const std::string &option) { return m_raw.options.erase(option) > 0; }

    result<std::string> take(const std::string &option)
    {
        std::string value = takeOptional(option);
        if (value.empty())
            return usageError("--" + option + " is missing");
        return value;
    }

    result<Endpoint> takeEndpoint(const std::string &option)
    {
        BOOST_LEAF_AUTO(text, take(option));
        const auto endpoint = parseEndpoint(text);
        if (!endpoint)
            return usageError("--" + option + " needs an address such as 127.0.0.1:7500");
        return *endpoint;
    }

    result<void> finish() const
    {
        if (!m_raw.words.empty())
            return usageError("unexpected argument " + m_raw.words.front());
        if (!m_raw.options.empty())
            return usageError("--" + m_raw.options.begin()->first + " does not belong here");
        return {};
    }

private:
    RawArguments m_raw;
};

} // namespace

static result<Command> takeConfigCommand(ArgumentTaker &taker)
{
    const std::string action = taker.takeWord();
    if (action == "show") {
        BOOST_LEAF_AUTO(platform, taker.takeEndpoint("platform"));
        return Command(ConfigShowCommand { platform });
    }
    if (action == "diff") {
        BOOST_LEAF_AUTO(file, taker.takeFile());
        BOOST_LEAF_AUTO(platform, taker.takeEndpoint("platform"));
        return Command(ConfigDiffCommand { file, platform });
    }
    if (action == "apply") {
        BOOST_LEAF_AUTO(file, taker.takeFile());
        BOOST_LEAF_AUTO(platform, taker.takeEndpoint("platform"));
        return Command(ConfigApplyCommand { file, platform });
    }
    return usageError("config needs show, diff or apply");
}

static result<Command> takeExplainCommand(ArgumentTaker &taker)
{
    BOOST_LEAF_AUTO(gateway, taker.takeEndpoint("gateway"));
    BOOST_LEAF_AUTO(host, taker.take("host"));
    BOOST_LEAF_AUTO(path, taker.take("path"));
    const std::string tenant = taker.takeOptional("tenant");
    return Command(ExplainCommand { gateway, host, path, tenant, taker.takeFlag("json") });
}

static result<Command> takeCommand(ArgumentTaker &taker)
{
    const std::string name = taker.takeWord();
    if (name == "serve") {
        BOOST_LEAF_AUTO(file, taker.take("settings"));
        return Command(ServeCommand { file });
    }
    if (name == "gateway") {
        BOOST_LEAF_AUTO(file, taker.take("settings"));
        return Command(GatewayCommand { file });
    }
    if (name == "check-gateway-settings") {
        BOOST_LEAF_AUTO(file, taker.take("settings"));
        return Command(CheckGatewaySettingsCommand { file });
    }
    if (name == "check-settings") {
        BOOST_LEAF_AUTO(file, taker.take("settings"));
        return Command(CheckSettingsCommand { file });
    }
    if (name == "config")
        return takeConfigCommand(taker);
    if (name == "dump") {
        BOOST_LEAF_AUTO(host, taker.takeEndpoint("host"));
        return Command(DumpCommand { host });
    }
    if (name == "explain")
        return takeExplainCommand(taker);
    if (name == "replay") {
        BOOST_LEAF_AUTO(file, taker.takeFile());
        return Command(ReplayCommand { file, taker.takeOptional("expect") });
    }
    return usageError(name.empty() ? "a subcommand is missing" : "unknown subcommand " + name);
}

result<Command> parseCommandLine(int count, char *const *arguments)
{
    BOOST_LEAF_AUTO(raw, readArguments(count, arguments));
    if (raw.wantsHelp)
        return Command(HelpCommand {});
    if (raw.wantsVersion)
        return Command(VersionCommand {});
    ArgumentTaker taker(std::move(raw));
    BOOST_LEAF_AUTO(command, takeCommand(taker));
    BOOST_LEAF_CHECK(taker.finish());
    return command;
}

std::string usage()
{
    return R"(Usage: greengagestair SUBCOMMAND [OPTION]...

  serve --settings FILE                     run an entry host
  gateway --settings FILE                   run a gateway on the users' platform
  check-settings --settings FILE            check the settings file of an entry host
  check-gateway-settings --settings FILE    check the settings file of a gateway
  config show --platform HOST:PORT          print the configuration in the platform
  config diff FILE --platform HOST:PORT     compare a declaration with the platform's
  config apply FILE --platform HOST:PORT    check a declaration and put it in force
  dump --host HOST:PORT                     print the state of an entry host (caller endpoint)
  explain --gateway HOST:PORT --host NAME --path PATH [--tenant NAME] [--json]
                                            say where a gateway would send a request (admin address)
  replay FILE [--expect FILE]               run a trace again and compare the effects

  --help, --version

Exit codes: 0 success, 1 operation failed, 2 bad command line, 3 bad settings or declaration,
4 lost race (config apply), 5 platform unreachable or outcome unknown.
)";
}

} // namespace greengagestair
