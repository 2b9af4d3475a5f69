#include "net/CallerRequestParser.h"
#include "net/CallerAnswerJson.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace greengagestair;

using Headers = std::map<std::string, std::string>;

static ParsedRequest parse(const std::string &method, const std::string &path,
                           const Headers &headers = {})
{
    return parseCallerRequest({ method, path, "body", [&](const std::string &name) {
                                   const auto found = headers.find(name);
                                   return found == headers.end() ? std::nullopt
                                                                 : std::optional(found->second);
                               } });
}

static int refusalStatus(const ParsedRequest &parsed)
{
    const auto *refusal = std::get_if<HttpRefusal>(&parsed);
    return refusal ? refusal->status : 0;
}

TEST_CASE("a query is read with all its headers", "[requests]")
{
    const auto parsed = parse("POST", "/v1/services/order-ledger/place",
                              { { "X-Deadline-Ms", "250" },
                                { "Idempotency-Key", "1796342400-abc" },
                                { "X-Routing-Key", "k" } });
    const auto &request = std::get<CallerRequest>(parsed);
    REQUIRE(request.service.value == "order-ledger");
    REQUIRE(request.operation.value == "place");
    REQUIRE(request.deadline == std::chrono::milliseconds(250));
    REQUIRE(request.idempotencyKey->value == "1796342400-abc");
    REQUIRE(request.routingKey == "k");
    REQUIRE(request.body == "body");
}

TEST_CASE("malformed headers and paths never reach the reducer", "[requests]")
{
    const std::string path = "/v1/services/a/b";
    for (const char *deadline : { "", "0", "-1", "1.5", "10s", " 10", "86400001", "9e9" })
        REQUIRE(refusalStatus(parse("POST", path, { { "X-Deadline-Ms", deadline } })) == 400);
    for (const char *key : { "", "abc", "-a", "17-", "x17-a", "17-a b", "17-a/b" })
        REQUIRE(refusalStatus(parse("POST", path, { { "Idempotency-Key", key } })) == 400);
    const std::string longKey = "1796342400-" + std::string(65, 'a');
    REQUIRE(refusalStatus(parse("POST", path, { { "Idempotency-Key", longKey } })) == 400);
    REQUIRE(refusalStatus(parse("POST", "/v1/services/a b/c")) == 400);
    REQUIRE(refusalStatus(parse("POST", "/v1/services//c")) == 400);
    REQUIRE(refusalStatus(parse("GET", "/v1/requests/a/xyz")) == 400);
    REQUIRE(refusalStatus(parse("GET", path)) == 405);
    REQUIRE(refusalStatus(parse("POST", "/metrics")) == 405);
    REQUIRE(refusalStatus(parse("GET", "/v1/services")) == 404);
    REQUIRE(refusalStatus(parse("GET", "")) == 404);
}

TEST_CASE("outcome queries and pages are told apart", "[requests]")
{
    const auto parsed = parse("GET", "/v1/requests/order-ledger/1796342400-abc");
    REQUIRE(std::get<OutcomeQuery>(parsed).idempotencyKey.value == "1796342400-abc");
    REQUIRE(std::get<OperatorPage>(parse("GET", "/healthz")) == OperatorPage::Health);
    REQUIRE(std::get<OperatorPage>(parse("GET", "/state?pretty=1")) == OperatorPage::State);
}

TEST_CASE("a partial answer is labelled with the ranges that it lacks", "[answers]")
{
    CallerAnswer answer;
    answer.outcome = QueryOutcome::Partial;
    answer.reason = QueryReason::MissingParts;
    answer.snapshot = { 8 };
    answer.parts = { { "", "g", "quote \" and \n" } };
    answer.missing = { { "g", "", PartReason::TimedOut } };
    const CallerResponse response = renderAnswer(answer, "host-1-7");
    REQUIRE(response.status == 200);
    const auto json = boost::json::parse(response.body).as_object();
    REQUIRE(json.at("outcome") == "partial");
    REQUIRE(json.at("coverage").at("total") == 2);
    REQUIRE(json.at("coverage").at("covered") == 1);
    REQUIRE(json.at("coverage").at("missing").at(0).at("reason") == "timedOut");
    REQUIRE(json.at("parts").at(0).at("body") == "quote \" and \n");
    REQUIRE(json.at("requestId") == "host-1-7");
}

TEST_CASE("each reason has the status of the design", "[answers]")
{
    const std::map<QueryReason, int> expected = {
        { QueryReason::BadRequest, 400 },        { QueryReason::UnknownService, 404 },
        { QueryReason::ClaimedElsewhere, 409 },  { QueryReason::IdentifierExpired, 409 },
        { QueryReason::Quarantined, 422 },       { QueryReason::Overloaded, 429 },
        { QueryReason::ConnectionLost, 502 },    { QueryReason::Stopping, 503 },
        { QueryReason::DeadlinePassed, 504 },    { QueryReason::NotReady, 503 },
        { QueryReason::IdentifierInFuture, 400 }
    };
    for (const auto &[reason, status] : expected)
        REQUIRE(httpStatus(QueryOutcome::NotRun, reason) == status);
    REQUIRE(httpStatus(QueryOutcome::Partial, QueryReason::DeadlinePassed) == 200);
}
