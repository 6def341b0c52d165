// Workers that warm up: how their entries are read, and what they are given to do.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "fakes/schedulerharness.h"
#include "platform/platform.h"

#include <cstdio>
#include <fstream>

using namespace monsoonledge;

namespace {

SchedulingSettings withWarmup()
{
    SchedulingSettings settings;
    settings.warmupOverage = 2; // a cold worker is half as fast
    return settings;
}

/// Publishes entries in which worker 0 warms up.
void makeCold(SchedulerHarness &harness, Duration left)
{
    harness.entries[0].warmupLeft = left;
    harness.scheduler.setWorkers(harness.entries, harness.now);
    harness.reportWorkers();
}

int startsOn(const std::vector<StartOrder> &starts, const std::string &worker)
{
    return static_cast<int>(
            std::count_if(starts.begin(), starts.end(),
                          [&](const StartOrder &order) { return order.worker.str() == worker; }));
}

WorkerEntry entryWith(const std::string &fields)
{
    const std::optional<WorkerEntry> entry = platform::decodeWorkerEntry(
            "servers/w1",
            R"({"State":"ready","Service":"desk","Address":"10.0.0.1:1","Zone":"z0","born":5,)"
                    + fields + R"("Capacity":{"Cpu":16000,"MemMb":64000},"Labels":[]})");
    REQUIRE(entry);
    return *entry;
}

} // namespace

TEST_CASE("the time to warm up is read; a malformed one counts as warm and is marked")
{
    CHECK(entryWith("").warmupLeft == Duration::zero());
    CHECK(!entryWith("").isWarmupUnreadable);
    CHECK(entryWith(R"("WarmupLeftMs":0,)").warmupLeft == Duration::zero());
    CHECK(entryWith(R"("WarmupLeftMs":2500,)").warmupLeft == milliseconds(2500));
    CHECK(entryWith(R"("WarmupLeftMs":2500.5,)").warmupLeft == milliseconds(2500));
    CHECK(entryWith(R"("WarmupLeftMs":1e300,)").warmupLeft == milliseconds(MaxDurationMs));
    for (const std::string value : {"-1", "\"soon\"", "true", "[]", "{}"}) {
        CAPTURE(value);
        const WorkerEntry entry = entryWith("\"WarmupLeftMs\":" + value + ',');
        CHECK(entry.warmupLeft == Duration::zero());
        CHECK(entry.isWarmupUnreadable);
    }
}

TEST_CASE("a malformed time to warm up is logged and the worker is used as a warm one")
{
    for (const double overage : {0.0, 1.5}) {
        FleetWorld world(1, 1);
        world.warmupOverage = overage;
        world.workerDecoder = [](const std::string &key, const std::string &value) {
            std::optional<WorkerEntry> entry = decodeWorker(key, value);
            entry->isWarmupUnreadable = true;
            return entry;
        };
        world.start(0);
        REQUIRE(world.wait([&] { return world.coordinator() >= 0; }));
        REQUIRE(world.submit(0, FleetWorld::job("a", 12)) == JobAnswer::Accepted);
        CHECK(world.wait([&] { return world.state(0, "a") == JobState::Completed; }));
        const bool isLogged =
                std::find(world.log.begin(), world.log.end(), "worker-warmup-unreadable")
                != world.log.end();
        CHECK(isLogged == (overage > 0));
    }
}

TEST_CASE("a worker that warms up gets work in proportion to its speed, and its share later")
{
    SchedulerHarness harness(1, 16000, 64000, withWarmup());
    makeCold(harness, seconds(5));
    harness.add("a", {SchedulerHarness::step(20)});
    CHECK(harness.planAndStart().size() == 8);
    harness.now += seconds(5) + milliseconds(1);
    harness.reportWorkers();
    CHECK(harness.planAndStart().size() == 8);
}

TEST_CASE("a large task and long-running tasks are started on a worker that warms up")
{
    SchedulerHarness harness(1, 16000, 64000, withWarmup());
    makeCold(harness, seconds(5));
    SUBCASE("a task larger than the share")
    {
        harness.add("a", {SchedulerHarness::step(1, 16000)});
        CHECK(harness.planAndStart().size() == 1);
    }
    SUBCASE("long-running tasks, whose absence costs more than a slow start")
    {
        StepSpec step = SchedulerHarness::step(16);
        step.longRunning = true;
        harness.add("a", {step});
        CHECK(harness.planAndStart().size() == 16);
    }
    SUBCASE("best-effort tasks beside them get their share of what is left")
    {
        StepSpec serving = SchedulerHarness::step(8);
        serving.longRunning = true;
        harness.add("a", {serving});
        CHECK(harness.planAndStart().size() == 8);
        StepSpec filling = SchedulerHarness::step(12);
        filling.bestEffort = true;
        harness.add("b", {filling});
        CHECK(harness.planAndStart().size() == 6); // half of 16 - 8 / 2
    }
}

TEST_CASE("without the setting the time to warm up is ignored")
{
    SchedulerHarness harness(1);
    makeCold(harness, seconds(5));
    harness.add("a", {SchedulerHarness::step(20)});
    CHECK(harness.planAndStart().size() == 16);
}

TEST_CASE("an entry that was not written again does not prolong the time to warm up")
{
    SchedulerHarness harness(2, 16000, 64000, withWarmup());
    makeCold(harness, seconds(2));
    harness.now += seconds(1);
    harness.entries[1].labels = {"b"}; // another worker's entry changes
    harness.scheduler.setWorkers(harness.entries, harness.now);
    harness.now += milliseconds(1001);
    harness.reportWorkers();
    harness.add("a", {SchedulerHarness::step(32)});
    CHECK(startsOn(harness.planAndStart(), "w0") == 16);
}

TEST_CASE("run times on a worker that warms up do not change the expected durations")
{
    for (const bool isCold : {false, true}) {
        SchedulerHarness harness(1, 16000, 64000, withWarmup());
        if (isCold)
            makeCold(harness, milliseconds(500)); // the runs outlast it
        harness.add("slow", {SchedulerHarness::step(8, 1000, milliseconds(500))});
        const std::vector<StartOrder> starts = harness.planAndStart();
        REQUIRE(starts.size() == 8);
        harness.now += seconds(2);
        for (const StartOrder &order : starts)
            harness.endRun(order, RunOutcome::Done);
        harness.reportWorkers();
        harness.log.clear();
        harness.add("next", {SchedulerHarness::step(1, 1000, milliseconds(1000))});
        REQUIRE(harness.planAndStart().size() == 1);
        const auto assigned =
                std::find_if(harness.log.begin(), harness.log.end(),
                             [](const LogEvent &event) { return event.event == "tasks-assigned"; });
        REQUIRE(assigned != harness.log.end());
        for (const auto &[name, value] : assigned->fields) {
            if (name == "objectiveInMs" && isCold)
                CHECK(value == "2300"); // slack factor 2 and 300 ms of target latency
            if (name == "objectiveInMs" && !isCold)
                CHECK(std::stoi(value) > 2300);
        }
    }
}

TEST_CASE("the bounds of evacuations and of warming up are read; both are off without them")
{
    const std::string text = "NodeName: \"n\"\nZone: \"a\"\n"
                             "ListenAddresses:\n  Frontend: \"10.1.0.13:8161\"\n"
                             "  Readiness: \"10.1.0.13:8167\"\n"
                             "platform:\n  Address: \"10.200.1.7:8169\"\n";
    const std::string path = "warmup_test_settings.yaml";
    std::ofstream(path) << text;
    CHECK(platform::loadPlatformSettings(path).evacuationLimit == Duration::zero());
    CHECK(platform::loadPlatformSettings(path).warmupOverage == 0);
    std::ofstream(path) << text
                        << "Bounds:\n  EvacuationMs: 5000\n  NoticeMs: 4000\n"
                           "  WarmupOverage: 1.5\n  WarmupTolerance: 5\n";
    const platform::PlatformSettings settings = platform::loadPlatformSettings(path);
    CHECK(settings.evacuationLimit == seconds(5));
    CHECK(settings.warmupOverage == doctest::Approx(1.5));
    std::remove(path.c_str());
}
