// Moves of runs off closed domains: the choice from values, and the scheduler's stop orders.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "evacuation/evacuation.h"
#include "fakes/evacuationharness.h"

using namespace monsoonledge;

namespace {

MoveTarget target(std::int64_t cpu, std::int64_t total = 16000)
{
    return {ServiceId("desk"), total, cpu, cpu, 64000, 0, {}};
}

MovableRun movable(const std::string &job, int index, std::int64_t cpu = 1000)
{
    MovableRun run;
    run.task = {JobId(job), 0, 0, index};
    run.need.service = ServiceId("desk");
    run.need.cpu = cpu;
    run.need.memory = 100;
    run.longRunning = true;
    run.isWorking = true;
    return run;
}

std::vector<std::string> chosenOf(const MoveInput &input, std::size_t max = 100)
{
    std::vector<std::string> names;
    for (const TaskRef &task : chooseMoves(input, max))
        names.push_back(task.job.str() + std::to_string(task.index));
    return names;
}

using Names = std::vector<std::string>;

} // namespace

// [1] Moves, from values

TEST_CASE("moves: cheapest first, and no more than asked for")
{
    MoveInput input{{target(16000)}, {}, {}};
    input.runs = {movable("large", 0, 4000), movable("small", 0, 500), movable("idle", 0, 3000),
                  movable("resumes", 0, 2000)};
    input.runs[2].isWorking = false;
    input.runs[3].longRunning = false;
    input.runs[3].remaining = seconds(30);
    CHECK(chosenOf(input) == Names{"idle0", "resumes0", "small0", "large0"});
    CHECK(chosenOf(input, 2) == Names{"idle0", "resumes0"});
}

TEST_CASE("moves: nothing is stopped that has no room elsewhere")
{
    CHECK(chosenOf({{}, {}, {movable("a", 0)}}).empty());
    MoveInput input{{target(5000, 5000)}, {}, {}};
    for (int i = 0; i < 8; ++i)
        input.runs.push_back(movable("a", i, 1000));
    CHECK(chosenOf(input).size() == 4); // a tenth stays free for shorter work
    input.targets = {target(900), target(900), target(16000)};
    input.targets[2].service = ServiceId("other");
    CHECK(chosenOf(input).empty());
    input.targets = {target(16000)};
    input.runs[0].need.requirement = "ssd";
    CHECK(chosenOf(input).size() == 7);
    input.targets[0].memory = 250;
    CHECK(chosenOf(input).size() == 2);
}

TEST_CASE("moves: runs that were stopped and wait take their room first")
{
    MoveInput input{{target(16000)}, {}, {movable("a", 0, 4000)}};
    input.claims.push_back(movable("b", 0, 12000).need);
    CHECK(chosenOf(input).empty());
    input.claims.front().cpu = 20000; // does not fit anywhere: smaller runs must not take the rest
    CHECK(chosenOf(input).empty());
    input.claims.front().requirement = "ssd"; // waits for other workers
    CHECK(chosenOf(input) == Names{"a0"});
}

TEST_CASE("moves: short runs and best-effort runs near their end finish where they are")
{
    MoveInput input{{target(16000)}, {}, {movable("near", 0), movable("far", 0)}};
    for (MovableRun &run : input.runs) {
        run.longRunning = false;
        run.need.bestEffort = true;
    }
    input.runs[0].remaining = MinRemainingToMove - milliseconds(1);
    input.runs[1].remaining = MinRemainingToMove;
    CHECK(chosenOf(input) == Names{"far0"});
}

TEST_CASE("moves: AVAIL: no more tasks of a step than MaxUnavailable, whatever the cause")
{
    MoveInput input{{target(16000)}, {}, {}};
    for (int i = 0; i < 4; ++i) {
        input.runs.push_back(movable("a", i));
        input.runs.back().maxUnavailable = 2;
    }
    CHECK(chosenOf(input).size() == 2);
    for (MovableRun &run : input.runs)
        run.unavailable = 1; // one task elsewhere is lost
    CHECK(chosenOf(input).size() == 1);
    for (MovableRun &run : input.runs)
        run.unavailable = 2;
    CHECK(chosenOf(input).empty());
    input.runs[0].isWorking = false; // is itself one of the two
    CHECK(chosenOf(input) == Names{"a0"});
    for (MovableRun &run : input.runs)
        run.maxUnavailable = 0;
    CHECK(chosenOf(input).size() == 4);
}

// [2] Moves, by the scheduler

namespace {

StepSpec servingStep(int count, std::uint64_t cpu = 1000, int maxUnavailable = 0)
{
    StepSpec step = SchedulerHarness::step(count, cpu);
    step.longRunning = true;
    step.maxUnavailable = maxUnavailable;
    return step;
}

/// Sets the progress that the workers report for all their runs.
void reportPercent(SchedulerHarness &harness, int percent)
{
    for (auto &[id, runs] : harness.running) {
        for (ActiveRun &run : runs)
            run.percent = percent;
    }
    harness.reportWorkers();
}

int runsIn(const SchedulerHarness &harness, const std::string &domain)
{
    int runs = 0;
    for (const WorkerEntry &entry : harness.entries) {
        const auto found = harness.running.find(entry.id);
        if (entry.domain.str() == domain && found != harness.running.end())
            runs += static_cast<int>(found->second.size());
    }
    return runs;
}

/// Carries out all stop orders, and returns them.
std::vector<StopOrder> stopAll(SchedulerHarness &harness)
{
    std::vector<StopOrder> stops = harness.scheduler.takeStops();
    for (const StopOrder &stop : stops) {
        StartOrder order;
        order.task = stop.task;
        order.run = stop.run;
        order.worker = stop.worker;
        harness.endRun(order, RunOutcome::Stopped);
        harness.scheduler.onStopAnswered(stop, true, harness.now);
    }
    return stops;
}

/// Lets runs that were started become ready, and moves runs for this long. Returns the most tasks
/// that were stopped and not ready at any time.
int moveFor(EvacuationHarness &harness, Duration time, Duration readyAfter = seconds(1))
{
    int most = 0;
    std::map<std::pair<std::string, std::uint64_t>, Time> startedAt;
    std::size_t total = 0;
    for (const auto &[id, runs] : harness.running)
        total += runs.size();
    for (const Time end = harness.now + time; harness.now < end;) {
        harness.passTime(milliseconds(100));
        for (const StartOrder &order : harness.planAndStart())
            startedAt[{formatTaskRef(order.task), order.run.value}] = harness.now;
        stopAll(harness);
        std::size_t ready = 0;
        for (auto &[id, runs] : harness.running) {
            for (ActiveRun &run : runs) {
                const auto started = startedAt.find({formatTaskRef(run.task), run.run.value});
                const bool isReady =
                        started == startedAt.end() || harness.now - started->second >= readyAfter;
                run.percent = isReady ? 100 : 10;
                ready += isReady ? 1 : 0;
            }
        }
        most = std::max(most, static_cast<int>(total - ready));
    }
    return most;
}

/// Number of log lines of an event about a domain.
int countEvents(const SchedulerHarness &harness, const std::string &event,
                const std::string &domain)
{
    return static_cast<int>(
            std::count_if(harness.log.begin(), harness.log.end(), [&](const LogEvent &line) {
                return line.event == event
                       && line.fields.front()
                                  == std::pair<std::string, std::string>("evacuated", domain);
            }));
}

} // namespace

TEST_CASE("AVAIL: long-running runs are moved off a closed domain within MaxUnavailable")
{
    EvacuationHarness harness(4, 16000);
    harness.closeDomains({"z1"}); // so that all of them start in the other domain
    harness.add("serving", {servingStep(10, 1000, 2)});
    REQUIRE(harness.planAndStart().size() == 10);
    reportPercent(harness, 100);
    harness.closeDomains({"z0"});
    const int most = moveFor(harness, seconds(15));
    CHECK(most > 0);
    CHECK(most <= 2);
    CHECK(runsIn(harness, "z0") == 0);
    CHECK(runsIn(harness, "z1") == 10);
    CHECK(harness.scheduler.tasksToMove() == 0);
    CHECK(countEvents(harness, "evacuation-first-move", "z0") == 1);
    CHECK(countEvents(harness, "evacuation-emptied", "z0") == 1);
}

TEST_CASE("AVAIL: tasks that are unavailable for another cause count")
{
    EvacuationHarness harness(4, 16000);
    harness.closeDomains({"z1"});
    harness.add("serving", {servingStep(4, 1000, 1)});
    const std::vector<StartOrder> starts = harness.planAndStart();
    REQUIRE(starts.size() == 4);
    reportPercent(harness, 100);
    SUBCASE("one is not ready")
    {
        harness.running.begin()->second.front().percent = 40;
        // The one that is not ready itself may be moved: its step loses nothing by it.
        harness.closeDomains({"z0"});
        harness.passTime(milliseconds(100));
        harness.planAndStart();
        const std::vector<StopOrder> stops = stopAll(harness);
        CHECK(stops.size() <= 1);
        for (const StopOrder &stop : stops)
            CHECK(stop.task == starts.front().task);
    }
    SUBCASE("one is lost with its worker")
    {
        harness.running.begin()->second.erase(harness.running.begin()->second.begin());
        harness.closeDomains({"z0", "z1"}); // it finds no worker
        for (int i = 0; i < 20; ++i) {
            harness.passTime(milliseconds(100));
            harness.planAndStart();
        }
        CHECK(harness.scheduler.takeStops().empty());
    }
}

TEST_CASE("without room in open domains runs stay in the closed one and go on")
{
    EvacuationHarness harness(2, 8000);
    harness.closeDomains({"z1"});
    harness.add("serving", {servingStep(8)});
    REQUIRE(harness.planAndStart().size() == 8);
    reportPercent(harness, 100);
    SUBCASE("all domains are closed")
    {
        harness.closeDomains({"z0", "z1"});
        moveFor(harness, seconds(5));
        CHECK(runsIn(harness, "z0") == 8);
        CHECK(harness.scheduler.tasksToMove() == 8);
    }
    SUBCASE("the other domain has less room than they need")
    {
        harness.closeDomains({"z0"});
        moveFor(harness, seconds(10));
        CHECK(runsIn(harness, "z0") + runsIn(harness, "z1") == 8);
        CHECK(runsIn(harness, "z1") == 7); // a tenth stays free
    }
    SUBCASE("the other domain cannot be reached")
    {
        harness.silent.insert(harness.entries[1].id);
        harness.now += seconds(3);
        harness.closeDomains({"z0"});
        moveFor(harness, seconds(5));
        CHECK(runsIn(harness, "z0") == 8);
    }
    CHECK(countEvents(harness, "evacuation-emptied", "z0") == 0);
}

TEST_CASE("short runs finish in the closed domain and checkpointing ones resume elsewhere")
{
    EvacuationHarness harness(2);
    harness.closeDomains({"z1"});
    StepSpec checkpointing = SchedulerHarness::step(1, 1000, seconds(30));
    checkpointing.checkpointing = true;
    StepSpec nearEnd = checkpointing;
    nearEnd.estimate = seconds(2);
    harness.add("short", {SchedulerHarness::step(1, 1000, seconds(30))});
    harness.add("resumes", {checkpointing});
    harness.add("near", {nearEnd});
    REQUIRE(harness.planAndStart().size() == 3);
    harness.passTime(milliseconds(100));
    harness.closeDomains({"z0"});
    harness.planAndStart();
    const std::vector<StopOrder> stops = stopAll(harness);
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().task.job.str() == "resumes");
}

TEST_CASE("a successor of the coordinator moves nothing before it knows the state of the step")
{
    EvacuationHarness harness(2);
    JobSpec spec;
    spec.id = JobId("serving");
    spec.queue = QueueId("urgent");
    spec.steps = {servingStep(4, 1000, 1)};
    JobProgress progress;
    progress.state = JobState::Active;
    for (int i = 0; i < 4; ++i) {
        TaskProgress task;
        task.phase = TaskPhase::Assigned;
        task.run.value = 1;
        task.worker = WorkerId(i < 2 ? "w0" : "w7"); // the second one has not answered yet
        task.incarnation.value = 1;
        progress.tasks.push_back(task);
        if (i < 2)
            harness.running[WorkerId("w0")].push_back({{spec.id, 0, 0, i}, {1}, {}, 100, 0});
    }
    harness.scheduler.addJob(spec, progress, harness.now, harness.now);
    harness.closeDomains({"z0"});
    for (int i = 0; i < 20; ++i) {
        harness.passTime(milliseconds(100));
        harness.planAndStart();
    }
    CHECK(harness.scheduler.takeStops().empty());
}

TEST_CASE("a run is not stopped that a limit of its step keeps from the open domain")
{
    EvacuationHarness harness(2);
    StepSpec step = servingStep(2);
    step.antiAffinity = 1; // there is room in the open domain, but not for two of them
    harness.add("serving", {step});
    REQUIRE(harness.planAndStart().size() == 2);
    reportPercent(harness, 100);
    harness.closeDomains({"z0"});
    moveFor(harness, seconds(3));
    CHECK(runsIn(harness, "z0") == 1);
    CHECK(runsIn(harness, "z1") == 1);
    CHECK(countEvents(harness, "evacuation-first-move", "z0") == 0);
}

TEST_CASE("an unknown domain is logged once")
{
    EvacuationHarness harness(2);
    harness.closeDomains({"nowhere"});
    moveFor(harness, seconds(1));
    CHECK(countEvents(harness, "evacuation-domain-unknown", "nowhere") == 1);
    CHECK(harness.scheduler.tasksToMove() == 0);
}

// [3] Draining

TEST_CASE("DRAIN: a draining worker gets no start")
{
    EvacuationHarness harness(1);
    harness.add("a", {SchedulerHarness::step(1)});
    SUBCASE("it drains before the assignment")
    {
        harness.entries[0].draining = true;
        harness.scheduler.setWorkers(harness.entries, harness.now);
        CHECK(harness.planAndStart().empty());
    }
    SUBCASE("it drains while the record of the assignment is being stored")
    {
        harness.scheduler.plan(harness.now);
        const std::vector<JobChange> changes = harness.scheduler.takeChanges(100);
        REQUIRE(changes.size() == 1);
        harness.entries[0].draining = true;
        harness.scheduler.setWorkers(harness.entries, harness.now);
        for (const JobChange &change : changes)
            harness.scheduler.onSaved(change.job, change.version, harness.now);
        CHECK(harness.scheduler.takeStarts().empty());
    }
    SUBCASE("it drains after its domain was opened again")
    {
        harness.closeDomains({"z0"});
        harness.entries[0].draining = true;
        harness.scheduler.setWorkers(harness.entries, harness.now);
        harness.closeDomains({});
        CHECK(harness.planAndStart().empty());
    }
    // Nothing may be assigned there either, although the check before a start would catch it.
    harness.log.clear();
    harness.passTime(seconds(1));
    CHECK(harness.planAndStart().empty());
    CHECK(std::none_of(harness.log.begin(), harness.log.end(),
                       [](const LogEvent &event) { return event.event == "tasks-assigned"; }));
}
