// What one incarnation of a worker is told or answers must not count for the next one, which may
// have the same id.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "fakes/schedulerharness.h"

using namespace monsoonledge;

namespace {

constexpr Duration RegistryDelay = milliseconds(300); // until the registry shows a restart

/// Two processes and two workers, all of which know each other.
struct RestartWorld : FleetWorld
{
    RestartWorld() : FleetWorld(2, 2) { clock.advance(seconds(2)); }

    /// Submits a job and waits until the worker "w0" runs its tasks.
    void startOnFirstWorker(int tasks, const std::string &payload)
    {
        REQUIRE(submit(0, job("a", tasks, payload)) == JobAnswer::Accepted);
        REQUIRE(wait([&] {
            return runners.at("w0").running.size() == static_cast<std::size_t>(tasks);
        }));
    }

    FakeRunPort &coordinatorsPort() { return *process(coordinator()).workers; }

    /// Checks that the job completes and that no task is started more often than this.
    void checkCompleted(int maxStarts)
    {
        CHECK(wait([&] { return state(0, "a") == JobState::Completed; }, seconds(20)));
        clock.advance(seconds(2));
        CHECK(runners.findings == std::vector<std::string>());
        for (const auto &[task, count] : runners.starts)
            CHECK(count <= maxStarts);
    }
};

} // namespace

// Guards against TWICE: the coordinator took the run for one of the former incarnation.
TEST_CASE("a run that the next incarnation of its worker has begun is not started again elsewhere")
{
    RestartWorld world;
    world.runners.restart("w0"); // nobody has been told yet
    world.startOnFirstWorker(2, "ms=2500");
    SUBCASE("the registry shows the restart") { }
    SUBCASE("a successor sees the restart")
    {
        world.start(world.coordinator());
    }
    world.clock.advance(RegistryDelay);
    world.publish("w0");
    world.checkCompleted(1);
}

// Guards against TWICE: the restart was taken for proof that the start order has no effect, and
// what the former incarnation had been told to refuse was forgotten.
TEST_CASE("a start order without an answer does not take effect in the next incarnation of its "
          "worker "
          "beside or after another run")
{
    RestartWorld world;
    world.coordinatorsPort().lateShare = 1;
    world.coordinatorsPort().lateBy = seconds(8);
    REQUIRE(world.submit(0, FleetWorld::job("a", 2, "ms=3000")) == JobAnswer::Accepted);
    world.clock.advance(milliseconds(100));
    REQUIRE(world.runners.runningCount() == 0);
    world.coordinatorsPort().lateShare = 0;
    SUBCASE("restart before the order counts as unanswered") { }
    SUBCASE("restart after the worker was told to refuse the run")
    {
        world.clock.advance(milliseconds(4500));
    }
    world.runners.restart("w0");
    world.publish("w0");
    world.clock.advance(seconds(8));
    world.checkCompleted(2);
}

// Guards against TWICE: work whose end was reported late was started again.
TEST_CASE("the late end of a run that was considered lost counts although another run is assigned")
{
    SchedulerHarness harness(2);
    harness.add("a", {SchedulerHarness::step(1)});
    const StartOrder first = harness.planAndStart().at(0);
    harness.silent.insert(first.worker);
    for (int i = 0; i < 75; ++i) { // until its lease has run out
        harness.now += milliseconds(100);
        harness.reportWorkers();
        harness.scheduler.plan(harness.now); // assigns the next run, whose record is not stored yet
    }
    REQUIRE(harness.scheduler.jobs().at(JobId("a"))->tasks.front().progress.run.value == 2);
    harness.silent.clear();
    harness.endRun(first, RunOutcome::Done);
    harness.reportWorkers();
    CHECK(harness.state("a") == JobState::Completed);
    CHECK(harness.planAndStart().empty());
}
