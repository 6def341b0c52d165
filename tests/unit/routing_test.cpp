#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "routing/routing.h"

#include <doctest/doctest.h>

using namespace monsoonledge;

namespace {

const Time Start{seconds(100)};
const ServiceId Desk("desk");
const EntryRun Self{EntryId("a"), Incarnation{7}};
const EntryRun Dead{EntryId("b"), Incarnation{3}};
constexpr UnitMask AllUnits = 0xffff;
constexpr UnitMask HalfUnits = 0x00ff;

HostListing workers(int count, HostState state = HostState::Live)
{
    HostListing listing;
    listing.ok = true;
    for (int i = 0; i < count; ++i) {
        HostInfo host;
        host.id = HostId("w" + std::to_string(i));
        host.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        host.domain = DomainId("d");
        host.service = Desk;
        host.slots = 8;
        host.state = state;
        listing.hosts.push_back(host);
    }
    return listing;
}

EndpointTable makeTable(int count, UnitMask units)
{
    EndpointTable table(RoutingSettings(), DomainId("d"), Self, 42);
    table.applyHosts(workers(count), Start);
    table.setUnits(units);
    return table;
}

int startAll(EndpointTable &table, Time now)
{
    int started = 0;
    while (const auto host = table.chooseEndpoint(Desk, true, {}, now)) {
        table.recordStart(*host, now);
        ++started;
    }
    return started;
}

EndpointStatus sample(int deadRunning, int ownRunning = 0)
{
    EndpointStatus status;
    status.ok = true;
    status.slots = 8;
    if (deadRunning > 0)
        status.runningByEntry[Dead.str()] = deadRunning;
    if (ownRunning > 0)
        status.runningByEntry[Self.str()] = ownRunning;
    return status;
}

} // namespace

TEST_CASE("invariant_1: a process uses only the slots of its own units")
{
    EndpointTable half = makeTable(3, HalfUnits);
    CHECK(startAll(half, Start) == 3 * 4);
    EndpointTable other = makeTable(3, AllUnits & ~HalfUnits);
    CHECK(startAll(other, Start) == 3 * 4);
    EndpointTable none = makeTable(3, 0);
    CHECK(startAll(none, Start) == 0);
}

TEST_CASE("invariant_1: a dead member's slots stay unusable until a later sample shows no request "
          "of it")
{
    EndpointTable table = makeTable(1, HalfUnits);
    const HostId host("w0");
    table.addUnverifiedUnits(Dead, AllUnits & ~HalfUnits, Start);
    table.setUnits(AllUnits);
    CHECK(table.usableSlots(Desk) == 4);
    // The sample is too early: the dead member's last request may not have reached the endpoint.
    table.applyStatus(host, sample(0), Start + milliseconds(100));
    CHECK(table.usableSlots(Desk) == 4);
    // A sample that was taken too early does not count, even if its response arrives late.
    EndpointStatus stale = sample(0);
    stale.sampleAge = seconds(2);
    table.applyStatus(host, stale, Start + seconds(1));
    CHECK(table.usableSlots(Desk) == 4);
    table.applyStatus(host, sample(1), Start + seconds(1));
    CHECK(table.usableSlots(Desk) == 4);
    table.applyStatus(host, sample(0), Start + seconds(2));
    CHECK(table.usableSlots(Desk) == 8);
}

TEST_CASE("invariant_1: requests of this process do not fit slots that are not verified")
{
    EndpointTable table = makeTable(1, AllUnits & ~HalfUnits);
    table.recordStart(HostId("w0"), Start);
    table.addUnverifiedUnits(Dead, HalfUnits, Start);
    table.setUnits(AllUnits);
    // The other units may be released only after a sample: until then, no verified slot of
    // HalfUnits can hold the running request.
    CHECK_FALSE(table.runningRequestsFit(HalfUnits));
    table.applyStatus(HostId("w0"), sample(0, 1), Start + seconds(1));
    CHECK(table.runningRequestsFit(HalfUnits));
}

TEST_CASE("invariant_1: a lost request blocks its endpoint until a sample shows that it has ended")
{
    EndpointTable table = makeTable(1, AllUnits);
    const HostId host("w0");
    table.recordStart(host, Start);
    table.recordResult(host, RunStatus::Unknown, 0, seconds(1), Start + seconds(1));
    CHECK_FALSE(table.chooseEndpoint(Desk, true, {}, Start + seconds(1)));
    table.applyStatus(host, sample(0, 1), Start + seconds(3));
    CHECK_FALSE(table.chooseEndpoint(Desk, true, {}, Start + seconds(3)));
    table.applyStatus(host, sample(0), Start + seconds(4));
    CHECK(table.chooseEndpoint(Desk, true, {}, Start + seconds(4)));
}

TEST_CASE("invariant_7: an endpoint that leaves by the host list or its own response gets no "
          "requests")
{
    EndpointTable table = makeTable(2, AllUnits);
    table.markLeaving(HostId("w0"));
    // The host list is out of date and still shows the host as live.
    table.applyHosts(workers(2), Start + seconds(1));
    for (int i = 0; i < 20; ++i)
        CHECK(table.chooseEndpoint(Desk, true, {}, Start + seconds(1)) == HostId("w1"));
    table.applyHosts(workers(2, HostState::Leaving), Start + seconds(2));
    CHECK_FALSE(table.chooseEndpoint(Desk, true, {}, Start + seconds(2)));
    // A listing that failed changes nothing.
    table.applyHosts(HostListing(), Start + seconds(3));
    CHECK(table.endpoints().size() == 2);
}

TEST_CASE("a fast-failing endpoint is ejected, and readmitted after an idempotent request succeeds")
{
    EndpointTable table = makeTable(4, AllUnits);
    const HostId bad("w0");
    Time now = Start;
    int onBad = 0;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds(10);
        const auto host = table.chooseEndpoint(Desk, false, {}, now);
        REQUIRE(host);
        table.recordStart(*host, now);
        onBad += *host == bad ? 1 : 0;
        const int status = *host == bad ? 500 : 200;
        const Duration latency = *host == bad ? milliseconds(1) : milliseconds(30);
        table.recordResult(*host, RunStatus::Answered, status, latency, now);
    }
    CHECK(table.find(bad)->ejected);
    CHECK(onBad <= 40);
    now += seconds(3);
    bool probed = false;
    for (int i = 0; i < 200 && !probed; ++i) {
        const auto host = table.chooseEndpoint(Desk, true, {}, now);
        probed = host == bad;
    }
    CHECK(probed);
    table.recordStart(bad, now);
    table.recordResult(bad, RunStatus::Answered, 200, milliseconds(30), now);
    CHECK_FALSE(table.find(bad)->ejected);
}

TEST_CASE("at most a third of the endpoints is ejected at once")
{
    EndpointTable table = makeTable(6, AllUnits);
    for (int i = 0; i < 600; ++i) {
        const auto host = table.chooseEndpoint(Desk, false, {}, Start);
        REQUIRE(host);
        table.recordStart(*host, Start);
        table.recordResult(*host, RunStatus::Answered, 500, milliseconds(1), Start);
    }
    int ejected = 0;
    for (const auto &item : table.endpoints())
        ejected += item.second.ejected ? 1 : 0;
    CHECK(ejected == 2);
}

// Guards against a question that draws from the random numbers of later choices.
TEST_CASE("an explained choice is the next one, and asking does not change the choices that follow")
{
    EndpointTable asked = makeTable(6, AllUnits);
    EndpointTable other = makeTable(6, AllUnits);
    asked.markLeaving(HostId("w5"));
    other.markLeaving(HostId("w5"));
    for (int i = 0; i < 40; ++i) {
        for (int k = 0; k < 3; ++k)
            asked.explainChoice(Desk, k == 0, Start);
        const EndpointExplanation explanation = asked.explainChoice(Desk, true, Start);
        const std::optional<HostId> chosen = asked.chooseEndpoint(Desk, true, {}, Start);
        CHECK(explanation.endpoint == chosen);
        CHECK(chosen == other.chooseEndpoint(Desk, true, {}, Start));
        asked.recordStart(*chosen, Start);
        other.recordStart(*chosen, Start);
    }
    const EndpointExplanation full = asked.explainChoice(Desk, true, Start);
    CHECK_FALSE(full.endpoint);
    CHECK(full.endpoints == 6);
    CHECK(full.candidates == 0);
    const std::map<EndpointObstacle, int> expected{{EndpointObstacle::Leaving, 1},
                                                   {EndpointObstacle::NoFreeSlot, 5}};
    CHECK(full.obstacles == expected);
    CHECK(asked.explainChoice(ServiceId("none"), true, Start).endpoints == 0);
}
