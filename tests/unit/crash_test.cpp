// A task that crashes each worker that starts it: it is found and given up after a few crashes, and
// no task that was beside it is.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"

using namespace monsoonledge;

namespace {

/// A harness whose workers crash and are back at once as another incarnation.
class CrashHarness : public SchedulerHarness
{
public:
    using SchedulerHarness::SchedulerHarness;

    std::map<std::string, int> starts; // by task

    std::vector<StartOrder> startAll()
    {
        std::vector<StartOrder> orders = planAndStart();
        for (const StartOrder &order : orders)
            ++starts[formatTaskRef(order.task)];
        return orders;
    }

    void crash(const WorkerId &id)
    {
        running[id].clear();
        finished[id].clear();
        for (WorkerEntry &entry : entries)
            entry.incarnation.value += entry.id == id ? 1 : 0;
        scheduler.setWorkers(entries, now);
    }

    /// Starts what can start; the workers that have started a task of these jobs crash at once, the
    /// others report later.
    void round(const std::set<std::string> &deadly)
    {
        std::set<WorkerId> crashed;
        for (const StartOrder &order : startAll()) {
            if (deadly.count(order.task.job.str()) > 0)
                crashed.insert(order.worker);
        }
        for (const WorkerId &id : crashed)
            crash(id);
        pause();
    }

    /// Time passes, and all workers report.
    void pause()
    {
        now += milliseconds(200);
        reportWorkers();
    }

    int startsOf(const std::string &task) { return starts[task]; }
};

} // namespace

TEST_CASE("a deadly task is given up, and the tasks that were lost with it are not")
{
    CrashHarness harness(3);
    for (int i = 0; i < 6; ++i)
        harness.add("good" + std::to_string(i), {SchedulerHarness::step(2)});
    harness.add("deadly", {SchedulerHarness::step(1)});
    for (int i = 0; i < 40; ++i)
        harness.round({"deadly"});
    CHECK(harness.state("deadly") == JobState::Failed);
    CHECK(harness.startsOf("deadly.0.0.0") <= 3);
    for (int i = 0; i < 6; ++i)
        CHECK(harness.state("good" + std::to_string(i)) == JobState::Active);
}

TEST_CASE("two deadly jobs that started on one worker at once are both given up, no other is")
{
    CrashHarness harness(1);
    harness.add("good", {SchedulerHarness::step(3)});
    harness.add("deadly1", {SchedulerHarness::step(1)});
    harness.add("deadly2", {SchedulerHarness::step(1)});
    for (int i = 0; i < 40; ++i)
        harness.round({"deadly1", "deadly2"});
    CHECK(harness.state("deadly1") == JobState::Failed);
    CHECK(harness.state("deadly2") == JobState::Failed);
    CHECK(harness.startsOf("deadly1.0.0.0") <= 3);
    CHECK(harness.startsOf("deadly2.0.0.0") <= 3);
    CHECK(harness.state("good") == JobState::Active);
    CHECK(harness.running[WorkerId("w0")].size() == 3);
}

TEST_CASE("a deadly gang and a deadly long-running task are given up")
{
    CrashHarness harness(3, 4000);
    StepSpec step = SchedulerHarness::step(6);
    SUBCASE("gang")
    {
        step.gang = true;
    }
    SUBCASE("long-running")
    {
        step.count = 1;
        step.longRunning = true;
    }
    harness.add("deadly", {step});
    for (int i = 0; i < 40; ++i)
        harness.round({"deadly"});
    CHECK(harness.state("deadly") == JobState::Failed);
    CHECK(harness.startsOf("deadly.0.0.0") <= 3);
}

TEST_CASE("a job of deadly tasks is given up after a few crashes, not after two of each task")
{
    CrashHarness harness(4);
    harness.add("deadly", {SchedulerHarness::step(20)});
    for (int i = 0; i < 40; ++i)
        harness.round({"deadly"});
    CHECK(harness.state("deadly") == JobState::Failed);
    std::uint64_t crashes = 0;
    for (const WorkerEntry &entry : harness.entries)
        crashes += entry.incarnation.value - 1;
    CHECK(crashes <= 4 + 2);
}

TEST_CASE("after a crash, its suspects start apart from others until they have survived")
{
    CrashHarness harness(2, 4000);
    harness.silent = {WorkerId("w1")};
    harness.now += seconds(3); // w1 takes no tasks
    harness.reportWorkers();
    harness.add("a", {SchedulerHarness::step(1)});
    harness.add("b", {SchedulerHarness::step(1)});
    REQUIRE(harness.planAndStart().size() == 2);
    harness.crash(WorkerId("w0"));
    harness.reportWorkers();
    std::vector<StartOrder> starts = harness.planAndStart();
    REQUIRE(starts.size() == 1); // one of the two
    harness.add("c", {SchedulerHarness::step(1)});
    harness.now += milliseconds(10);
    harness.reportWorkers(); // too early to prove anything
    CHECK(harness.planAndStart().empty());
    harness.now += milliseconds(150);
    CHECK(harness.planAndStart().empty()); // not before a report
    const std::vector<WorkerId> asked = harness.scheduler.takeReportRequests(harness.now);
    CHECK(asked == std::vector<WorkerId>{WorkerId("w0")});
    harness.reportWorkers();
    starts = harness.planAndStart(); // the other suspect
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().task.job.str() != "c");
    harness.now += milliseconds(150);
    harness.reportWorkers();
    starts = harness.planAndStart();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().task.job.str() == "c");
    CHECK(harness.scheduler.takeReportRequests(harness.now).empty());
}

TEST_CASE("a suspect gets a worker although others start tasks all the time")
{
    CrashHarness harness(1, 8000);
    harness.add("a", {SchedulerHarness::step(1)}, "batch");
    harness.add("b", {SchedulerHarness::step(1)}, "batch");
    REQUIRE(harness.planAndStart().size() == 2);
    harness.crash(WorkerId("w0"));
    harness.reportWorkers();
    std::vector<StartOrder> others;
    std::set<std::string> suspects;
    for (int i = 0; i < 60; ++i) {
        harness.add("other" + std::to_string(i), {SchedulerHarness::step(1)});
        for (const StartOrder &order : harness.planAndStart()) {
            const std::string job = order.task.job.str();
            if (job == "a" || job == "b")
                suspects.insert(job);
            else
                others.push_back(order);
        }
        harness.now += milliseconds(60);
        while (others.size() > 4) {
            harness.endRun(others.front(), RunOutcome::Done);
            others.erase(others.begin());
        }
        harness.reportWorkers();
    }
    CHECK(suspects.size() == 2);
    CHECK(others.size() <= 4);
}

TEST_CASE("a worker that is cut off, or leaves as announced, has not crashed")
{
    CrashHarness harness(2);
    int starts = 0;
    for (int i = 0; i < 3; ++i) { // each time just after the start
        harness.add("a", {SchedulerHarness::step(1)});
        const std::vector<StartOrder> orders = harness.planAndStart();
        REQUIRE(orders.size() == 1);
        ++starts;
        const WorkerId id = orders.front().worker;
        harness.running[id].clear();
        SUBCASE("cut off")
        {
            harness.silent = {id};
        }
        SUBCASE("draining")
        {
            for (WorkerEntry &entry : harness.entries)
                entry.draining = entry.id == id;
            harness.scheduler.setWorkers(harness.entries, harness.now);
            harness.silent = {id};
        }
        for (int tick = 0; tick < 100; ++tick) { // beyond the lease
            harness.now += milliseconds(100);
            harness.reportWorkers();
            harness.scheduler.plan(harness.now);
            if (harness.scheduler.jobs().at(JobId("a"))->waitingTasks > 0)
                break;
        }
        harness.silent.clear();
        for (WorkerEntry &entry : harness.entries)
            entry.draining = false;
        harness.scheduler.setWorkers(harness.entries, harness.now);
        harness.reportWorkers();
    }
    CHECK(harness.state("a") == JobState::Active);
    CHECK(starts == 3);
}

TEST_CASE("nobody is blamed for the loss of a worker whose runs have all survived their start")
{
    CrashHarness harness(1);
    harness.add("a", {SchedulerHarness::step(1)});
    for (int i = 0; i < 8; ++i) {
        REQUIRE(harness.startAll().size() == 1);
        harness.pause();
        harness.crash(WorkerId("w0"));
        harness.reportWorkers();
    }
    CHECK(harness.state("a") == JobState::Active);
}

// Guards against LOST: four starts in a row that lapsed with their workers' leases failed the job.
TEST_CASE("a job is not failed because its workers cannot be reached one after the other")
{
    CrashHarness harness(6);
    harness.add("a", {SchedulerHarness::step(1)});
    std::vector<StartOrder> starts = harness.planAndStart();
    for (int i = 0; i < 6; ++i) {
        REQUIRE(starts.size() == 1);
        harness.silent = {starts.front().worker};
        starts.clear();
        for (int tick = 0; tick < 120 && starts.empty(); ++tick) { // beyond the lease and a delay
            harness.now += milliseconds(100);
            harness.reportWorkers();
            starts = harness.planAndStart();
        }
        CHECK(harness.state("a") == JobState::Active);
    }
}

// Guards against LOST: each suspect went to a worker that had just been unreachable, and was lost
// again.
TEST_CASE("a suspect starts on a worker that has been reachable for long, not on the emptiest one")
{
    CrashHarness harness(3);
    StepSpec other = SchedulerHarness::step(2);
    other.requirement = "r0";
    harness.add("other", {other});
    StepSpec more = SchedulerHarness::step(3);
    more.requirement = "r1";
    harness.add("more", {more});
    REQUIRE(harness.planAndStart().size() == 5); // on w0 and w1
    harness.now += seconds(20);
    harness.reportWorkers();
    harness.add("a", {SchedulerHarness::step(1)});
    REQUIRE(harness.planAndStart().front().worker == WorkerId("w1"));
    harness.scheduler.onUnreachable(WorkerId("w2"), harness.now);
    harness.crash(WorkerId("w1"));
    harness.pause();
    harness.planAndStart();
    // Both other workers are empty, but were unreachable or have restarted a moment ago.
    CHECK(harness.scheduler.jobs().at(JobId("a"))->tasks.front().progress.worker == WorkerId("w0"));
}
