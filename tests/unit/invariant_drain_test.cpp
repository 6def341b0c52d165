// Leaving endpoints get no new requests, and a planned stop interrupts no request and loses no
// claim.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/schedules.h"
#include "fakes/world.h"

#include <doctest/doctest.h>

using namespace monsoonledge;

namespace {

constexpr int SeedCount = 20;
constexpr UnitMask AllUnits = UnitMask((1U << UnitCount) - 1);

void advanceUnderLoad(World &world, Duration span)
{
    for (Duration elapsed{}; elapsed < span; elapsed += milliseconds(100)) {
        world.sendSome();
        world.clock.advance(milliseconds(100));
        world.checkAlways();
    }
}

/// Makes one in ten requests slow and sets deadlines that allow for it.
void slowEndpoints(World &world)
{
    world.deadline = seconds(10);
    for (auto &item : world.endpoints.endpoints)
        item.second.slow = 0.1;
}

int runningRequests(const World &world, const EntryRun &run)
{
    int running = 0;
    for (const auto &item : world.endpoints.endpoints) {
        const auto found = item.second.runningByEntry.find(run.str());
        running += found == item.second.runningByEntry.end() ? 0 : found->second;
    }
    return running;
}

/// Drains a process under load until the planned stop is complete, and checks that none of its
/// requests is unanswered or running then.
void drain(World &world, const std::string &name)
{
    world.node(name).drain(world.clock.now());
    REQUIRE_FALSE(world.node(name).ready());
    const Time start = world.clock.now();
    for (int step = 0; !world.node(name).drained(); ++step) {
        REQUIRE(world.clock.now() < start + seconds(30));
        if (step % 10 == 0)
            world.sendSome();
        if (step == 100) // after 1 s load balancers have noticed readiness; the listener closes
            world.closed.insert(name);
        world.clock.advance(milliseconds(10));
        world.checkAlways();
    }
    REQUIRE(runningRequests(world, world.node(name).self()) == 0);
    for (const auto &item : world.attempts) {
        if (item.second.entry == name && !item.second.disturbed)
            REQUIRE(item.second.answers == 1);
    }
    world.clock.advance(milliseconds(10)); // until the answers to forwarded requests arrive
}

/// Checks that no answer gives a reason of an interrupted request.
void checkNoneInterrupted(World &world)
{
    for (const char *reason : {"peer-lost", "no-answer", "deadline-passed"}) {
        CAPTURE(reason);
        REQUIRE(world.reasons[reason] == 0);
    }
}

void waitUntilReady(World &world)
{
    const Time start = world.clock.now();
    const auto ready = [](const auto &item) { return item.second->node.ready(); };
    while (!std::all_of(world.processes.begin(), world.processes.end(), ready)) {
        REQUIRE(world.clock.now() < start + seconds(30));
        advanceUnderLoad(world, milliseconds(100));
    }
}

/// Repeats all non-idempotent requests that ran: none may run a second time or be answered as "not
/// run".
void repeatAllRequests(World &world)
{
    world.clock.advance(world.deadline + seconds(2)); // until no request runs
    std::set<RequestId> ids;
    for (const auto &item : world.endpoints.runs)
        ids.insert(item.first);
    REQUIRE(ids.size() > 20);
    const std::map<RequestId, int> before = world.endpoints.runs;
    for (const RequestId &id : ids) {
        world.send(EntryNames[world.random.below(EntryNames.size())], id, false);
        world.clock.advance(milliseconds(5));
    }
    world.clock.advance(world.deadline + seconds(2));
    world.checkAlways();
    REQUIRE(world.endpoints.runs == before);
}

void forEachSeed(const std::function<void(World &)> &body)
{
    runSchedules(SeedCount, [&](std::uint64_t seed) {
        CAPTURE(seed);
        World world(seed);
        world.clock.advance(seconds(5));
        body(world);
        return std::string();
    });
}

} // namespace

TEST_CASE("invariant_leaving: a leaving endpoint gets no new work after 5 s")
{
    enum Kind { ByList, ByStatus, ByListStoreDown, ByStatusStoreDown, KindCount };
    for (int kind = ByList; kind < KindCount; ++kind) {
        CAPTURE(kind);
        forEachSeed([kind](World &world) {
            const bool byList = kind == ByList || kind == ByListStoreDown;
            FakeEndpoints::Endpoint &leaving = world.endpoints.endpoints.at(1000);
            advanceUnderLoad(world, seconds(3));
            REQUIRE(leaving.started > 0);
            world.store.down = kind == ByListStoreDown || kind == ByStatusStoreDown;
            advanceUnderLoad(world, seconds(3));
            leaving.leavingSince = world.clock.now();
            leaving.saysLeaving = !byList;
            if (byList)
                world.listing.hosts.front().state = HostState::Leaving;
            else
                world.listing.ok = false;
            advanceUnderLoad(world, seconds(5));
            const int other = world.endpoints.endpoints.at(1001).started;
            advanceUnderLoad(world, seconds(10));
            REQUIRE(world.endpoints.lateWork == 0);
            REQUIRE(world.endpoints.endpoints.at(1001).started > other);
        });
    }
}

TEST_CASE("invariant_drain: every accepted request ends, then the units go to the other member")
{
    forEachSeed([](World &world) {
        slowEndpoints(world);
        advanceUnderLoad(world, seconds(3));
        while (runningRequests(world, world.node("a1").self()) == 0)
            advanceUnderLoad(world, milliseconds(100));
        drain(world, "a1");
        REQUIRE(world.node("a1").membership().ownedUnits() == 0);
        advanceUnderLoad(world, seconds(3));
        REQUIRE(world.node("a2").membership().usableUnits() == AllUnits);
        world.processes.at("a1").reset();
        world.start("a1");
        waitUntilReady(world);
        world.clock.advance(world.deadline + seconds(2));
        world.checkAlways();
        checkNoneInterrupted(world);
        repeatAllRequests(world);
    });
}

TEST_CASE("invariant_drain: a planned stop ends while the store is down")
{
    forEachSeed([](World &world) {
        slowEndpoints(world);
        advanceUnderLoad(world, seconds(3));
        world.store.down = true;
        advanceUnderLoad(world, milliseconds(static_cast<int>(world.random.below(5000))));
        drain(world, "a1");
        world.processes.at("a1").reset();
        world.clock.advance(seconds(1));
        world.store.down = false;
        world.clock.advance(seconds(10));
        REQUIRE(world.node("a2").membership().usableUnits() == AllUnits);
        world.start("a1");
        waitUntilReady(world);
        repeatAllRequests(world);
    });
}

TEST_CASE("invariant_drain: the only member of a domain stops and comes back")
{
    forEachSeed([](World &world) {
        advanceUnderLoad(world, seconds(2));
        world.kill("a2");
        world.clock.advance(seconds(10));
        REQUIRE(world.node("a1").membership().usableUnits() == AllUnits);
        slowEndpoints(world);
        for (int i = 0; i < 50; ++i) {
            world.send("a1", world.node("a1").issueId(world.clock.now()), false);
            world.clock.advance(milliseconds(50));
        }
        world.node("a1").drain(world.clock.now());
        for (int i = 0; i < 1500 && !world.node("a1").drained(); ++i)
            world.clock.advance(milliseconds(10));
        REQUIRE(world.node("a1").drained());
        REQUIRE(runningRequests(world, world.node("a1").self()) == 0);
        world.processes.at("a1").reset();
        world.clock.advance(seconds(1));
        world.start("a1");
        world.start("a2");
        waitUntilReady(world);
        world.checkAlways();
        checkNoneInterrupted(world);
        repeatAllRequests(world);
    });
}

TEST_CASE("invariant_drain: a process killed while it stops loses no claim")
{
    forEachSeed([](World &world) {
        slowEndpoints(world);
        advanceUnderLoad(world, seconds(3));
        world.store.down = world.random.below(3) == 0;
        world.node("a1").drain(world.clock.now());
        advanceUnderLoad(world, milliseconds(static_cast<int>(world.random.below(2000))));
        world.kill("a1");
        world.clock.advance(milliseconds(static_cast<int>(world.random.below(2000))));
        world.store.down = false;
        world.start("a1");
        world.clock.advance(seconds(10));
        world.restartExpelled();
        waitUntilReady(world);
        repeatAllRequests(world);
    });
}

TEST_CASE("invariant_drain: all processes restart one after another under load")
{
    forEachSeed([](World &world) {
        slowEndpoints(world);
        advanceUnderLoad(world, seconds(2));
        for (const std::string &name : EntryNames) {
            CAPTURE(name);
            drain(world, name);
            world.processes.at(name).reset();
            world.clock.advance(milliseconds(static_cast<int>(world.random.below(500))));
            world.start(name);
            waitUntilReady(world);
        }
        world.clock.advance(world.deadline + seconds(2));
        world.checkAlways();
        checkNoneInterrupted(world);
        for (const auto &item : world.attempts) {
            const Attempt &attempt = item.second;
            const auto runs = world.endpoints.runs.find(attempt.id);
            if (attempt.answer.outcome == Outcome::Done && runs != world.endpoints.runs.end())
                REQUIRE(runs->second == 1);
        }
        REQUIRE(world.expulsions == 0);
        repeatAllRequests(world);
        for (auto &item : world.processes)
            REQUIRE(item.second->node.ready());
    });
}
