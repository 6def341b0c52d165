// Runs of workers that are lost while the coordinator changes again and again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "fakes/schedules.h"
#include "fleet/unreachable_p.h"

#include <algorithm>
#include <utility>

using namespace monsoonledge;

namespace {

constexpr int HandoverCount = 16;
constexpr Duration RestartDuration = milliseconds(600); // of processes that are started again
constexpr Duration EntryLifetime = milliseconds(4500); // three heartbeats
// LOST: a long-running task counts from 6 s after its last run, if it has no run for 3 s and the
// 4 s before them were calm.
constexpr Duration MaxDownTime = seconds(13);

enum class TaskKind { LongRunning, Ending };

/// A worker "w0" that is lost with its runs, and coordinators that follow each other.
struct LostWorker
{
    explicit LostWorker(TaskKind kind = TaskKind::LongRunning, std::uint64_t seed = 1)
        : world(7, 4, seed)
    {
        world.clock.advance(seconds(2));
        JobSpec spec = FleetWorld::job("job", 4, "ms=600000");
        spec.steps[0].longRunning = kind == TaskKind::LongRunning;
        spec.steps[0].antiAffinity = 1;
        REQUIRE(world.submit(0, spec) == JobAnswer::Accepted);
        REQUIRE(world.wait([&] { return world.runners.runningCount() == 4; }));
        WorkerEntry spare = world.runners.at("w0").entry;
        spare.id = WorkerId("spare");
        spare.address.ip = "10.0.0.99";
        world.runners.add(spare);
        world.publish("spare");
        world.clock.advance(seconds(2));
    }

    void lose(bool refuses = false)
    {
        world.runners.at("w0").up = false;
        world.runners.at("w0").refuses = refuses;
        lostAt = world.clock.now();
    }

    /// Stops the coordinator as at a planned restart, or kills it. It is started again later.
    void replaceCoordinator(bool isPlanned)
    {
        const int coordinator = world.coordinator();
        if (coordinator < 0)
            return;
        if (isPlanned)
            world.node(coordinator).drain();
        else
            world.kill(coordinator);
        ended.push_back(coordinator);
    }

    /// Starts the processes again that were stopped.
    void startEnded()
    {
        for (const int process : std::exchange(ended, {}))
            world.start(process);
    }

    /// Planned restarts of one coordinator after the other, until all tasks have a run again.
    void replaceCoordinators(Duration interval, bool isUnlisted)
    {
        world.clock.advance(milliseconds(500));
        for (int i = 0; i < HandoverCount && world.runners.runningCount() < 4; ++i) {
            replaceCoordinator(true);
            world.clock.advance(interval - RestartDuration);
            startEnded();
            world.clock.advance(RestartDuration);
            if (isUnlisted && world.clock.now() - lostAt > EntryLifetime)
                world.store.remove("servers/w0");
        }
    }

    bool isBack(Duration limit)
    {
        return world.wait([&] { return world.runners.runningCount() == 4; },
                          std::max<Duration>(lostAt + limit - world.clock.now(), {}));
    }

    FleetWorld world;
    Time lostAt{};
    std::vector<int> ended;
};

} // namespace

// Guards against LOST: each successor waited anew for leases that had ended long before.
TEST_CASE("runs of a lost worker are started again although the coordinator changes in series")
{
    for (const Duration interval : {milliseconds(1300), milliseconds(2000), milliseconds(2800)}) {
        for (const TaskKind kind : {TaskKind::LongRunning, TaskKind::Ending}) {
            for (const bool refuses : {false, true}) {
                for (const bool isUnlisted : {false, true}) {
                    CAPTURE(wholeMilliseconds(interval));
                    CAPTURE(static_cast<int>(kind));
                    CAPTURE(refuses);
                    CAPTURE(isUnlisted);
                    LostWorker lost(kind);
                    lost.lose(refuses);
                    lost.replaceCoordinators(interval, isUnlisted);
                    CHECK(lost.isBack(MaxDownTime));
                    CHECK(lost.world.runners.findings == std::vector<std::string>());
                }
            }
        }
    }
}

namespace {

/// Steps of a random schedule. What a step breaks, it or a later step of the same kind mends.
enum class Step {
    PlannedHandover,
    Kill,
    Suspend, // of the coordinator, for seconds
    SilenceStore, // for the coordinator
    LoseAnswers, // of the coordinator's writes, which may be done late
    CutWorker, // from some processes
    JoinWorker,
    StartEnded,
};
constexpr std::uint64_t StepCount = 8;

Duration randomDuration(Random &random, std::uint64_t from, std::uint64_t to)
{
    return milliseconds(static_cast<std::int64_t>(from + random.below(to - from)));
}

void takeStep(LostWorker &lost, Step step, Random &random)
{
    FleetWorld &world = lost.world;
    const int coordinator = world.coordinator();
    FleetWorld::Process *process = coordinator < 0 ? nullptr : &world.process(coordinator);
    switch (step) {
    case Step::PlannedHandover:
    case Step::Kill:
        lost.replaceCoordinator(step == Step::PlannedHandover);
        break;
    case Step::Suspend:
        if (!process)
            break;
        process->timers->suspend();
        world.clock.advance(randomDuration(random, 500, 9000));
        process->timers->resume();
        break;
    case Step::SilenceStore:
        if (process)
            process->store->silent = true;
        break;
    case Step::LoseAnswers:
        if (!process)
            break;
        process->store->losesAnswers = !process->store->losesAnswers;
        process->store->lostAreLate = randomDuration(random, 0, 4000);
        break;
    case Step::CutWorker:
    case Step::JoinWorker:
        for (FleetWorld::Process &other : world.processes) {
            if (!other.workers || random.below(2) == 0)
                continue;
            if (step == Step::CutWorker)
                other.workers->cutFrom.insert(WorkerId("w0"));
            else
                other.workers->cutFrom.erase(WorkerId("w0"));
        }
        break;
    case Step::StartEnded:
        lost.startEnded();
        break;
    }
}

void endFaults(LostWorker &lost)
{
    lost.startEnded();
    for (FleetWorld::Process &process : lost.world.processes) {
        process.store->silent = false;
        process.store->losesAnswers = false;
        process.workers->cutFrom.clear();
    }
}

} // namespace

// Guards against TWICE: a record of an unreachable worker that is out of date, because a
// coordinator has granted the worker a lease since or the record was written late, ends the wait
// too early.
TEST_CASE("no run is started again while its lease may last, whatever becomes of the coordinators")
{
    runSchedules(60, [](std::uint64_t seed) -> std::string {
        LostWorker lost(TaskKind::LongRunning, seed);
        Random random(seed);
        for (int i = 0; i < 16; ++i) {
            takeStep(lost, static_cast<Step>(random.below(StepCount)), random);
            lost.world.clock.advance(randomDuration(random, 50, 2500));
        }
        endFaults(lost);
        lost.world.clock.advance(seconds(20));
        if (!lost.world.runners.findings.empty())
            return lost.world.runners.findings.front();
        return lost.world.runners.runningCount() == 4 ? "" : "a task has no run";
    });
}

// Guards against TWICE: the coordinator that is out of contact goes on renewing leases of a worker
// that its successors do not reach.
TEST_CASE("runs on a worker that only a former coordinator reaches are not started too early")
{
    enum class Former { Suspended, CutOff };
    for (const Former kind : {Former::Suspended, Former::CutOff}) {
        for (int phase = 0; phase < 8; ++phase) {
            CAPTURE(static_cast<int>(kind));
            CAPTURE(phase);
            LostWorker lost;
            FleetWorld &world = lost.world;
            FleetWorld::Process &former = world.process(world.coordinator());
            for (FleetWorld::Process &process : world.processes) {
                if (&process != &former)
                    process.workers->cutFrom.insert(WorkerId("w0"));
            }
            world.clock.advance(milliseconds(140 * phase));
            if (kind == Former::Suspended)
                former.timers->suspend();
            former.store->silent = true; // also so that it is not elected again
            const auto hasSuccessor = [&] {
                return std::any_of(world.processes.begin(), world.processes.end(),
                                   [&](const FleetWorld::Process &process) {
                                       return &process != &former && process.node->isCoordinator();
                                   });
            };
            REQUIRE(world.wait(hasSuccessor));
            former.timers->resume();
            for (int i = 0; i < 4; ++i) {
                world.clock.advance(milliseconds(1300));
                for (FleetWorld::Process &process : world.processes) {
                    if (&process != &former && process.node->isCoordinator())
                        process.node->drain();
                }
            }
            CHECK(world.wait([&] { return world.runners.at("spare").running.size() == 1; },
                             seconds(12)));
            CHECK(world.runners.findings == std::vector<std::string>());
        }
    }
}

// Guards against a wait for the lease of a worker whose end another worker proves, although the
// registry has removed its entry before the successor has loaded it.
TEST_CASE("a successor calls a lost worker at the address that the registry no longer has")
{
    LostWorker lost;
    FleetWorld &world = lost.world;
    world.clock.advance(seconds(2));
    lost.lose();
    world.clock.advance(seconds(3)); // the coordinator has listed it as unreachable
    world.store.remove("servers/w0");
    lost.replaceCoordinator(true);
    world.runners.replace("w0", "w9");
    REQUIRE(world.wait([&] { return world.coordinator() >= 0; }));
    CHECK(world.wait([&] { return world.runners.runningCount() == 4; }, milliseconds(700)));
    CHECK(world.runners.findings == std::vector<std::string>());
}

// Guards against TWICE: a version of the record that the store writes late lists a worker that has
// been granted a lease since, so that a successor does not wait for that lease.
TEST_CASE("a late write of the record of unreachable workers does not undo a later one")
{
    LostWorker lost;
    FleetWorld &world = lost.world;
    FakeKeyValuePort &store = *world.process(world.coordinator()).store;
    const auto listed = [&]() -> std::size_t {
        const auto found = world.store.items().find("coordinator/unreachable");
        if (found == world.store.items().end())
            return 0;
        const std::optional<UnreachableWorkers> record =
                decodeUnreachableWorkers(found->second.value);
        REQUIRE(record);
        return record->workers.size();
    };
    bool isListing = false;
    store.onCall = [&](const std::string &call, const std::string &key) {
        isListing = isListing || (call == "commit" && key == "coordinator/unreachable");
        store.losesAnswers = isListing;
    };
    store.lostAreLate = milliseconds(2500);
    world.runners.at("w0").reachable = false;
    REQUIRE(world.wait([&] { return isListing; }));
    store.onCall = {};
    store.losesAnswers = false;
    world.runners.at("w0").reachable = true;
    std::size_t mostListed = 0;
    for (int i = 0; i < 60; ++i) {
        world.clock.advance(milliseconds(100));
        mostListed = std::max(mostListed, i < 15 ? 0 : listed());
    }
    CHECK(mostListed == 0); // the late write was due after 2.5 s
    CHECK(world.runners.runningCount() == 4); // and the worker has got its leases
    CHECK(world.runners.findings == std::vector<std::string>());
}
