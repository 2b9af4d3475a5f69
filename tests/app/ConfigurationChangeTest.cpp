#include "app/ConfigurationChange.h"
#include "app/JsonDiff.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <deque>

using namespace greengagestair;

static std::string declaration(const std::string &changeId, int slots = 2)
{
    return R"({"changeId": ")" + changeId + R"(", "slots": )" + std::to_string(slots) + "}";
}

namespace {

/** A platform whose answers are lost, or whose writes are overtaken, as the test asks for. */
class FakeStore : public ConfigurationStore
{
public:
    std::optional<PlatformDocument> read() override
    {
        if (readsToFail > 0) {
            --readsToFail;
            return std::nullopt;
        }
        return document;
    }

    WriteResult write(Revision expected, const std::string &content) override
    {
        ++writes;
        if (overtakenBy) {
            document = { { document.revision.value + 1 }, *overtakenBy };
            overtakenBy.reset();
        }
        if (losesRequest)
            return WriteUnknown {};
        if (expected != document.revision)
            return WriteConflict {};
        document = { { document.revision.value + 1 }, content };
        if (losesAnswer)
            return WriteUnknown {};
        return document.revision;
    }

    bool waitBeforeRetry() override { return retries-- > 0; }

    PlatformDocument document;
    std::optional<std::string> overtakenBy;
    bool losesRequest = false;
    bool losesAnswer = false;
    int readsToFail = 0;
    int retries = 3;
    int writes = 0;
};

} // namespace

TEST_CASE("an accepted change keeps the identifiers of earlier ones", "[config]")
{
    FakeStore store;
    for (int change = 0; change < 40; ++change) {
        const auto report = applyConfiguration(declaration("c" + std::to_string(change)), store);
        REQUIRE(report.result == ChangeResult::Accepted);
    }
    const auto held = boost::json::parse(store.document.content).as_object();
    REQUIRE(held.at("changeId") == "c39");
    REQUIRE(held.at("recentChangeIds").as_array().size() == 32);
    REQUIRE(held.at("recentChangeIds").at(0) == "c38");
}

TEST_CASE("a lost answer of an accepted write is resolved by reading", "[config]")
{
    FakeStore store;
    store.losesAnswer = true;
    REQUIRE(applyConfiguration(declaration("a"), store).result == ChangeResult::Accepted);
    REQUIRE(store.writes == 1);
    // A run that ended between the write and its answer is repeated by the operator.
    REQUIRE(applyConfiguration(declaration("a"), store).result == ChangeResult::Accepted);
    REQUIRE(store.writes == 1);
}

TEST_CASE("a change that was accepted and then replaced is not written again", "[config]")
{
    FakeStore store;
    REQUIRE(applyConfiguration(declaration("a"), store).result == ChangeResult::Accepted);
    REQUIRE(applyConfiguration(declaration("b"), store).result == ChangeResult::Accepted);
    const auto report = applyConfiguration(declaration("a"), store);
    REQUIRE(report.result == ChangeResult::AcceptedBefore);
    REQUIRE(report.otherChangeId == "b");
    REQUIRE(store.document.revision == Revision { 2 });
}

TEST_CASE("of two operators that race, one is told and overwrites nothing", "[config]")
{
    FakeStore store;
    store.overtakenBy = declaration("other");
    store.losesAnswer = GENERATE(false, true);
    const auto report = applyConfiguration(declaration("own"), store);
    REQUIRE(report.result == ChangeResult::LostRace);
    REQUIRE(report.otherChangeId == "other");
    REQUIRE(store.document.content == declaration("other"));
}

TEST_CASE("an identifier that was used for another content is refused", "[config]")
{
    FakeStore store;
    REQUIRE(applyConfiguration(declaration("a", 2), store).result == ChangeResult::Accepted);
    REQUIRE(applyConfiguration(declaration("a", 3), store).result
            == ChangeResult::IdentifierReused);
    REQUIRE(store.writes == 1);
}

TEST_CASE("a platform that is out gives no false outcome", "[config]")
{
    FakeStore store;
    store.readsToFail = 100;
    REQUIRE(applyConfiguration(declaration("a"), store).result == ChangeResult::Unreachable);
    store.readsToFail = 0;
    store.losesRequest = true;
    store.retries = 3;
    REQUIRE(applyConfiguration(declaration("a"), store).result == ChangeResult::Unknown);
    REQUIRE(store.writes == 4);
}

TEST_CASE("differences are found by name, not by place", "[config]")
{
    const std::string before = R"({"changeId": "a", "services": [{"name": "x", "slots": 2},
                                                                {"name": "y", "slots": 3}]})";
    const std::string after = R"({"changeId": "b", "services": [{"name": "y", "slots": 4},
                                                               {"name": "x", "slots": 2}]})";
    REQUIRE(diffConfigurations(before, after)
            == std::vector<std::string> { "$.services[y].slots: 3 -> 4" });
    REQUIRE(diffConfigurations("", R"({"slots": 1})")
            == std::vector<std::string> { "$.slots: absent -> 1" });
}
