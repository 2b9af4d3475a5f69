#include "GatewayFixture.h"

using namespace greengagestair;

namespace {

/** A gateway with one tenant whose permits another host, which never answers, has to issue. */
class QuotaFixture : public GatewayFixture
{
public:
    QuotaFixture()
    {
        GatewayOptions enabled = options(120);
        enabled.quota = QuotaOptions { 5s, 0.1, 0 };
        send(OptionsChanged { enabled });
        addTenant(configuration, { { "builders" }, { "key" }, 0, 2, 4 });
        start();
    }

    /** Lists other hosts until one of them is the tenant's issuer and a request waits for it. */
    void waitForIssuer()
    {
        for (int others = 1; others < 50; ++others) {
            send(hosts(1, others));
            send(StoreCaughtUp {});
            wait(3s);
            waiting = sendOrder();
            if (replies.empty() && attempts.empty())
                return;
            replies.clear();
            attempts.clear();
        }
        FAIL("no other host became the issuer");
    }

    ExchangeId sendOrder()
    {
        auto request = std::make_shared<GatewayRequest>();
        request->method = "POST";
        request->target = "/order/7";
        request->host = "orders.example";
        request->requestId = "q" + std::to_string(++m_requests);
        request->headers = { { "Authorization", "Bearer key" } };
        send(RequestReceived { { 5000 + m_requests }, request });
        return { 5000 + m_requests };
    }

    ExchangeId waiting;

private:
    std::uint64_t m_requests = 0;
};

} // namespace

// Guards against quotas that are not enforced, and against refusals that promise nothing.
TEST_CASE("a request beyond the quota is refused with the time when there is room",
          "[gateway][quota]")
{
    QuotaFixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.sendOrder();
    CHECK(fixture.attempts.size() == 4);
    fixture.sendOrder();
    CHECK(fixture.refusal() == RefusalReason::OverQuota);
    const auto &refused = std::get<RefusedReply>(fixture.reply());
    CHECK(refused.retryAfter > 0ms);
    CHECK(refused.retryAfter < 2s);
    CHECK(fixture.attempts.size() == 4);
}

// Guards against requests that are forgotten, or sent, after their caller has left.
TEST_CASE("a request that waits for a permit is dropped when its caller leaves", "[gateway][quota]")
{
    QuotaFixture fixture;
    fixture.waitForIssuer();
    fixture.send(CallerDisconnected { fixture.waiting });
    fixture.wait(100ms);
    CHECK(fixture.attempts.empty());
    CHECK(fixture.replies.empty());
    CHECK(fixture.gateway().isIdle());
}

// Guards against requests without a reply if no host answers, also during a stop.
TEST_CASE("a request that waits for a permit gets one reply", "[gateway][quota]")
{
    const bool isStopping = GENERATE(false, true);
    QuotaFixture fixture;
    fixture.waitForIssuer();
    if (isStopping)
        fixture.send(GatewayStopRequested { 5ms });
    fixture.wait(100ms);
    CHECK(fixture.replies.size() + fixture.attempts.size() == 1);
    fixture.wait(5s);
    CHECK(fixture.replies.size() == 1);
}
