#include "app/Commands.h"
#include "app/HttpConfigurationStore.h"
#include "net/EndpointText.h"
#include "net/ScriptedHttpServer.h"
#include "tests/BrokenResponses.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <sstream>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** What a subcommand printed, and its exit code. */
struct CommandResult
{
    ExitCode code = ExitCode::Success;
    std::string output;
    std::string errors;
};

/** Keeps what is printed as long as it exists. */
class PrintedText
{
public:
    PrintedText()
        : m_output(std::cout.rdbuf(output.rdbuf()))
        , m_errors(std::cerr.rdbuf(errors.rdbuf()))
    {
    }
    ~PrintedText()
    {
        std::cout.rdbuf(m_output);
        std::cerr.rdbuf(m_errors);
    }
    PrintedText(const PrintedText &) = delete;
    PrintedText &operator=(const PrintedText &) = delete;

    std::ostringstream output;
    std::ostringstream errors;

private:
    std::streambuf *m_output;
    std::streambuf *m_errors;
};

} // namespace

static CommandResult run(std::vector<std::string> words)
{
    words.insert(words.begin(), "greengagestair");
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const PrintedText printed;
    const ExitCode code = runCommandLine(static_cast<int>(words.size()), arguments.data());
    return { code, printed.output.str(), printed.errors.str() };
}

static WriteResult write(const Endpoint &platform)
{
    const PrintedText printed;
    return HttpConfigurationStore(platform, 1s).write({ 4 }, "{}");
}

TEST_CASE("a subcommand prints the answer that it gets", "[app]")
{
    std::string received;
    ScriptedHttpServer server([&](const ScriptedRequest &request) {
        received = request.head + request.body;
        return ScriptedReply { httpResponse("200 OK", "x-revision: 9\r\n", "{\"a\": 1}") };
    });
    const std::string address = toText(server.endpoint());
    const CommandResult dump = run({ "dump", "--host", address });
    CHECK(dump.code == ExitCode::Success);
    CHECK(dump.output == "{\"a\": 1}\n");
    CHECK(received.starts_with("GET /state HTTP/1.1\r\n"));
    const CommandResult show = run({ "config", "show", "--platform", address });
    CHECK(show.output == "{\"a\": 1}\n");
    CHECK(show.errors == "revision 9\n");
    CHECK(std::get<Revision>(write(server.endpoint())) == Revision { 9 });
    CHECK(received.starts_with("PUT /kv/configuration HTTP/1.1\r\n"));
    CHECK(received.find("If-Revision: 4\r\n") != std::string::npos);
    CHECK(received.ends_with("\r\n\r\n{}"));
}

// Guards against a broken response that an operator gets as the state of a host, as an explanation
// or as the configuration in the platform, and against a write that is called accepted or refused.
TEST_CASE("a broken response is no answer to a subcommand", "[app][broken]")
{
    for (const BrokenResponse &broken : brokenResponses()) {
        INFO(broken.name);
        ScriptedHttpServer server([&](const ScriptedRequest &) {
            return ScriptedReply { broken.bytes, true };
        });
        const std::string address = toText(server.endpoint());
        const CommandResult dump = run({ "dump", "--host", address });
        CHECK(dump.code == ExitCode::Failed);
        CHECK(dump.output.empty());
        CHECK(dump.errors.find("malformed response") != std::string::npos);
        const CommandResult show = run({ "config", "show", "--platform", address });
        CHECK(show.code == ExitCode::PlatformUnreachable);
        CHECK(show.output.empty());
        CHECK(show.errors.find("malformed response") != std::string::npos);
        CHECK(std::holds_alternative<WriteUnknown>(write(server.endpoint())));
        // Nothing is repeated.
        CHECK(server.requests() == 3);
    }
}

// Guards against an explanation that is read from a broken response.
TEST_CASE("a broken response is no explanation", "[app][broken]")
{
    const std::string head = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\nA b: c\r\n",
                                      "HTTP/1.1 200 OK\r\nA\x01: c\r\n", "HTTP/2.0 200 OK\r\n");
    ScriptedHttpServer server([&](const ScriptedRequest &) {
        return ScriptedReply { head + "Content-Length: 2\r\n\r\n{}", true };
    });
    const CommandResult result = run({ "explain", "--gateway", toText(server.endpoint()), "--host",
                                       "h", "--path", "/a", "--json" });
    CHECK(result.code == ExitCode::Failed);
    CHECK(result.output.empty());
}

// Guards against an answer that looks complete although its server stopped in the middle of the
// head.
TEST_CASE("a response that ends within its head is no answer to a subcommand", "[app][broken]")
{
    ScriptedHttpServer server([](const ScriptedRequest &) {
        return ScriptedReply { "HTTP/1.1 200 OK\r\nX-Revision: 9\r\n", true };
    });
    CHECK(run({ "dump", "--host", toText(server.endpoint()) }).code == ExitCode::Failed);
    CHECK(run({ "config", "show", "--platform", toText(server.endpoint()) }).code
          == ExitCode::PlatformUnreachable);
    CHECK(std::holds_alternative<WriteUnknown>(write(server.endpoint())));
}

// Guards against a server that sends bytes without end, which the process would keep until the
// request's timeout.
TEST_CASE("a subcommand takes a bounded number of bytes", "[app][endless]")
{
    const auto [bytes, repeated] = GENERATE(table<std::string, std::string>({
            { "HTTP/1.1 200 OK\r\n\r\n", "b" },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n" },
    }));
    ScriptedHttpServer server([&, &bytes = bytes, &repeated = repeated](const ScriptedRequest &) {
        return ScriptedReply { bytes, false, false, repeated };
    });
    const CommandResult result = run({ "dump", "--host", toText(server.endpoint()) });
    CHECK(result.code == ExitCode::Failed);
    CHECK(result.output.empty());
    // The bound of a body and what the buffers of two sockets may hold.
    CHECK(server.repeatedBytes() < 16'777'216 + 16'000'000);
}
