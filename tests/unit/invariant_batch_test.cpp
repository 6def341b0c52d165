// Tests batch tasks under seeded schedules of leader deaths, lost orders and responses, unreachable
// workers, store outages and evictions. See fakes/schedules.h.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "batch/batch.h"
#include "fakes/fakestore.h"
#include "fakes/fakeworkers.h"
#include "fakes/schedules.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <memory>

using namespace monsoonledge;

namespace {

constexpr int Workers = 5;
constexpr int TaskCount = 12;

Sheet makeSheet()
{
    BatchJob job;
    job.name = "standings";
    job.count = TaskCount;
    job.cores = MilliCores{1500};
    job.memory = MebiBytes{1000};
    job.runTime = seconds(20);
    Sheet sheet;
    sheet.name = "day";
    sheet.jobs = {job};
    return sheet;
}

struct Leader
{
    Leader(FakeClock &clock, FakeStore &fakeStore, FakeFleet &fakeFleet, std::uint64_t incarnation)
        : timers(clock), store(fakeStore, timers), workers(fakeFleet, timers),
          scheduler(settings(incarnation), store, workers, timers, nullptr)
    {
        scheduler.applySheet(makeSheet(), clock.now());
        scheduler.applyHosts(fakeFleet.listing, clock.now());
        scheduler.becomeLeader(clock.now());
        tick(clock.now());
    }

    static BatchSettings settings(std::uint64_t incarnation)
    {
        BatchSettings settings;
        settings.domain = DomainId("d");
        settings.domains = {DomainId("d")};
        settings.self = {EntryId("e"), Incarnation{incarnation}};
        return settings;
    }

    void tick(Time now)
    {
        if (!scheduler.leading())
            scheduler.becomeLeader(now); // the node does the same while it owns share unit 0
        scheduler.tick(now);
        timers.after(milliseconds(50), [this](Time later) { tick(later); });
    }

    FakeTimers timers;
    FakeStoreClient store;
    FakeWorkerClient workers;
    BatchScheduler scheduler;
};

struct World
{
    explicit World(std::uint64_t seed)
        : store(clock, seed), fleet(clock, Workers, seed + 1), random(seed + 2)
    {
        replaceLeader();
    }

    /// Ends the leader before the next one starts, as the domain record guarantees.
    void replaceLeader()
    {
        leader.reset();
        leader = std::make_unique<Leader>(clock, store, fleet, ++incarnation);
    }

    void injectFault()
    {
        FakeFleet::Worker &worker =
                fleet.workers[static_cast<std::uint16_t>(1000 + random.below(Workers))];
        switch (random.below(8)) {
        case 0:
            replaceLeader();
            break;
        case 1:
            worker.reachable = !worker.reachable;
            break;
        case 2:
            store.down = !store.down;
            break;
        case 3:
            worker.usedShare = random.below(2) == 0 ? 0.99 : 0.3;
            break;
        case 4:
            fleet.loseOrder = random.unit() * 0.3;
            break;
        case 5:
            fleet.loseAnswer = random.unit() * 0.3;
            break;
        case 6:
            store.loseAnswer = random.unit() * 0.3;
            break;
        default:
            store.lateWrite = random.unit() * 0.2;
            break;
        }
    }

    void heal()
    {
        store.down = false;
        store.loseAnswer = store.lateWrite = 0;
        fleet.loseOrder = fleet.loseAnswer = 0;
        for (auto &item : fleet.workers) {
            item.second.reachable = true;
            item.second.usedShare = 0.3;
        }
    }

    bool allDone() const { return fleet.doneCount.size() == TaskCount; }

    FakeClock clock;
    FakeStore store;
    FakeFleet fleet;
    Random random;
    std::unique_ptr<Leader> leader;
    std::uint64_t incarnation = 0;
};

} // namespace

TEST_CASE("invariant_2: no task runs in two places; invariant_3: evicted work resumes exactly once")
{
    runSchedules(200, [](std::uint64_t seed) {
        CAPTURE(seed);
        World world(seed);
        for (int step = 0; step < 40; ++step) {
            world.clock.advance(milliseconds(200 + static_cast<int>(world.random.below(3000))));
            world.injectFault();
            REQUIRE(world.fleet.overlaps() == 0);
            REQUIRE(world.fleet.repeatedGenerations() == 0);
        }
        world.heal();
        for (int step = 0; step < 60 && !world.allDone(); ++step)
            world.clock.advance(seconds(5));
        REQUIRE(world.fleet.overlaps() == 0);
        REQUIRE(world.fleet.repeatedGenerations() == 0);
        REQUIRE(world.allDone());
        for (const auto &item : world.fleet.doneCount)
            REQUIRE(item.second == 1);
        return std::string();
    });
}

TEST_CASE("a worker that fails every task is ejected, and the tasks still finish elsewhere")
{
    World world(7);
    world.fleet.workers[1000].failsAll = true;
    for (int step = 0; step < 60 && !world.allDone(); ++step)
        world.clock.advance(seconds(5));
    CHECK(world.allDone());
    int startsOnBad = 0;
    for (const auto &item : world.fleet.runs) {
        for (const FakeFleet::Run &run : item.second)
            startsOnBad += run.worker == "1000" ? 1 : 0;
    }
    CHECK(startsOnBad <= 6);
}

TEST_CASE("an evicted task resumes from its checkpoint as the next generation")
{
    World world(9);
    world.clock.advance(seconds(5));
    for (auto &item : world.fleet.workers)
        item.second.usedShare = 0.99;
    world.clock.advance(seconds(3));
    world.heal();
    world.clock.advance(seconds(20));
    int resumed = 0;
    for (const auto &item : world.fleet.runs) {
        for (const FakeFleet::Run &run : item.second)
            resumed += !run.resumedFrom.empty() && run.generation.value > 1 ? 1 : 0;
    }
    CHECK(resumed > 0);
    CHECK(world.fleet.overlaps() == 0);
}

TEST_CASE("placement finds the smallest worker that fits without looking at all of them")
{
    CapacityIndex index;
    for (int i = 0; i < 1000; ++i)
        index.set(HostId("w" + std::to_string(i)), {1000 + i, 4000, i % 10 == 0 ? 1 : 0});
    const auto found = index.findCandidates({1500, 100, 0}, 4);
    REQUIRE(found.size() == 4);
    CHECK(found.front() == HostId("w500"));
    index.erase(HostId("w500"));
    CHECK(index.findCandidates({1500, 100, 0}, 1).front() == HostId("w501"));
    CHECK(index.findCandidates({5000, 100, 0}, 4).empty());
}

TEST_CASE("a decoded batch state equals the encoded one, and damaged text is refused")
{
    BatchState state;
    state.writer = "e/1";
    state.changes = 9;
    BatchTask &task = state.tasks[TaskId("day.standings.0")];
    task.id = TaskId("day.standings.0");
    task.job = "standings";
    task.state = TaskState::Evicting;
    task.generation = Generation{4};
    task.worker = HostId("w1");
    task.checkpoint = "123";
    task.failedOn = {HostId("w2")};
    const std::string text = encodeBatchState(state);
    const BatchState copy = decodeBatchState(text);
    CHECK(encodeBatchState(copy) == text);
    CHECK_THROWS_AS(decodeBatchState(text.substr(0, text.size() / 2)), std::runtime_error);
    CHECK_THROWS_AS(decodeBatchState("{}"), std::runtime_error);
}
