// The order of waiting jobs under shortage, as pure decisions and in the scheduler.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"
#include "scheduling/joborder_p.h"

using namespace monsoonledge;

namespace {

const Time Now{std::chrono::hours(1)};

JobOrderSettings shortFirst()
{
    JobOrderSettings settings;
    settings.prefersShortJobs = true;
    settings.maxRestartDelay = seconds(1);
    return settings;
}

/// A job submitted now that needs `coreSeconds` and, without a delay, one second.
WaitingJob waitingJob(double coreSeconds, Duration allowed = seconds(3))
{
    WaitingJob job;
    job.submittedAt = Now;
    job.cost.objective = Now + allowed;
    job.cost.worthlessAfter = Now + 3 * allowed;
    job.cost.remainingPath = seconds(1);
    job.cost.remainingCoreSeconds = coreSeconds;
    return job;
}

bool comesFirst(const WaitingJob &a, const WaitingJob &b, Time now = Now)
{
    return rankOf(a, shortFirst(), now) < rankOf(b, shortFirst(), now);
}

} // namespace

// Guards against a burst in which each job starts a little too late: the capacity for one wide job
// serves several callers with short ones.
TEST_CASE("among jobs that can be on time, those that need little capacity come first")
{
    CHECK(comesFirst(waitingJob(2), waitingJob(20)));
    WaitingJob earlier = waitingJob(20);
    earlier.cost.objective -= milliseconds(200);
    CHECK(comesFirst(waitingJob(2), earlier));
}

// Guards against wide jobs that are passed over until they are late.
TEST_CASE("a wide job comes before shorter ones when it has no time left")
{
    const WaitingJob wide = waitingJob(20);
    WaitingJob later = waitingJob(6);
    later.submittedAt += milliseconds(2100);
    later.cost.objective += milliseconds(2100);
    CHECK(comesFirst(wide, later, Now + milliseconds(2100)));
    CHECK_FALSE(comesFirst(wide, waitingJob(6)));
}

// Guards against capacity that goes to work which is late in any case.
TEST_CASE("jobs that cannot be on time any more give way, worthless ones last")
{
    const WaitingJob late = waitingJob(1, milliseconds(500));
    const WaitingJob worthless = waitingJob(1, milliseconds(200));
    CHECK(comesFirst(waitingJob(50), late));
    CHECK(comesFirst(late, worthless));
}

TEST_CASE("the priority of the queue goes before the work of a job")
{
    WaitingJob lowPriority = waitingJob(1);
    lowPriority.cost.priority = 2;
    CHECK(comesFirst(waitingJob(50), lowPriority));
}

// Guards against two faults: long-running tasks that starve behind a stream of short jobs, and
// short jobs that become late for good behind a restart that could wait for them.
TEST_CASE("an interrupted long-running task lets short jobs pass for a while only")
{
    WaitingJob interrupted = waitingJob(100);
    interrupted.isLongRunning = true;
    interrupted.isInterrupted = true;
    interrupted.longestWait = milliseconds(300);
    CHECK(comesFirst(waitingJob(2), interrupted));
    interrupted.longestWait = seconds(1);
    CHECK(comesFirst(interrupted, waitingJob(2)));
    WaitingJob newLongRunning = waitingJob(100);
    newLongRunning.isLongRunning = true;
    CHECK(comesFirst(waitingJob(2), newLongRunning));
}

// Guards against the order by objectives alone, in which a shortage makes all jobs late.
TEST_CASE("a burst beyond the capacity: more jobs are on time than by their objectives")
{
    const auto countOnTime = [](bool prefersShortJobs) {
        SchedulingSettings settings;
        settings.prefersShortJobs = prefersShortJobs;
        SchedulerHarness harness(1, 4000, 64000, settings);
        // Wide jobs arrive just before short ones; all have nearly the same objective.
        for (int i = 0; i < 4; ++i)
            harness.add("wide" + std::to_string(i), {SchedulerHarness::step(8)});
        for (int i = 0; i < 8; ++i)
            harness.add("short" + std::to_string(i), {SchedulerHarness::step(1)});
        const Time submittedAt = harness.now;
        std::vector<std::pair<Time, StartOrder>> running;
        std::map<std::string, Time> doneAt;
        for (int i = 0; i < 400; ++i) { // 4 s
            for (const StartOrder &order : harness.planAndStart())
                running.emplace_back(harness.now + milliseconds(500), order);
            harness.now += milliseconds(10);
            for (auto it = running.begin(); it != running.end();) {
                const bool isDone = harness.now >= it->first;
                if (isDone)
                    harness.endRun(it->second, RunOutcome::Done);
                it = isDone ? running.erase(it) : std::next(it);
            }
            harness.reportWorkers();
            for (const auto &[id, job] : harness.scheduler.jobs()) {
                if (job->state == JobState::Completed)
                    doneAt.emplace(id.str(), harness.now);
            }
        }
        int onTime = 0;
        for (const auto &[id, time] : doneAt)
            onTime += time - submittedAt <= milliseconds(1300) ? 1 : 0;
        return onTime;
    };
    CHECK(countOnTime(true) > countOnTime(false));
    CHECK(countOnTime(true) >= 8);
}
