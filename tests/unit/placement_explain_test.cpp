// The query where a job would be placed: it agrees with the placement that follows, names the
// reasons of the log, and has no effect.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"
#include "scheduling/explanation.h"

#include <sstream>

using namespace monsoonledge;

namespace {

using Obstacles = std::map<std::string, int>;

JobSpec jobOf(const std::vector<StepSpec> &steps, const std::string &queue = "urgent")
{
    JobSpec spec;
    spec.queue = QueueId(queue);
    spec.steps = steps;
    return spec;
}

StepSpec bestEffortStep(int count, const std::string &image)
{
    StepSpec step = SchedulerHarness::step(count, 2000);
    step.bestEffort = true;
    step.image = image;
    return step;
}

/// Workers with ordinary, serving and best-effort tasks, unevenly full.
void addLoad(SchedulerHarness &harness)
{
    StepSpec serving = SchedulerHarness::step(5, 3000);
    serving.longRunning = true;
    serving.tailLatencyTarget = milliseconds(100);
    serving.image = "desk";
    serving.antiAffinity = 1;
    harness.add("serving", {serving});
    harness.add("ordinary", {SchedulerHarness::step(7, 2500)});
    harness.add("filling", {bestEffortStep(3, "report")}, "batch");
    harness.planAndStart();
    harness.now += milliseconds(300);
    harness.reportWorkers();
    harness.scheduler.plan(harness.now);
}

/// Serving tasks report tail latencies that differ by worker, best-effort tasks full use.
void reportInterference(SchedulerHarness &harness)
{
    double tail = 40;
    for (auto &[id, runs] : harness.running) {
        tail += 10;
        for (ActiveRun &run : runs) {
            const bool isServing = run.task.job == JobId("serving");
            run.percent = isServing ? 100 : 10;
            run.usage = isServing ? tail : 1800;
        }
    }
}

std::vector<StepSpec> mixedSteps()
{
    StepSpec gang = SchedulerHarness::step(3, 4000);
    gang.gang = true;
    StepSpec near = SchedulerHarness::step(2, 1000);
    near.affinity = "r1";
    StepSpec serving = SchedulerHarness::step(2, 1500);
    serving.longRunning = true;
    serving.tailLatencyTarget = milliseconds(50);
    serving.image = "other";
    return {SchedulerHarness::step(4, 3000), gang, near, bestEffortStep(4, "new"), serving};
}

/// All that the placement of later tasks depends on.
std::string describe(const SchedulerHarness &harness)
{
    std::ostringstream out;
    out << harness.log.size() << harness.scheduler.hasChanges();
    for (const auto &[id, worker] : harness.scheduler.workers()) {
        out << '\n'
            << id << ' ' << worker->reservedCpu << ' ' << worker->reservedMemory << ' '
            << worker->bestEffortCpu << ' ' << worker->changedInPass;
        for (const ScheduledTask *task : worker->tasks)
            out << ' ' << formatTaskRef(task->ref) << '@' << task->worker->entry.id;
    }
    return out.str();
}

/// Changes the step so that worker 0 cannot run all of its tasks, for those reasons that depend on
/// it.
void changeStep(const std::string &reason, StepSpec &step)
{
    if (reason == "memory")
        step.memory.value = 64001;
    if (reason == "accelerators")
        step.accelerators = 1;
    if (reason == "processors")
        step.cpu.value = 16001;
    if (reason == "label")
        step.requirement = "r7";
    if (reason == "antiAffinity" || reason == "warmingUp") {
        step.count = 2;
        step.cpu.value = 6000; // two of them are more than the share of a cold worker
        step.antiAffinity = reason == "antiAffinity" ? 1 : 0;
    }
    step.bestEffort = reason == "noGain";
}

/// Brings worker 0 into a state in which it takes no new task for this reason.
void changeWorker(const std::string &reason, SchedulerHarness &harness)
{
    const bool isFailing = reason == "quarantined" || reason == "onTrial";
    const bool hasRuns = isFailing || reason == "unlisted" || reason == "isolation";
    for (int i = 0; i < (hasRuns ? 3 : 0); ++i)
        harness.add("job" + std::to_string(i), {SchedulerHarness::step(1)});
    if (reason == "noGain")
        harness.add("full", {SchedulerHarness::step(1, 16000)});
    for (const StartOrder &order : harness.planAndStart()) {
        if (isFailing)
            harness.endRun(order, RunOutcome::Failed);
    }
    harness.reportWorkers();
    if (reason == "isolation") { // its runs were lost just after their start
        harness.running.clear();
        ++harness.entries[0].incarnation.value;
    }
    harness.entries[0].draining = reason == "draining";
    harness.entries[0].warmupLeft = seconds(reason == "warmingUp" ? 60 : 0);
    if (reason == "otherService")
        harness.entries[0].service = ServiceId("other");
    if (reason == "unlisted")
        harness.entries.clear();
    harness.scheduler.setWorkers(harness.entries, harness.now);
    harness.reportWorkers();
    if (reason == "closedDomain")
        harness.scheduler.setClosedDomains({DomainId()}, harness.now);
    if (reason == "unreachable")
        harness.scheduler.onUnreachable(WorkerId("w0"), harness.now);
    if (reason == "refusedStart") {
        harness.add("refused", {SchedulerHarness::step(1)});
        harness.scheduler.plan(harness.now);
        for (const JobChange &change : harness.scheduler.takeChanges(1))
            harness.scheduler.onSaved(change.job, change.version, harness.now);
        harness.scheduler.onStartAnswered(harness.scheduler.takeStarts().front(),
                                          StartOutcome::NoRoom, harness.now);
    }
    if (reason == "onTrial" || reason == "isolation") { // its next run shows whether it works
        harness.now += seconds(reason == "onTrial" ? 5 : 1);
        harness.reportWorkers();
        REQUIRE(harness.planAndStart().size() == 1);
    }
}

} // namespace

TEST_CASE("the placement that follows is the one that was explained")
{
    SchedulerHarness harness(6);
    addLoad(harness);
    const PlacementExplanation answer =
            harness.scheduler.explainPlacement(jobOf(mixedSteps()), harness.now);
    harness.add("job", mixedSteps());
    std::map<std::pair<int, int>, std::string> starts; // by step and index
    for (const StartOrder &order : harness.planAndStart())
        starts[{order.task.step, order.task.index}] = order.worker.str();
    REQUIRE(answer.steps.size() == 5);
    for (const StepPlacement &step : answer.steps) {
        for (const TaskPlacement &task : step.placements) {
            const auto start = starts.extract({step.step, task.task});
            REQUIRE(!start.empty());
            CHECK(start.mapped() == task.worker.str());
        }
    }
    CHECK(starts.empty());
    CHECK(answer.steps[1].gang);
    CHECK(answer.steps[2].placements.front().labels == std::vector<std::string>{"a", "r1"});
    CHECK(answer.steps[3].rule == "bestEffortGain");
    CHECK(answer.steps[4].rule == "servingImages");
}

// Guards against a query that leaves traces in reservations or in the caches of a pass. The
// serving tasks report interference, on which the choice of a worker for best-effort tasks depends.
TEST_CASE("asking changes nothing: a scheduler that was asked decides like one that was not")
{
    SchedulerHarness asked(6);
    SchedulerHarness other(6);
    addLoad(asked);
    addLoad(other);
    for (int round = 0; round < 20; ++round) {
        const std::string number = std::to_string(round);
        const std::string before = describe(asked);
        for (int i = 0; i < 10; ++i) {
            asked.scheduler.explainPlacement(jobOf(mixedSteps()), asked.now);
            const StepSpec step = bestEffortStep(4, number + "new" + std::to_string(i));
            asked.scheduler.explainPlacement(jobOf({step}, "batch"), asked.now);
        }
        CHECK(describe(asked) == before);
        for (SchedulerHarness *harness : {&asked, &other}) {
            harness->add("more" + number, {bestEffortStep(1, "report")}, "batch");
            harness->add("job" + number, {SchedulerHarness::step(1, 600)});
        }
        const std::vector<StartOrder> starts = asked.planAndStart();
        other.planAndStart();
        CHECK(describe(asked) == describe(other));
        for (SchedulerHarness *harness : {&asked, &other}) {
            reportInterference(*harness);
            for (const StartOrder &order : starts)
                harness->endRun(order, RunOutcome::Done);
            harness->now += milliseconds(70);
            harness->reportWorkers();
        }
    }
}

TEST_CASE("the tasks of all first steps take capacity from each other, later steps are left out")
{
    const SchedulerHarness harness(1);
    StepSpec later = SchedulerHarness::step(1);
    later.after = {0};
    const PlacementExplanation answer = harness.scheduler.explainPlacement(
            jobOf({SchedulerHarness::step(6, 2000), SchedulerHarness::step(3, 2000), later}),
            harness.now);
    REQUIRE(answer.steps.size() == 2);
    CHECK(answer.steps[0].placedTasks == 6);
    CHECK(answer.steps[0].placements[0].freeCpu == 16000);
    CHECK(answer.steps[0].placements[1].freeCpu == 14000);
    CHECK(answer.steps[0].placements[1].freeMemory == 63900);
    CHECK(answer.steps[0].placements[1].candidates == 1);
    CHECK(answer.steps[0].obstacles.empty());
    CHECK(answer.steps[1].placedTasks == 2);
    CHECK(answer.steps[1].placements[0].freeCpu == 4000);
    CHECK(answer.steps[1].obstacles == Obstacles{{"processors", 1}});
}

TEST_CASE("a gang is placed as a whole or not at all, and leaves the capacity to the next step")
{
    const SchedulerHarness harness(2);
    StepSpec gang = SchedulerHarness::step(3, 9000);
    gang.gang = true;
    const PlacementExplanation answer = harness.scheduler.explainPlacement(
            jobOf({gang, SchedulerHarness::step(30, 1000)}), harness.now);
    CHECK(answer.steps[0].placedTasks == 0);
    CHECK(answer.steps[0].placements.empty());
    CHECK(answer.steps[0].obstacles == Obstacles{{"processors", 2}});
    CHECK(answer.steps[1].placedTasks == 30);
    CHECK(answer.steps[1].placements.size() == 20);
}

TEST_CASE("paused starts are stated, a repeated job counts as due, very many tasks as a part")
{
    SchedulerHarness harness(1, 1000000);
    harness.scheduler.setStartsPaused(true);
    JobSpec repeated = jobOf({SchedulerHarness::step(1000, 10)});
    repeated.occurrences = 3;
    repeated.firstDue.value = 1U << 30U;
    const PlacementExplanation answer = harness.scheduler.explainPlacement(repeated, harness.now);
    CHECK(answer.areStartsPaused);
    REQUIRE(answer.steps.size() == 1);
    CHECK(answer.steps[0].tasks == 1000);
    CHECK(answer.steps[0].examinedTasks == 400);
    CHECK(answer.steps[0].placedTasks == 400);
}

TEST_CASE("each reason why there is no worker is named")
{
    for (const std::string name :
         {"closedDomain", "unlisted", "draining", "unreachable", "refusedStart", "quarantined",
          "onTrial", "otherService", "memory", "accelerators", "processors", "label",
          "antiAffinity", "warmingUp", "isolation", "noGain"}) {
        CAPTURE(name);
        SchedulingSettings settings;
        settings.warmupOverage = 2;
        SchedulerHarness harness(1, 16000, 64000, settings);
        StepSpec step = SchedulerHarness::step(1);
        changeStep(name, step);
        changeWorker(name, harness);
        harness.log.clear();
        const StepPlacement answer =
                harness.scheduler.explainPlacement(jobOf({step}), harness.now).steps[0];
        CHECK(answer.placedTasks == step.count - 1);
        CHECK(answer.obstacles.size() == 1);
        CHECK(answer.obstacles.count(name) == 1);
        CHECK(harness.log.empty());
    }
}

// Guards against reasons that differ from those in the log.
TEST_CASE("the reasons are those that the log states for the same job")
{
    SchedulerHarness harness(6);
    addLoad(harness);
    harness.entries[1].draining = true;
    harness.scheduler.setWorkers(harness.entries, harness.now);
    StepSpec step = SchedulerHarness::step(9, 9000);
    step.requirement = "r0";
    const Obstacles explained =
            harness.scheduler.explainPlacement(jobOf({step}), harness.now).steps[0].obstacles;
    harness.add("job", {step});
    harness.planAndStart();
    harness.log.clear();
    harness.now += milliseconds(2100);
    harness.reportWorkers();
    harness.scheduler.plan(harness.now);
    Obstacles logged;
    const std::set<std::string> others{"task", "runs", "waitedMs", "objectiveInMs"};
    for (const LogEvent &event : harness.log) {
        for (const auto &[name, value] : event.fields) {
            if (event.event == "task-waiting" && others.count(name) == 0)
                logged[name] = std::stoi(value);
        }
    }
    CHECK(logged == explained);
}
