// The query where a job would be placed: it agrees with the placement that follows, names the
// reasons of the log, and has no effect.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"
#include "scheduling/explanation.h"

#include <functional>

using namespace monsoonledge;

namespace {

using Obstacles = std::map<std::string, int>;
using Prepare = std::function<void(SchedulerHarness &, StepSpec &)>;

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
    std::string text = std::to_string(harness.log.size()) + ' '
                       + std::to_string(harness.scheduler.jobs().size())
                       + (harness.scheduler.hasChanges() ? " changed" : "");
    for (const auto &[id, worker] : harness.scheduler.workers()) {
        text += '\n' + id.str() + ' ' + std::to_string(worker->reservedCpu) + ' '
                + std::to_string(worker->reservedMemory) + ' '
                + std::to_string(worker->reservedServingCpu) + ' '
                + std::to_string(worker->bestEffortCpu) + ' '
                + std::to_string(worker->changedInPass);
        for (const ScheduledTask *task : worker->tasks)
            text += ' ' + formatTaskRef(task->ref) + '@' + task->worker->entry.id.str();
    }
    return text;
}

/// The workers of the job's tasks, by step and index.
std::map<std::pair<int, int>, std::string> startsOf(const std::vector<StartOrder> &orders)
{
    std::map<std::pair<int, int>, std::string> result;
    for (const StartOrder &order : orders)
        result[{order.task.step, order.task.index}] = order.worker.str();
    return result;
}

/// Fails runs of several jobs on worker 0, so that it is quarantined.
void quarantine(SchedulerHarness &harness)
{
    for (int i = 0; i < 3; ++i)
        harness.add("failing" + std::to_string(i), {SchedulerHarness::step(1)});
    for (const StartOrder &order : harness.planAndStart())
        harness.endRun(order, RunOutcome::Failed);
    harness.reportWorkers();
    for (int i = 0; i < 3; ++i)
        harness.scheduler.cancelJob(JobId("failing" + std::to_string(i)), harness.now);
}

/// A harness with one worker on which the start of a task was lost a moment ago.
void makeSuspect(SchedulerHarness &harness)
{
    harness.add("suspect", {SchedulerHarness::step(1)});
    harness.planAndStart();
    harness.running.clear();
    ++harness.entries[0].incarnation.value;
    harness.scheduler.setWorkers(harness.entries, harness.now);
    harness.reportWorkers();
    harness.now += milliseconds(200);
    harness.reportWorkers();
    REQUIRE(harness.planAndStart().size() == 1); // isolated now
}

} // namespace

TEST_CASE("the placement that follows is the one that was explained")
{
    SchedulerHarness harness(6);
    addLoad(harness);
    const PlacementExplanation answer =
            harness.scheduler.explainPlacement(jobOf(mixedSteps()), harness.now);
    harness.add("job", mixedSteps());
    const auto starts = startsOf(harness.planAndStart());
    std::size_t placed = 0;
    REQUIRE(answer.steps.size() == 5);
    for (const StepPlacement &step : answer.steps) {
        placed += static_cast<std::size_t>(step.placedTasks);
        for (const TaskPlacement &task : step.placements) {
            CAPTURE(step.step);
            CAPTURE(task.task);
            CHECK(starts.at({step.step, task.task}) == task.worker.str());
        }
    }
    CHECK(placed == starts.size());
    CHECK(answer.steps[1].gang);
    CHECK(answer.steps[2].placements.front().labels == std::vector<std::string>{"a", "r1"});
    CHECK(answer.steps[3].rule == "bestEffortGain");
    CHECK(answer.steps[4].rule == "servingImages");
}

// Guards against a query that leaves traces in reservations, caches or the table of images.
TEST_CASE("asking changes nothing: a scheduler that was asked decides like one that was not")
{
    SchedulerHarness asked(6);
    SchedulerHarness other(6);
    addLoad(asked);
    addLoad(other);
    for (int round = 0; round < 4; ++round) {
        const std::string before = describe(asked);
        for (int i = 0; i < 10; ++i)
            asked.scheduler.explainPlacement(jobOf(mixedSteps()), asked.now);
        CHECK(describe(asked) == before);
        for (SchedulerHarness *harness : {&asked, &other}) {
            harness->add("more" + std::to_string(round), {bestEffortStep(2, "report")}, "batch");
            harness->add("job" + std::to_string(round), {SchedulerHarness::step(3, 1200)});
        }
        const auto starts = startsOf(asked.planAndStart());
        CHECK(starts == startsOf(other.planAndStart()));
        CHECK(describe(asked) == describe(other));
        for (SchedulerHarness *harness : {&asked, &other}) {
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

TEST_CASE("very many tasks are examined in part")
{
    const SchedulerHarness harness(1, 1000000);
    const PlacementExplanation answer = harness.scheduler.explainPlacement(
            jobOf({SchedulerHarness::step(1000, 10)}), harness.now);
    CHECK(answer.steps[0].tasks == 1000);
    CHECK(answer.steps[0].examinedTasks == 400);
    CHECK(answer.steps[0].placedTasks == 400);
}

TEST_CASE("paused starts are stated; a repeated job is placed as if it were due")
{
    SchedulerHarness harness(1);
    harness.scheduler.setStartsPaused(true);
    JobSpec repeated = jobOf({SchedulerHarness::step(2)});
    repeated.occurrences = 3;
    repeated.firstDue.value = 1U << 30U;
    const PlacementExplanation answer = harness.scheduler.explainPlacement(repeated, harness.now);
    CHECK(answer.areStartsPaused);
    REQUIRE(answer.steps.size() == 1);
    CHECK(answer.steps[0].placedTasks == 2);
}

TEST_CASE("each reason why there is no worker is named")
{
    const std::vector<std::pair<std::string, Prepare>> cases{
            {"closedDomain",
             [](SchedulerHarness &harness, StepSpec &) {
                 harness.scheduler.setClosedDomains({DomainId()}, harness.now);
             }},
            {"unlisted",
             [](SchedulerHarness &harness, StepSpec &) {
                 harness.add("running", {SchedulerHarness::step(1)});
                 harness.planAndStart();
                 harness.scheduler.setWorkers({}, harness.now);
             }},
            {"draining",
             [](SchedulerHarness &harness, StepSpec &) {
                 harness.entries[0].draining = true;
                 harness.scheduler.setWorkers(harness.entries, harness.now);
             }},
            {"unreachable",
             [](SchedulerHarness &harness, StepSpec &) {
                 harness.silent.insert(WorkerId("w0"));
                 harness.scheduler.onUnreachable(WorkerId("w0"), harness.now);
             }},
            {"refusedStart",
             [](SchedulerHarness &harness, StepSpec &) {
                 harness.add("refused", {SchedulerHarness::step(1)});
                 harness.scheduler.plan(harness.now);
                 for (const JobChange &change : harness.scheduler.takeChanges(1))
                     harness.scheduler.onSaved(change.job, change.version, harness.now);
                 for (const StartOrder &order : harness.scheduler.takeStarts())
                     harness.scheduler.onStartAnswered(order, StartOutcome::NoRoom, harness.now);
             }},
            {"quarantined", [](SchedulerHarness &harness, StepSpec &) { quarantine(harness); }},
            {"onTrial",
             [](SchedulerHarness &harness, StepSpec &) {
                 quarantine(harness);
                 harness.now += seconds(5);
                 harness.reportWorkers();
                 harness.add("trial", {SchedulerHarness::step(1)});
                 REQUIRE(harness.planAndStart().size() == 1);
             }},
            {"otherService",
             [](SchedulerHarness &harness, StepSpec &) {
                 harness.entries[0].service = ServiceId("other");
                 harness.scheduler.setWorkers(harness.entries, harness.now);
             }},
            {"memory", [](SchedulerHarness &, StepSpec &step) { step.memory.value = 64001; }},
            {"accelerators", [](SchedulerHarness &, StepSpec &step) { step.accelerators = 1; }},
            {"processors", [](SchedulerHarness &, StepSpec &step) { step.cpu.value = 16001; }},
            {"label", [](SchedulerHarness &, StepSpec &step) { step.requirement = "r7"; }},
            {"antiAffinity",
             [](SchedulerHarness &, StepSpec &step) {
                 step.count = 2;
                 step.antiAffinity = 1;
             }},
            {"warmingUp",
             [](SchedulerHarness &harness, StepSpec &step) {
                 harness.entries[0].warmupLeft = seconds(60);
                 harness.scheduler.setWorkers(harness.entries, harness.now);
                 step.count = 2;
                 step.cpu.value = 6000;
             }},
            {"isolation", [](SchedulerHarness &harness, StepSpec &) { makeSuspect(harness); }},
            {"noGain",
             [](SchedulerHarness &harness, StepSpec &step) {
                 harness.add("full", {SchedulerHarness::step(1, 16000)});
                 harness.planAndStart();
                 step.bestEffort = true;
             }},
    };
    for (const auto &item : cases) {
        const std::string &name = item.first;
        CAPTURE(name);
        SchedulingSettings settings;
        settings.warmupOverage = 2;
        SchedulerHarness harness(1, 16000, 64000, settings);
        StepSpec step = SchedulerHarness::step(1);
        item.second(harness, step);
        harness.log.clear();
        const PlacementExplanation answer =
                harness.scheduler.explainPlacement(jobOf({step}), harness.now);
        CHECK(answer.steps[0].placedTasks == step.count - 1);
        const Obstacles expected{{name, 1}};
        CHECK(answer.steps[0].obstacles == expected);
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
    const auto line =
            std::find_if(harness.log.begin(), harness.log.end(),
                         [](const LogEvent &event) { return event.event == "task-waiting"; });
    REQUIRE(line != harness.log.end());
    Obstacles logged;
    const std::set<std::string> others{"task", "runs", "waitedMs", "objectiveInMs"};
    for (const auto &[name, value] : line->fields) {
        if (others.count(name) == 0)
            logged[name] = std::stoi(value);
    }
    CHECK(logged == explained);
}
