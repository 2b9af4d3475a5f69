#include "gateway/ConnectionPlan.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

// Load pattern: 295 hosts in six failure domains, servers in three of them, 195 connections each.
// Guards against hosts that together exceed a server's limit, and against hosts that cannot keep
// the connection to the server that they use most.
TEST_CASE("the connection shares of a large fleet stay within each server's limit",
          "[gateway][load]")
{
    const std::vector<std::string> domains { "a", "b", "c", "d", "e", "f" };
    BackendDirectory directory;
    for (const char *domain : { "a", "b", "c" }) {
        BackendRegistration registration;
        registration.server = { std::string("server-") + domain };
        registration.service = { "s" };
        registration.failureDomain = { domain };
        directory.put(registration, MonotonicTime());
    }
    BackendService service;
    service.name = { "s" };
    service.connectionLimit = 195;
    HostCount hosts;
    hosts.all = 295;
    for (std::size_t i = 0; i < hosts.all; ++i)
        ++hosts.byDomain[{ domains[i % domains.size()] }];
    std::map<ServerId, double> sums;
    for (std::size_t i = 0; i < hosts.all; ++i) {
        SelectorOptions options;
        options.host = { "host-" + std::to_string(i) };
        options.failureDomain = { domains[i % domains.size()] };
        ConnectionPlan plan(options, directory);
        plan.setHosts(hosts);
        const ServiceShares shares = plan.sharesOf(service);
        REQUIRE_FALSE(shares.isAmple());
        std::size_t preferred = 0;
        for (const auto &backend : directory.serversOf(service.name)) {
            const double share = shares.of(*backend);
            sums[backend->registration.server] += share;
            if (!shares.isPreferred(*backend))
                continue;
            ++preferred;
            CHECK(share >= 1);
        }
        REQUIRE(preferred == 1);
    }
    for (const auto &[server, sum] : sums)
        CHECK(sum <= 195);
}
