// Cancellations that reach the store before the submission of their job.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"

using namespace monsoonledge;

namespace {

constexpr Duration LateWrite = seconds(5); // after which the store carries out a late write

/// A deployment in which a submission is on its way when its job is cancelled.
struct CancellationWorld : FleetWorld
{
    explicit CancellationWorld(bool hasRelays) : FleetWorld(4, 4, 1, hasRelays)
    {
        clock.advance(seconds(4)); // all processes have read the relay addresses
        REQUIRE(coordinator() >= 0);
        cut = (coordinator() + 1) % 4;
        other = (coordinator() + 2) % 4;
    }

    /// Submits a job at `cut` without waiting. Its client then leaves.
    void beginSubmission()
    {
        node(cut).submit(
                job("a", 2, "ms=500"), clock.now() + seconds(3), [](JobAnswer, Time) {},
                clock.now());
        clock.advance(milliseconds(150));
    }

    bool isStored() const { return store.items().count("jobs/in/spec/a") > 0; }
    std::size_t cancellationKeys() const
    {
        std::size_t count = 0;
        for (const auto &[key, item] : store.items())
            count += key.rfind("jobs/in/cancel/", 0) == 0 ? 1 : 0;
        return count;
    }

    /// The submission is stored although its job was cancelled, and no task starts.
    void checkNothingStarts()
    {
        clock.advance(LateWrite + seconds(6));
        CHECK(isStored());
        CHECK(runners.starts.empty());
        CHECK(state(other, "a") == JobState::Cancelled);
    }

    int cut = -1; // a process that is not the coordinator
    int other = -1; // another one
};

} // namespace

// Guards against UNASKED: the cut-off process has the job stored by another one after the
// cancellation was answered.
TEST_CASE("a job does not run if its cancellation overtakes its submission through another process")
{
    CancellationWorld world(true);
    world.process(world.cut).store->silent = true;
    world.beginSubmission();
    REQUIRE(world.cancel(world.other, "a") == JobAnswer::NotFound);
    world.checkNothingStarts();
}

// Guards against UNASKED: the store carries out the submission seconds late.
TEST_CASE("a job does not run if the store writes its submission after its cancellation")
{
    enum class Meanwhile { Nothing, CoordinatorKilled, Compaction, CoordinatorDrained };
    for (const Meanwhile meanwhile : {Meanwhile::Nothing, Meanwhile::CoordinatorKilled,
                                      Meanwhile::Compaction, Meanwhile::CoordinatorDrained}) {
        CAPTURE(static_cast<int>(meanwhile));
        CancellationWorld world(false);
        world.process(world.cut).store->losesAnswers = true;
        world.process(world.cut).store->lostAreLate = LateWrite;
        world.beginSubmission();
        REQUIRE(world.cancel(world.other, "a") == JobAnswer::NotFound);
        REQUIRE_FALSE(world.isStored());
        const int coordinator = world.coordinator();
        REQUIRE(coordinator >= 0);
        if (meanwhile == Meanwhile::CoordinatorKilled)
            world.kill(coordinator);
        if (meanwhile == Meanwhile::CoordinatorDrained)
            world.node(coordinator).drain();
        if (meanwhile == Meanwhile::Compaction)
            world.store.compact();
        world.checkNothingStarts();
    }
}

// Guards against UNASKED: both requests are in the same process.
TEST_CASE("a job does not run if the process that cancels it still writes its submission")
{
    CancellationWorld world(false);
    world.process(world.cut).store->losesAnswers = true;
    world.process(world.cut).store->lostAreLate = LateWrite;
    world.beginSubmission();
    world.process(world.cut).store->losesAnswers = false;
    REQUIRE(world.cancel(world.cut, "a") == JobAnswer::NotFound);
    REQUIRE(world.cancel(world.cut, "a") == JobAnswer::NotFound); // from memory
    world.checkNothingStarts();
}

// Guards against keys that stay in the store for good when clients cancel jobs that never existed.
TEST_CASE("the cancellation of an unknown job is removed when no submission can follow it")
{
    CancellationWorld world(false);
    for (int i = 0; i < 40; ++i)
        REQUIRE(world.cancel(i % 4, "never" + std::to_string(i)) == JobAnswer::NotFound);
    CHECK(world.cancellationKeys() == 40);
    world.clock.advance(FleetSettings().finishedJobRetention - seconds(10));
    CHECK(world.cancellationKeys() == 40);
    world.clock.advance(seconds(20));
    CHECK(world.cancellationKeys() == 0);
    REQUIRE(world.submit(0, FleetWorld::job("never1")) == JobAnswer::Accepted);
    CHECK(world.wait([&] { return world.state(0, "never1") == JobState::Completed; }));
}

// Guards against a removal of the cancellation while the submission is being stored.
TEST_CASE("the cancellation of a job that was stored late is kept as long as the job")
{
    CancellationWorld world(false);
    world.process(world.cut).store->losesAnswers = true;
    world.process(world.cut).store->lostAreLate = LateWrite;
    world.beginSubmission();
    REQUIRE(world.cancel(world.other, "a") == JobAnswer::NotFound);
    world.checkNothingStarts();
    world.clock.advance(FleetSettings().finishedJobRetention - seconds(10));
    CHECK(world.cancellationKeys() == 1);
    CHECK(world.isStored());
    world.clock.advance(seconds(20));
    CHECK(world.cancellationKeys() == 0);
    CHECK_FALSE(world.isStored());
    CHECK(world.runners.starts.empty());
}

// Guards against a store that fills up, because its keys are kept for minutes.
TEST_CASE("cancellations of unknown jobs are refused above a limit, others are not")
{
    CancellationWorld world(false);
    REQUIRE(world.submit(0, FleetWorld::job("known", 2, "ms=60000")) == JobAnswer::Accepted);
    world.maxUnknownCancellations = 100;
    for (int i = 0; i < 4; ++i)
        world.start(i);
    for (std::size_t i = 0; i < world.maxUnknownCancellations; ++i)
        world.store.put("jobs/in/cancel/never" + std::to_string(i), "p0");
    world.clock.advance(seconds(3));
    for (int i = 0; i < 4; ++i)
        CHECK(world.cancel(i, "another" + std::to_string(i)) == JobAnswer::Overloaded);
    CHECK(world.cancel(0, "known") == JobAnswer::Accepted);
    CHECK(world.cancel(0, "never1") == JobAnswer::NotFound);
}
