#include "PoolFixture.h"

#include "tests/BrokenResponses.h"

#include <random>

using namespace greengagestair;

// Guards against a broken response that a caller gets as an answer, such as one with status 000,
// and against another request that is sent on its connection.
TEST_CASE("a response with a broken head is no answer", "[http][broken]")
{
    for (const BrokenResponse &broken : responsesWithBrokenHead()) {
        INFO(broken.name);
        PoolFixture fixture;
        fixture.start(1);
        fixture.respond(1, broken.bytes);
        REQUIRE(fixture.failure(1) == AttemptFailure::Corrupt);
        REQUIRE(fixture.observer.responses().size() == 1);
        const MalformedResponse seen = fixture.observer.responses().front();
        CHECK(seen.sender == "s");
        CHECK(seen.requestId == "id-1");
        CHECK(toText(seen.defect) == broken.reason);
        fixture.start(2);
        fixture.respond(2, response(2, "b"), 1);
        CHECK(fixture.answer(2).body == "b");
    }
}

// Guards against a body that a server and this host delimit in different ways.
TEST_CASE("a response with broken chunks is no answer", "[http][broken]")
{
    for (const BrokenResponse &broken : responsesWithBrokenBody()) {
        INFO(broken.name);
        PoolFixture fixture;
        fixture.start(1);
        fixture.respond(1, broken.bytes);
        CHECK(fixture.failure(1) == AttemptFailure::Corrupt);
        CHECK(fixture.observer.responses().size() == 1);
        CHECK(fixture.pool.idleConnections() == 0);
    }
}

// Guards against a check that refuses correct responses, and against one whose result depends on
// how the bytes are split.
TEST_CASE("unusual but correct responses are answers", "[http][broken]")
{
    const std::string text =
            GENERATE(as<std::string> {}, "HTTP/1.1 599 \r\nContent-Length: 4\r\n\r\nabcd",
                     "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
                     "HTTP/1.1 200 \xc3\xa9\t!\r\nA:\r\nB!#$%&'*+-.^_`|~9: \t\xe9\tc \t\r\n"
                     "Content-Length: 4\r\n\r\nabcd",
                     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
                     "4;a=b\r\nabcd\r\n0\r\nC: d\r\n\r\n",
                     "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nabcd");
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, "");
    SECTION("at once")
    {
        fixture.peer().write(text);
    }
    SECTION("byte by byte")
    {
        for (const char byte : text) {
            fixture.peer().write(std::string(1, byte));
            fixture.context.restart();
            fixture.context.poll();
        }
    }
    CHECK(fixture.answer(1).body == "abcd");
    CHECK(fixture.observer.responses().empty());
}

// Guards against a trailer that is taken for the head: it could sign an answer, state that the
// request was not run, or let the answer look like that to another request.
TEST_CASE("the fields of a trailer are not those of the answer", "[http][broken]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1,
                    "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "4\r\nabcd\r\n0\r\nSignature: sig\r\nNot-Executed: 1\r\nLeaving: 1\r\n"
                    "Request-Limit: 5\r\nOther: a\r\n\r\n");
    const BackendAnswer &answer = fixture.answer(1);
    CHECK(answer.body == "abcd");
    CHECK(answer.signature.empty());
    CHECK_FALSE(answer.notExecuted);
    CHECK_FALSE(answer.statement.isLeaving);
    CHECK_FALSE(answer.statement.requestLimit);
    CHECK(answer.headers.size() == 1);
    fixture.start(2);
    fixture.respond(2,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "4\r\nabcd\r\n0\r\nRequest-Id: id-1\r\n\r\n");
    CHECK(fixture.answer(2).body == "abcd");
}

/** The head as a sender of correct responses writes it. */
static std::string serialize(const ResponseHead &head)
{
    std::string text = "HTTP/1." + std::to_string(head.minorVersion) + " "
            + std::to_string(head.status) + " " + head.reason + "\r\n";
    for (const HeaderField &field : head.fields)
        text += field.name + ": " + field.value + "\r\n";
    return text + "\r\n";
}

// Guards against a head that is accepted although parts of it are not what they are taken for.
TEST_CASE("mutated heads are refused or read as they are", "[http][broken][fuzz]")
{
    const std::string correct = "HTTP/1.1 200 OK\r\nSignature: sig\r\nA: b c\r\n"
                                "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n";
    const std::string bytes("\r\n\t :,\0\x01\x7f\xe9"
                            "0159A/",
                            16);
    std::mt19937 random(41);
    const auto below = [&](std::size_t end) { return random() % end; };
    std::size_t accepted = 0;
    for (int round = 0; round < 50'000; ++round) {
        std::string text = correct;
        for (std::size_t changes = 1 + below(3); changes > 0; --changes) {
            const std::size_t at = below(text.size());
            const char byte = bytes[below(bytes.size())];
            switch (below(3)) {
            case 0:
                text[at] = byte;
                break;
            case 1:
                text.insert(at, 1, byte);
                break;
            default:
                text.erase(at, 1);
            }
        }
        const auto parsed = parseResponseHead(text);
        const auto *head = std::get_if<ResponseHead>(&parsed);
        if (!head)
            continue;
        ++accepted;
        REQUIRE(head->status >= 100);
        REQUIRE(head->status <= 599);
        // Blanks around a value, and the one before an absent reason, are all that may differ.
        const auto again = parseResponseHead(serialize(*head));
        REQUIRE(std::holds_alternative<ResponseHead>(again));
        REQUIRE(serialize(std::get<ResponseHead>(again)) == serialize(*head));
        std::string difference = text;
        std::erase_if(difference, [](char c) { return c == ' ' || c == '\t'; });
        std::string same = serialize(*head);
        std::erase_if(same, [](char c) { return c == ' ' || c == '\t'; });
        REQUIRE(difference == same);
    }
    CHECK(accepted > 1000);
}
