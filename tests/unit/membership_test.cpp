#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/fakestore.h"
#include "membership/membership.h"

#include <doctest/doctest.h>
#include <memory>

using namespace monsoonledge;

namespace {

struct Domain
{
    FakeClock clock;
    FakeStore store{clock, 1};

    DomainRecord record() const { return decodeDomainRecord(store.value("domains/d").text); }
};

MembershipSettings settingsOf(const std::string &name, std::uint64_t incarnation)
{
    MembershipSettings settings;
    settings.domain = DomainId("d");
    settings.self = {EntryId(name), Incarnation{incarnation}};
    settings.host = HostId("host-" + name);
    settings.address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + name[0])};
    return settings;
}

struct Process
{
    Process(Domain &domain, const std::string &name, std::uint64_t incarnation = 1)
        : timers(domain.clock), store(domain.store, timers), clock(domain.clock),
          membership(settingsOf(name, incarnation), store, timers, nullptr)
    {
        membership.unitGained.connect([this](const GainedUnit &u, Time) { gained.push_back(u); });
        membership.memberDied.connect([this](const EntryRun &r, Time) { died.push_back(r); });
        membership.expelled.connect([this](Time) { ++expulsions; });
        membership.unitIdle = [this](int unit) { return ((busyUnits >> unit) & 1U) == 0; };
        membership.start(clock.now());
    }
    int usableUnitCount() const { return __builtin_popcount(membership.usableUnits()); }
    void reportRefused(const std::string &name, int times = 2)
    {
        for (int i = 0; i < times; ++i)
            membership.peerLost(EntryId(name), LinkLoss::Refused, clock.now());
    }

    FakeTimers timers;
    FakeStoreClient store;
    FakeClock &clock;
    Membership membership;
    std::vector<GainedUnit> gained;
    std::vector<EntryRun> died;
    UnitMask busyUnits = 0;
    int expulsions = 0;
};

EntryRun run(const std::string &name, std::uint64_t incarnation = 1)
{
    return {EntryId(name), Incarnation{incarnation}};
}

} // namespace

TEST_CASE("every slot belongs to exactly one unit, also if 16 does not divide the number of slots")
{
    for (const int slots : {1, 8, 16, 24, 33}) {
        for (const int rotation : {0, 1, 15}) {
            int total = 0;
            for (int unit = 0; unit < UnitCount; ++unit)
                total += slotCountOfUnits(1U << unit, slots, rotation);
            CHECK(total == slots);
            CHECK(unitOfSlot(slots - 1, slots, rotation) < UnitCount);
        }
    }
}

TEST_CASE("the home of an id is the domain that it names, if that domain is configured")
{
    const std::vector<DomainId> domains{DomainId("a"), DomainId("b")};
    CHECK(homeDomain(RequestId("b~1"), domains) == DomainId("b"));
    CHECK(homeDomain(RequestId("x~1"), domains) == rendezvous("x~1", domains));
}

TEST_CASE("decoding an invalid domain record throws and does not return an empty record")
{
    CHECK_THROWS_AS(decodeDomainRecord("{}"), std::runtime_error);
    CHECK_THROWS_AS(decodeDomainRecord("not json"), std::runtime_error);
    CHECK_THROWS_AS(decodeDomainRecord(R"({"members":[],"units":[]})"), std::runtime_error);
}

TEST_CASE("a joining member gets units only after the owner's work on them has ended")
{
    Domain domain;
    Process a(domain, "a");
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
    a.busyUnits = 0xffff;
    Process b(domain, "b");
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 8);
    CHECK(a.membership.ownedUnits() == 0xffff);
    CHECK(b.membership.ownedUnits() == 0);
    a.busyUnits = 0;
    a.membership.recheckReleases(domain.clock.now());
    domain.clock.advance(seconds(1));
    CHECK(b.usableUnitCount() == 8);
    REQUIRE(b.gained.size() == 8);
    CHECK(b.gained[0].lastOwner == run("a"));
    CHECK(b.gained[0].released);
    Process c(domain, "c");
    domain.clock.advance(seconds(2));
    CHECK(a.usableUnitCount() == 6);
    CHECK(b.usableUnitCount() == 5);
    CHECK(c.usableUnitCount() == 5);
}

TEST_CASE("a unit counts as gained only once its write is confirmed, also after a lost answer")
{
    Domain domain;
    domain.store.loseAnswer = 1;
    domain.store.dropWatches();
    Process a(domain, "a");
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 0);
    domain.store.loseAnswer = 0;
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
    CHECK(a.gained.size() == 16);
}

TEST_CASE("one refused connection does not prove a member dead, since it may predate the member")
{
    Domain domain;
    Process a(domain, "a");
    Process b(domain, "b");
    domain.clock.advance(seconds(2));
    a.reportRefused("b", 1);
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 8);
    b.timers.kill();
    a.reportRefused("b", 1);
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
    REQUIRE(a.died.size() == 1);
    CHECK(a.died[0] == run("b"));
    CHECK_FALSE(a.gained.back().released);
    CHECK(a.gained.back().lastOwner == run("b"));
}

TEST_CASE("a link that was closed or timed out does not prove a member dead")
{
    Domain domain;
    Process a(domain, "a");
    Process b(domain, "b");
    domain.clock.advance(seconds(2));
    a.membership.peerLost(EntryId("b"), LinkLoss::TimedOut, domain.clock.now());
    a.membership.peerLost(EntryId("b"), LinkLoss::Closed, domain.clock.now());
    b.timers.suspend();
    domain.clock.advance(minutes(60));
    CHECK(a.usableUnitCount() == 8);
    CHECK(a.died.empty());
}

TEST_CASE("a restarted process takes over the units of its older incarnation as not released")
{
    Domain domain;
    Process old(domain, "a", 1);
    domain.clock.advance(seconds(1));
    old.timers.kill();
    Process a(domain, "a", 2);
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
    CHECK(a.gained[0].lastOwner == run("a", 1));
    CHECK_FALSE(a.gained[0].released);
    CHECK(domain.record().members.size() == 1);
}

TEST_CASE("a link to a newer incarnation proves the older one dead")
{
    Domain domain;
    Process a(domain, "a");
    Process b(domain, "b");
    domain.clock.advance(seconds(2));
    b.timers.kill();
    a.membership.peerUp(EntryId("b"), Incarnation{1}, domain.clock.now());
    CHECK(a.died.empty());
    a.membership.peerUp(EntryId("b"), Incarnation{2}, domain.clock.now());
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
}

TEST_CASE("a host missing from the host list proves its member dead only after 30 s without a link")
{
    Domain domain;
    Process a(domain, "a");
    Process b(domain, "b");
    domain.clock.advance(seconds(2));
    HostListing listing;
    listing.ok = true;
    const auto readEmptyListings = [&](int count) {
        for (int i = 0; i < count; ++i) {
            domain.clock.advance(seconds(1));
            a.membership.hostListRead(listing, domain.clock.now());
        }
    };
    a.membership.peerUp(EntryId("b"), Incarnation{1}, domain.clock.now());
    readEmptyListings(40);
    CHECK(a.died.empty()); // b is linked, so its missing host proves nothing
    a.membership.peerLost(EntryId("b"), LinkLoss::TimedOut, domain.clock.now());
    readEmptyListings(29);
    domain.clock.advance(seconds(60)); // as if a were suspended: no listing is read
    readEmptyListings(29);
    CHECK(a.died.empty());
    readEmptyListings(2);
    CHECK(a.died.size() == 1);
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
    CHECK(b.expulsions == 1); // the host list was wrong: b is alive and notices its removal
    CHECK(b.usableUnitCount() == 0);
}

TEST_CASE("an expelled process can rejoin only with a newer incarnation")
{
    Domain domain;
    Process a(domain, "a");
    Process b(domain, "b");
    domain.clock.advance(seconds(2));
    b.timers.suspend();
    a.membership.attestDead(run("b"), domain.clock.now());
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
    b.timers.resume();
    domain.clock.advance(seconds(1));
    CHECK(b.expulsions == 1);
    CHECK(b.usableUnitCount() == 0);
    CHECK_THROWS_AS(b.membership.rejoin(Incarnation{1}, domain.clock.now()), std::logic_error);
    b.membership.rejoin(Incarnation{2}, domain.clock.now());
    domain.clock.advance(seconds(2));
    CHECK(b.usableUnitCount() == 8);
    CHECK(a.usableUnitCount() == 8);
}

TEST_CASE("while the store is unreachable, no unit changes its owner and owned units stay usable")
{
    Domain domain;
    Process a(domain, "a");
    Process b(domain, "b");
    domain.clock.advance(seconds(2));
    domain.store.down = true;
    b.timers.kill();
    a.reportRefused("b");
    domain.clock.advance(seconds(30));
    CHECK(a.usableUnitCount() == 8);
    CHECK_FALSE(a.membership.storeReachable());
    domain.store.down = false;
    domain.clock.advance(seconds(2));
    CHECK(a.membership.storeReachable());
    CHECK(a.usableUnitCount() == 16);
}

TEST_CASE("a draining member releases its units once they are idle, and then leaves the record")
{
    Domain domain;
    Process a(domain, "a");
    Process b(domain, "b");
    domain.clock.advance(seconds(2));
    b.busyUnits =
            b.membership.usableUnits() & ~(b.membership.usableUnits() - 1); // lowest unit of b
    b.membership.drain(domain.clock.now());
    CHECK(b.usableUnitCount() == 0);
    domain.clock.advance(seconds(2));
    CHECK_FALSE(b.membership.drained());
    CHECK(a.usableUnitCount() == 15);
    b.busyUnits = 0;
    b.membership.recheckReleases(domain.clock.now());
    domain.clock.advance(seconds(2));
    CHECK(b.membership.drained());
    CHECK(b.expulsions == 0);
    CHECK(a.usableUnitCount() == 16);
    CHECK(a.died.empty());
    CHECK(domain.record().members.size() == 1);
}

TEST_CASE("an older incarnation listed at another address is not replaced, since it may be alive")
{
    Domain domain;
    Process old(domain, "a", 1);
    domain.clock.advance(seconds(1));
    DomainRecord moved = domain.record();
    moved.members[0].address.port = 9;
    domain.store.put("domains/d", encodeDomainRecord(moved));
    Process a(domain, "a", 2);
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 0);
    a.membership.attestDead(run("a", 1), domain.clock.now());
    domain.clock.advance(seconds(1));
    CHECK(a.usableUnitCount() == 16);
}
