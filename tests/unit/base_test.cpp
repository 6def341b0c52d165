#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "base/base.h"

#include <doctest/doctest.h>

using namespace monsoonledge;

TEST_CASE("removing a rendezvous candidate moves only the keys that it had")
{
    const std::vector<DomainId> all{DomainId("a"), DomainId("b"), DomainId("c"), DomainId("d")};
    const std::vector<DomainId> without{DomainId("d"), DomainId("a"), DomainId("b")};
    int moved = 0;
    for (int i = 0; i < 4000; ++i) {
        const std::string key = "request-" + std::to_string(i);
        const DomainId &before = rendezvous(key, all);
        if (before == DomainId("c"))
            ++moved;
        else
            CHECK(rendezvous(key, without) == before);
    }
    CHECK(moved > 800);
    CHECK(moved < 1200);
}

TEST_CASE("the stable hash does not change between versions, since homes of ids depend on it")
{
    CHECK(stableHash("renewal-1") == stableHash("renewal-1", 0));
    CHECK(stableHash("renewal-1") != stableHash("renewal-1", 1));
}

TEST_CASE("addresses with a missing or impossible port are refused")
{
    CHECK(parseAddress("127.0.0.1:80").port == 80);
    for (const char *text : {"127.0.0.1", "127.0.0.1:", ":80", "1.2.3.4:0", "1.2.3.4:65536", "a:b"})
        CHECK_THROWS_AS(parseAddress(text), std::invalid_argument);
}

TEST_CASE("the time of a nested scope counts for its own kind of work only")
{
    std::chrono::nanoseconds now{0};
    WorkMeter meter([&now] { return now; });
    {
        const WorkMeter::Scope calls(&meter, WorkKind::WorkerCalls);
        now += std::chrono::nanoseconds(300);
        {
            const WorkMeter::Scope decoding(&meter, WorkKind::Decoding);
            now += std::chrono::nanoseconds(50);
        }
        now += std::chrono::nanoseconds(7);
    }
    now += seconds(1); // outside of any scope
    {
        const WorkMeter::Scope calls(&meter, WorkKind::WorkerCalls);
        now += std::chrono::nanoseconds(3);
    }
    CHECK(meter.total(WorkKind::WorkerCalls).time == std::chrono::nanoseconds(310));
    CHECK(meter.total(WorkKind::WorkerCalls).scopes == 2);
    CHECK(meter.total(WorkKind::Decoding).time == std::chrono::nanoseconds(50));
    CHECK(meter.total(WorkKind::Planning).scopes == 0);
}

TEST_CASE("a scope without a meter measures nothing")
{
    const WorkMeter::Scope scope(nullptr, WorkKind::Planning);
    CHECK(std::string(workKindName(WorkKind::Planning)) == "planning");
}
