// How certain the evidence of a crash is, and what follows from the losses of a task.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"
#include "scheduling/crashevidence_p.h"

using namespace monsoonledge;

namespace {

constexpr std::uint64_t OrderMs = 1700000000000;

StartLoss loss(const std::string &worker, LossEnd end, bool isConfirmed = false)
{
    StartLoss result;
    result.worker = WorkerId(worker);
    result.place = "z/" + worker;
    result.end = end;
    result.isConfirmed = isConfirmed;
    result.wasReachable = true;
    result.isOnlySuspect = true;
    return result;
}

CrashCertainty certaintyOf(const StartLoss &single)
{
    return assessLoss(single, nullptr, 0).certainty;
}

NextBirth birth(std::uint64_t bornMs, std::uint64_t nowMs = OrderMs + 60000)
{
    return classifyBirth({bornMs}, {OrderMs}, milliseconds(5500), {nowMs});
}

} // namespace

// Guards against jobs that are failed or spared because of a time that nobody has measured.
TEST_CASE("a birth that is missing, in the future or no Unix time in ms says nothing")
{
    CHECK(birth(0) == NextBirth::Unknown);
    CHECK(birth(2000) == NextBirth::Unknown);
    CHECK(birth(OrderMs / 1000) == NextBirth::Unknown); // in s
    CHECK(birth(OrderMs + 3000, OrderMs + 1000) == NextBirth::Unknown);
    CHECK(classifyBirth({OrderMs}, {}, milliseconds(5500), {OrderMs}) == NextBirth::Unknown);
    CHECK(birth(OrderMs - 2000) == NextBirth::BeforeOrder);
    CHECK(birth(OrderMs - 200) == NextBirth::RightAfter); // clocks differ a little
    CHECK(birth(OrderMs + 5500) == NextBirth::RightAfter);
    CHECK(birth(OrderMs + 5501) == NextBirth::Later);
}

// Guards against LOST: losses that a start cannot have caused count against its task.
TEST_CASE("a loss that is explained otherwise is no evidence")
{
    CHECK(certaintyOf(loss("a", LossEnd::Unknown, true)) == CrashCertainty::None);
    CHECK(certaintyOf(loss("a", LossEnd::BeforeOrder)) == CrashCertainty::None);
    StartLoss silent = loss("a", LossEnd::RightAfter);
    silent.wasReachable = false;
    CHECK(certaintyOf(silent) == CrashCertainty::None);
    StartLoss withItsRack = loss("a", LossEnd::Removed, true);
    withItsRack.isCorrelated = true;
    CHECK(certaintyOf(withItsRack) == CrashCertainty::None);
    StartLoss shared = loss("a", LossEnd::Removed, true);
    shared.isOnlySuspect = false;
    CHECK(certaintyOf(shared) == CrashCertainty::None);
    std::vector<StartLoss> losses(7, loss("a", LossEnd::Unknown, true));
    CHECK(decideNextStart(0, losses) == CrashAction::Delay);
}

// Guards against LOST: starts that wait for evidence which could decide nothing.
TEST_CASE("a start waits for evidence only if it could fail the job")
{
    std::vector<StartLoss> losses{loss("a", LossEnd::Unknown, true)};
    CHECK(decideNextStart(0, losses) == CrashAction::StartIsolated);
    losses.push_back(loss("b", LossEnd::Unknown, true));
    CHECK(decideNextStart(0, losses) == CrashAction::Delay);
    losses.back().isCorrelated = true;
    CHECK(decideNextStart(0, losses) == CrashAction::StartIsolated);
    losses = {loss("a", LossEnd::Removed), loss("b", LossEnd::Unknown)};
    CHECK(decideNextStart(0, losses) == CrashAction::StartIsolated);
    losses.insert(losses.begin(), {loss("c", LossEnd::Removed), loss("d", LossEnd::Removed)});
    CHECK(decideNextStart(0, losses) == CrashAction::Delay);
}

TEST_CASE("the certainty of a crash follows from the start and the end of the worker")
{
    CHECK(certaintyOf(loss("a", LossEnd::RightAfter, true)) == CrashCertainty::Proven);
    CHECK(certaintyOf(loss("a", LossEnd::RightAfter)) == CrashCertainty::Likely);
    CHECK(certaintyOf(loss("a", LossEnd::Removed)) == CrashCertainty::Likely);
    CHECK(certaintyOf(loss("a", LossEnd::Later, true)) == CrashCertainty::Likely);
    StartLoss withItsRack = loss("a", LossEnd::RightAfter, true);
    withItsRack.isCorrelated = true;
    CHECK(certaintyOf(withItsRack) == CrashCertainty::Possible);
}

TEST_CASE("the lost workers of a rack or failure domain explain a loss")
{
    CHECK_FALSE(isCorrelated({19, 1}, {115, 1}));
    CHECK_FALSE(isCorrelated({19, 4}, {115, 4}));
    CHECK(isCorrelated({19, 5}, {115, 5}));
    CHECK(isCorrelated({19, 2}, {115, 40}));
    CHECK_FALSE(isCorrelated({1, 1}, {2, 1}));
}

// Guards against BUDGET: losses without proof never added up.
TEST_CASE("a task is given up after two proven crashes, four likely ones, or five suspect losses")
{
    CHECK(decideNextStart(0, {}) == CrashAction::StartAtOnce);
    std::vector<StartLoss> losses{loss("a", LossEnd::RightAfter, true)};
    CHECK(decideNextStart(1, losses) == CrashAction::StartIsolated);
    losses.push_back(loss("b", LossEnd::RightAfter, true));
    CHECK(decideNextStart(2, losses) == CrashAction::GiveUp);

    losses = {loss("a", LossEnd::Removed), loss("b", LossEnd::RightAfter),
              loss("c", LossEnd::Removed)};
    CHECK(decideNextStart(0, losses) == CrashAction::StartIsolated);
    losses.push_back(loss("d", LossEnd::RightAfter));
    CHECK(decideNextStart(0, losses) == CrashAction::GiveUp);

    losses.clear(); // all in one place
    for (const char *id : {"a", "b", "c", "d", "e"}) {
        CHECK(decideNextStart(0, losses) != CrashAction::GiveUp);
        losses.push_back(loss(id, LossEnd::Removed));
        losses.back().place = "z/rack";
    }
    CHECK(decideNextStart(0, losses) == CrashAction::GiveUp);
    // A record of the previous code has crashes and no losses.
    CHECK(decideNextStart(2, {}) == CrashAction::GiveUp);
}

// Guards against BUDGET: the loss is known only when the next incarnation is registered.
TEST_CASE("a loss becomes a crash when the next incarnation was born right after the start")
{
    SchedulerHarness harness(3);
    harness.scheduler.setWallClock({OrderMs}, harness.now);
    harness.add("a", {SchedulerHarness::step(1)});
    for (int round = 0; round < 2; ++round) {
        std::vector<StartOrder> starts;
        for (int tick = 0; tick < 60 && starts.empty(); ++tick) {
            harness.now += milliseconds(100);
            harness.reportWorkers();
            starts = harness.planAndStart();
        }
        REQUIRE(starts.size() == 1);
        const WorkerId id = starts.front().worker;
        const auto &task = harness.scheduler.jobs().at(JobId("a"))->tasks.front();
        const std::uint64_t orderedMs = task.progress.orderedAt.value;
        harness.silent.insert(id);
        harness.running[id].clear();
        for (int tick = 0; tick < 100 && task.progress.phase == TaskPhase::Assigned; ++tick) {
            harness.now += milliseconds(100);
            harness.reportWorkers();
            harness.scheduler.plan(harness.now);
        }
        CHECK(task.progress.crashes == round);
        for (WorkerEntry &entry : harness.entries) {
            if (entry.id == id)
                entry.incarnation.value = orderedMs + 3000;
        }
        harness.scheduler.setWorkers(harness.entries, harness.now);
        harness.scheduler.plan(harness.now + milliseconds(60));
        CHECK(task.progress.crashes == round + 1);
    }
    CHECK(harness.state("a") == JobState::Failed);
}

// Guards against BUDGET by bad input: another worker's report must not clear a suspect.
TEST_CASE("a worker that reports the run of another worker does not clear its task")
{
    SchedulerHarness harness(2);
    harness.add("a", {SchedulerHarness::step(1)});
    const std::vector<StartOrder> starts = harness.planAndStart();
    REQUIRE(starts.size() == 1);
    const WorkerId other(starts.front().worker == WorkerId("w0") ? "w1" : "w0");
    harness.running[other] = std::exchange(harness.running[starts.front().worker], {});
    harness.silent = {starts.front().worker};
    harness.now += milliseconds(300);
    harness.reportWorkers();
    const auto &task = harness.scheduler.jobs().at(JobId("a"))->tasks.front();
    CHECK_FALSE(task.hasSurvivedStart);
    const std::vector<StopOrder> stops = harness.scheduler.takeStops();
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().worker == other);
}

// Guards against costly interruptions: the worker with the fewest runs had a serving task.
TEST_CASE("a suspect starts where nothing runs that is costly to lose")
{
    SchedulerHarness harness(5);
    StepSpec serving = SchedulerHarness::step(3);
    serving.longRunning = true;
    serving.antiAffinity = 1;
    serving.requirement = "r0";
    StepSpec ordinary = SchedulerHarness::step(6, 1000, seconds(100));
    ordinary.antiAffinity = 3;
    ordinary.requirement = "r1";
    harness.add("serving", {serving}); // one run on each of w0, w2 and w4
    harness.add("ordinary", {ordinary}); // three runs on each of w1 and w3
    REQUIRE(harness.planAndStart().size() == 9);
    harness.now += seconds(20);
    harness.reportWorkers();
    harness.add("a", {SchedulerHarness::step(1)});
    const std::vector<StartOrder> starts = harness.planAndStart();
    REQUIRE(starts.size() == 1);
    const WorkerId lost = starts.front().worker;
    REQUIRE((lost == WorkerId("w1") || lost == WorkerId("w3")));
    harness.running[lost].clear();
    for (WorkerEntry &entry : harness.entries)
        entry.incarnation.value += entry.id == lost ? 1 : 0;
    harness.scheduler.setWorkers(harness.entries, harness.now);
    harness.now += milliseconds(200);
    harness.reportWorkers();
    harness.planAndStart();
    const auto &task = harness.scheduler.jobs().at(JobId("a"))->tasks.front();
    CHECK(task.progress.lostStarts == 1);
    CHECK(task.progress.worker == WorkerId(lost == WorkerId("w1") ? "w3" : "w1"));
}
