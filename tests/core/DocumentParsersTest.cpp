#include "core/documents/DocumentParsers.h"
#include "core/CellSimulation.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace greengagestair;
using Kind = DocumentErrorKind;

template <typename Parse>
static std::optional<DocumentError> errorOf(Parse parse)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<DocumentError>> {
                BOOST_LEAF_CHECK(parse());
                return std::optional<DocumentError>();
            },
            [](const DocumentError &error) { return std::optional(error); },
            [] { return std::optional(DocumentError {}); });
}

static std::string replaced(std::string text, const std::string &old,
                            const std::string &replacement)
{
    const std::size_t at = text.find(old);
    REQUIRE(at != std::string::npos);
    return text.replace(at, old.size(), replacement);
}

static const char *kConfigurationText = R"({
  // comments and trailing commas are allowed
  "changeId": "2026-12-04-01", "recentChangeIds": ["2026-12-03-07"],
  "failureDomains": [{"name": "shubra", "inService": true}, {"name": "bulaq", "inService": false}],
  "services": [{"name": "counter-lookup", "route": "allGroups", "slots": 2, "coldLimit": 1,
    "connectionLimit": 25, "warmPartTimeMs": 6, "maxPartTimeMs": 500, "defaultDeadlineMs": 300,
    "maxDeadlineMs": 2000,
    "operations": [{"name": "lookup", "urgent": true, "repeatable": true}],
    "groups": [{"name": "g0", "servers": [
      {"name": "s0", "address": "127.1.0.1", "port": 7000, "failureDomain": "shubra",
       "inService": true},
      {"name": "s1", "address": "127.1.0.2", "port": 7000, "failureDomain": "bulaq",
       "inService": true},
    ]}]}]})";

TEST_CASE("a configuration is unchanged by formatting and parsing", "[documents]")
{
    const Configuration parsed = parseConfiguration(kConfigurationText).value();
    REQUIRE(parsed.services.at(0).warmPartTime == std::chrono::milliseconds(6));
    REQUIRE(parsed.services.at(0).groups.at(0).servers.size() == 2);
    REQUIRE_FALSE(parsed.findFailureDomain({ "bulaq" })->inService);
    const std::string text = formatConfiguration(parsed);
    REQUIRE(formatConfiguration(parseConfiguration(text).value()) == text);
}

TEST_CASE("a faulty configuration is rejected with the path and kind of its fault", "[documents]")
{
    struct Fault
    {
        std::string old;
        std::string replacement;
        Kind kind;
        std::string path;
    };
    const std::string server = "services[0].groups[0].servers[1]";
    const std::vector<Fault> faults {
        { "{", "", Kind::Syntax, "" },
        { R"("slots": 2,)", "", Kind::MissingKey, "services[0].slots" },
        { R"("slots": 2)", R"("slots": "2")", Kind::WrongType, "services[0].slots" },
        { R"("slots": 2)", R"("slots": 0)", Kind::OutOfRange, "services[0].slots" },
        { R"("slots": 2)", R"("slots": -1)", Kind::OutOfRange, "services[0].slots" },
        { R"("coldLimit": 1)", R"("coldLimit": 3)", Kind::Inconsistent, "services[0].coldLimit" },
        { R"("connectionLimit": 25)", R"("connectionLimit": 1)", Kind::Inconsistent,
          "services[0].connectionLimit" },
        { R"("maxPartTimeMs": 500)", R"("maxPartTimeMs": 5)", Kind::Inconsistent,
          "services[0].maxPartTimeMs" },
        { R"("maxDeadlineMs": 2000)", R"("maxDeadlineMs": 20)", Kind::Inconsistent,
          "services[0].maxDeadlineMs" },
        { "allGroups", "someGroups", Kind::BadText, "services[0].route" },
        { R"("urgent")", R"("urgnet")", Kind::UnknownKey, "services[0].operations[0].urgnet" },
        { R"([{"name": "lookup", "urgent": true, "repeatable": true}])", "[]", Kind::Empty,
          "services[0].operations" },
        { R"("name": "s1")", R"("name": "s0")", Kind::Duplicate, server + ".name" },
        { "127.1.0.2", "127.1.0.1", Kind::Duplicate, server + ".address" },
        { "127.1.0.2", "localhost", Kind::BadText, server + ".address" },
        { R"("failureDomain": "bulaq")", R"("failureDomain": "giza")", Kind::UnknownReference,
          server + ".failureDomain" },
        { R"("name": "bulaq")", R"("name": "shubra")", Kind::Duplicate, "failureDomains[1].name" },
        { R"("name": "counter-lookup")", R"("name": "a/b")", Kind::BadText, "services[0].name" },
    };
    for (const Fault &fault : faults) {
        INFO(fault.old << " -> " << fault.replacement);
        const std::string text = replaced(kConfigurationText, fault.old, fault.replacement);
        const auto error = errorOf([&] { return parseConfiguration(text); });
        REQUIRE(error);
        CHECK(error->kind == fault.kind);
        CHECK(error->path == fault.path);
        CHECK_FALSE(error->expected.empty());
    }
}

TEST_CASE("a group without servers is rejected", "[documents]")
{
    std::string text = kConfigurationText;
    const std::size_t begin = text.find("\"servers\": [") + 12;
    text.erase(begin, text.find("]}]}]}") - begin);
    const auto error = errorOf([&] { return parseConfiguration(text); });
    REQUIRE(error);
    REQUIRE(error->path == "services[0].groups[0].servers");
    REQUIRE(error->kind == Kind::Empty);
}

TEST_CASE("the ranges of a snapshot must cover the key space without gap or overlap", "[documents]")
{
    const std::string good = R"({"snapshots": [
        {"version": 8, "ranges": [{"from": "", "to": "g", "group": "g0"},
                                  {"from": "g", "to": "", "group": "g1"}]},
        {"version": 7, "ranges": [{"from": "", "to": "", "group": "g0"}]}]})";
    const auto parse = [](const std::string &text) {
        return errorOf([&] { return parseServiceSnapshots({ "s" }, text); });
    };
    REQUIRE_FALSE(parse(good));
    const ServiceSnapshots snapshots = parseServiceSnapshots({ "s" }, good).value();
    REQUIRE_FALSE(parse(formatServiceSnapshots(snapshots)));
    CHECK(parse(replaced(good, R"("from": "g")", R"("from": "h")"))->path
          == "snapshots[0].ranges[1].from");
    CHECK(parse(replaced(good, R"("from": "g")", R"("from": "f")"))->kind == Kind::Inconsistent);
    CHECK(parse(replaced(good, R"("from": "", "to": "g")", R"("from": "a", "to": "g")")));
    CHECK(parse(replaced(good, R"("to": "", "group": "g1")", R"("to": "z", "group": "g1")")));
    CHECK(parse(replaced(good, R"("version": 7)", R"("version": 8)"))->path
          == "snapshots[1].version");
    CHECK(parse(replaced(good, R"("group": "g1")", R"("group": "")")));
    CHECK(parse(R"({"snapshots": [{"version": 1, "ranges": []}]})")->kind == Kind::Empty);
}

TEST_CASE("members, hosts and quarantine entries are unchanged by formatting and parsing",
          "[documents]")
{
    const MemberList members { { "shubra" }, { { { "shubra-1" }, { "127.0.1.1", 7400 }, { 3 } } } };
    REQUIRE(parseMemberList({ "shubra" }, formatMemberList(members)).value().members
            == members.members);
    const HostList hosts { { { "a", ListedState::Live }, { "b", ListedState::Leaving } } };
    REQUIRE(formatHostList(parseHostList(formatHostList(hosts)).value()) == formatHostList(hosts));
    const QuarantineList quarantine { { { { 0x00c0ffee00c0ffee },
                                          QuarantineState::Quarantined,
                                          { { "s0" } },
                                          WallTime(std::chrono::milliseconds(1796342400000)) } } };
    const std::string text = formatQuarantineList(quarantine);
    REQUIRE(text.find("00c0ffee00c0ffee") != std::string::npos);
    REQUIRE(formatQuarantineList(parseQuarantineList(text).value()) == text);
    const auto error =
            errorOf([&] { return parseQuarantineList(replaced(text, "00c0ffee", "00c0ffe")); });
    REQUIRE(error->path == "entries[0].signature");
}
