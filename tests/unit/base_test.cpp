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
