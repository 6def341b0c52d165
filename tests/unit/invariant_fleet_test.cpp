// Invariants of jobs in whole deployments in virtual time, while processes, workers and the store
// fail.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "fakes/schedules.h"

using namespace monsoonledge;

namespace {

std::string jobName(int number)
{
    return "job" + std::to_string(number);
}

bool allCompleted(FleetWorld &world, int process, int jobs)
{
    for (int i = 0; i < jobs; ++i) {
        if (world.state(process, jobName(i)) != JobState::Completed)
            return false;
    }
    return true;
}

/// Faults of one process, one worker or the store. The silence of a store, and the like, last until
/// the same fault comes again.
enum class Fault {
    Restart, // of the process
    Pause, // of the process for seconds; answers wait in its sockets meanwhile
    StoreSilent,
    AnswersLost, // of changes
    CutFromWorkers,
    WorkerRestart,
    WorkerUnreachable, // by all processes
    Compaction, // of the store's history
    LateOrders,
    None,
};
constexpr std::uint64_t FaultCount = 10;
constexpr int WorkerCount = 5; // in worlds with faults

std::string randomWorker(Random &random)
{
    return "w" + std::to_string(random.below(WorkerCount));
}

void injectFault(FleetWorld &world, Fault fault, int victim, Random &random)
{
    FleetWorld::Process &target = world.process(victim);
    switch (fault) {
    case Fault::Restart:
        world.kill(victim);
        world.clock.advance(milliseconds(static_cast<std::int64_t>(random.below(3000))));
        world.start(victim);
        break;
    case Fault::Pause:
        if (!target.node)
            break;
        target.timers->suspend();
        world.clock.advance(milliseconds(static_cast<std::int64_t>(random.below(8000))));
        target.timers->resume();
        break;
    case Fault::StoreSilent:
        if (target.store)
            target.store->silent = !target.store->silent;
        break;
    case Fault::AnswersLost:
        if (target.store)
            target.store->losesAnswers = !target.store->losesAnswers;
        break;
    case Fault::CutFromWorkers:
        if (target.workers)
            target.workers->cut = !target.workers->cut;
        break;
    case Fault::WorkerRestart: {
        const std::string worker = randomWorker(random);
        world.runners.restart(worker);
        world.publish(worker);
        break;
    }
    case Fault::WorkerUnreachable: {
        const std::string worker = randomWorker(random);
        world.runners.at(worker).reachable = random.below(2) == 0;
        break;
    }
    case Fault::Compaction:
        world.store.compact();
        break;
    case Fault::LateOrders:
        if (target.workers)
            target.workers->lateShare = random.below(2) == 0 ? 0 : 0.2;
        break;
    case Fault::None:
        break;
    }
}

/// Ends all faults and waits. Returns what must not be, or an empty string.
std::string recoverAndCheck(FleetWorld &world, const std::vector<std::string> &accepted,
                            const std::map<std::string, Time> &cancelled)
{
    for (std::size_t i = 0; i < world.processes.size(); ++i)
        world.start(static_cast<int>(i));
    for (auto &[id, worker] : world.runners.all())
        worker.reachable = true;
    world.clock.advance(seconds(40));
    if (!world.runners.findings.empty())
        return world.runners.findings.front();
    for (const std::string &id : accepted) {
        const std::optional<JobState> state = world.state(0, id);
        // A job may have completed before the coordinator saw its cancellation.
        const bool isExpectedState = state == JobState::Completed
                                     || (state == JobState::Cancelled && cancelled.count(id) > 0);
        if (!isExpectedState)
            return "job " + id + " should be completed or cancelled, but its state is "
                   + (state ? std::to_string(static_cast<int>(*state)) : "unknown");
    }
    return world.runners.runningCount() == 0 ? "" : "runs of ended jobs are still running";
}

/// Kills some or all processes at the same moment. They start again at about the same time.
void loseManyProcesses(FleetWorld &world, Random &random)
{
    const bool all = random.below(3) == 0;
    std::vector<int> killed;
    for (int i = 0; i < static_cast<int>(world.processes.size()); ++i) {
        if (!all && random.unit() > 0.6)
            continue;
        world.kill(i);
        killed.push_back(i);
    }
    world.clock.advance(milliseconds(static_cast<std::int64_t>(random.below(3000))));
    for (const int process : killed)
        world.start(process);
}

} // namespace

TEST_CASE("a job accepted by one process completes, and all processes report it as completed")
{
    FleetWorld world(3);
    world.clock.advance(seconds(2));
    REQUIRE(world.coordinator() >= 0);
    CHECK(world.submit(0, FleetWorld::job("a", 8)) == JobAnswer::Accepted);
    CHECK(world.submit(1, FleetWorld::job("a", 8)) == JobAnswer::Accepted); // duplicate
    world.clock.advance(seconds(1));
    for (int i = 0; i < 3; ++i)
        CHECK(world.state(i, "a") == JobState::Completed);
    CHECK(world.state(0, "unknown") == std::nullopt);
    CHECK(world.runners.starts.size() == 8);
    CHECK(world.runners.findings.empty());
}

TEST_CASE("steps run in order, and failed tasks are retried up to the limit of attempts")
{
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    JobSpec spec = FleetWorld::job("two", 3, "ms=50 fail=1");
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = {0};
    CHECK(world.submit(0, spec) == JobAnswer::Accepted);
    CHECK(world.submit(0, FleetWorld::job("never", 1, "ms=50 fail=9")) == JobAnswer::Accepted);
    world.clock.advance(seconds(4));
    CHECK(world.state(1, "two") == JobState::Completed);
    CHECK(world.state(1, "never") == JobState::Failed);
    CHECK(world.runners.starts[{"never", 0, 0, 0}] == 3);
    CHECK(world.runners.findings.empty());
}

TEST_CASE("runs started by a coordinator continue under its successor after it has died")
{
    FleetWorld world(3);
    world.clock.advance(seconds(2));
    const int first = world.coordinator();
    const int other = (first + 1) % 3;
    for (int i = 0; i < 5; ++i)
        CHECK(world.submit(other, FleetWorld::job(jobName(i), 6, "ms=1500"))
              == JobAnswer::Accepted);
    world.clock.advance(milliseconds(300));
    world.kill(first);
    world.clock.advance(seconds(6));
    CHECK(world.coordinator() >= 0);
    CHECK(allCompleted(world, other, 5));
    for (const auto &[task, starts] : world.runners.starts)
        CHECK(starts == 1); // the takeover has not interrupted the runs
    CHECK(world.runners.findings.empty());
}

// Guards against LOST: only the coordinator's memory said which service the job's tasks run on.
TEST_CASE("a job whose queue was removed completes under a later coordinator")
{
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    JobSpec spec = FleetWorld::job("a", 2, "ms=3000");
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = {0};
    REQUIRE(world.submit(0, spec) == JobAnswer::Accepted);
    REQUIRE(world.wait([&] { return world.runners.runningCount() == 2; }));
    world.removeQueue(2);
    world.clock.advance(seconds(1));
    world.start(world.coordinator());
    CHECK(world.wait([&] { return world.state(0, "a") == JobState::Completed; }, seconds(20)));
    CHECK(world.runners.findings == std::vector<std::string>());
}

TEST_CASE("a process on a much stronger host becomes coordinator without interrupting runs")
{
    FleetWorld world(2);
    world.kill(0);
    world.kill(1);
    world.cpuShares = {{0, 0.07}, {1, 0.5}, {2, 0.1}};
    world.processes.resize(3);
    world.start(0);
    world.start(2); // 0.1 is less than 1.5 times 0.07, so neither process challenges the other
    world.clock.advance(seconds(4));
    const int weakCoordinator = world.coordinator();
    REQUIRE((weakCoordinator == 0 || weakCoordinator == 2));
    world.clock.advance(seconds(4));
    CHECK(world.coordinator() == weakCoordinator);
    world.start(1);
    world.clock.advance(seconds(2));
    CHECK(world.submit(0, FleetWorld::job("a", 6, "ms=3500")) == JobAnswer::Accepted);
    world.clock.advance(seconds(3));
    CHECK(world.coordinator() == 1);
    world.clock.advance(seconds(3));
    CHECK(world.state(2, "a") == JobState::Completed);
    for (const auto &[task, starts] : world.runners.starts)
        CHECK(starts == 1);
    CHECK(world.runners.findings.empty());
}

TEST_CASE("a cancellation takes effect although the store has compacted its history")
{
    // After the compaction, the coordinator reloads the keys in alphabetical order. It then
    // receives the cancellation before the job and must not forget it.
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    const int coordinator = world.coordinator();
    const int other = 1 - coordinator;
    world.process(coordinator).store->silent = true;
    world.clock.advance(milliseconds(500));
    CHECK(world.submit(other, FleetWorld::job("late", 2, "ms=500")) == JobAnswer::Accepted);
    CHECK(world.cancel(other, "late") == JobAnswer::Accepted);
    world.store.compact();
    world.process(coordinator).store->silent = false;
    world.clock.advance(seconds(4));
    CHECK(world.state(other, "late") == JobState::Cancelled);
    CHECK(world.runners.starts.empty());
}

TEST_CASE("cancelling a job stops its runs on the workers")
{
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    CHECK(world.submit(0, FleetWorld::job("long", 4, "ms=60000")) == JobAnswer::Accepted);
    world.clock.advance(seconds(1));
    CHECK(world.runners.runningCount() == 4);
    CHECK(world.cancel(1, "long") == JobAnswer::Accepted);
    world.clock.advance(seconds(1));
    CHECK(world.runners.runningCount() == 0);
    CHECK(world.state(0, "long") == JobState::Cancelled);
    CHECK(world.cancel(0, "unknown") == JobAnswer::NotFound);
}

TEST_CASE("runs continue while the store is unreachable, and their job completes afterwards")
{
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    CHECK(world.submit(0, FleetWorld::job("a", 4, "ms=3000")) == JobAnswer::Accepted);
    world.clock.advance(milliseconds(500));
    for (FleetWorld::Process &process : world.processes)
        process.store->silent = true;
    world.clock.advance(seconds(5));
    CHECK_FALSE(world.node(0).isReady(world.clock.now()));
    CHECK(world.submit(0, FleetWorld::job("b")) == JobAnswer::NotAccepted);
    for (FleetWorld::Process &process : world.processes)
        process.store->silent = false;
    world.clock.advance(seconds(5));
    CHECK(world.state(1, "a") == JobState::Completed);
    for (const auto &[task, starts] : world.runners.starts)
        CHECK(starts == 1);
    CHECK(world.runners.findings.empty());
}

TEST_CASE("tasks of a restarted worker are started again, those of an unreachable one after its "
          "lease")
{
    FleetWorld world(2, 2);
    world.clock.advance(seconds(2));
    CHECK(world.submit(0, FleetWorld::job("a", 8, "ms=2000")) == JobAnswer::Accepted);
    world.clock.advance(milliseconds(500));
    world.runners.restart("w0");
    world.publish("w0");
    world.runners.at("w1").reachable = false;
    world.clock.advance(seconds(4));
    // The runs on w1 may still exist, so none of their tasks may have been started elsewhere.
    CHECK(world.runners.findings.empty());
    world.clock.advance(seconds(8));
    CHECK(world.state(0, "a") == JobState::Completed);
    CHECK(world.runners.findings.empty());
}

TEST_CASE("while the store is unreachable, submissions are refused early and not at the deadline")
{
    // The store becomes unreachable under a load of 20 submissions, one every 100 ms.
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    const int other = 1 - world.coordinator();
    world.process(other).store->silent = true;
    int held = 0;
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        const Time begin = world.clock.now();
        world.node(other).submit(
                FleetWorld::job(jobName(i)), begin + seconds(3),
                [&held, &refused, begin](JobAnswer answer, Time now) {
                    held += now - begin > milliseconds(1500) ? 1 : 0;
                    refused += answer == JobAnswer::NotAccepted ? 1 : 0;
                },
                begin);
        world.clock.advance(milliseconds(100));
    }
    world.clock.advance(seconds(4));
    CHECK(held <= 5); // those submitted before the outage could be detected
    CHECK(refused >= 14);
}

TEST_CASE("a successor waits for one lease of a worker that was unreachable to its predecessor")
{
    FleetWorld world(2, 2);
    world.clock.advance(seconds(2));
    CHECK(world.submit(0, FleetWorld::job("a", 8, "ms=60000")) == JobAnswer::Accepted);
    world.clock.advance(milliseconds(500));
    world.runners.at("w1").up = false;
    world.clock.advance(seconds(5));
    world.store.remove("servers/w1"); // as the registry does after three missed heartbeats
    world.kill(world.coordinator());
    // The 2 s lease of the coordinator record and one lease of the worker.
    world.clock.advance(milliseconds(9500));
    CHECK(world.runners.runningCount() == 8);
    CHECK(world.runners.findings.empty());
}

TEST_CASE("a job that was stored is not refused if the store's answer was lost")
{
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    const int other = 1 - world.coordinator();
    world.process(other).store->losesAnswers = true;
    const JobAnswer answer = world.submit(other, FleetWorld::job("a"));
    CHECK((answer == JobAnswer::Accepted || answer == JobAnswer::Unknown));
    world.clock.advance(seconds(3));
    CHECK(world.state(1 - other, "a") == JobState::Completed);
}

TEST_CASE("a process that is behind on large configurations does not stay behind")
{
    // One version takes 0.4 s on this link, the four versions that fill an answer take longer than
    // the call may.
    constexpr std::size_t configBytes = 330 * 1024;
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    for (int i = 0; i < 2; ++i)
        world.process(i).store->bytesPerSecond = 825 * 1024;
    std::uint64_t version = 1;
    for (int i = 0; i < 20; ++i) {
        world.putConfig(++version, configBytes);
        world.clock.advance(milliseconds(200));
    }
    world.clock.advance(milliseconds(1800)); // 2 s after the last version was written
    for (int i = 0; i < 2; ++i)
        CHECK(world.node(i).config().version == version);
}

TEST_CASE("a process on a slow link reports the backlog although it cannot follow all progress")
{
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    const int other = 1 - world.coordinator();
    world.process(other).store->bytesPerSecond = 10 * 1024; // the records are small here
    for (int i = 0; i < 80; ++i) { // 48 jobs a second, as in a burst
        world.submit(1 - other, FleetWorld::job("busy" + std::to_string(i), 40));
        world.clock.advance(milliseconds(20));
    }
    constexpr int waitingJobs = 30;
    JobSpec tooLarge = FleetWorld::job("waiting", 1);
    tooLarge.steps.front().cpu.value = 1000 * 1000; // no worker has so much
    for (int i = 0; i < waitingJobs; ++i) {
        tooLarge.id = JobId("waiting" + std::to_string(i));
        CHECK(world.submit(1 - other, tooLarge) == JobAnswer::Accepted);
    }
    world.clock.advance(seconds(2)); // the report may be this old
    CHECK(world.node(other).backlog(QueueId("renewal")) >= waitingJobs);
    world.clock.advance(seconds(4));
    CHECK(world.node(other).backlog(QueueId("renewal")) == waitingJobs);
}

TEST_CASE("a process that becomes coordinator, resigns or restarts goes on reporting the backlog")
{
    FleetWorld world(2);
    world.clock.advance(seconds(2));
    JobSpec tooLarge = FleetWorld::job("waiting", 1);
    tooLarge.steps.front().cpu.value = 1000 * 1000; // no worker has so much
    const QueueId queue("renewal");
    CHECK(world.submit(0, tooLarge) == JobAnswer::Accepted);
    CHECK(world.submit(0, FleetWorld::job("short", 1)) == JobAnswer::Accepted);
    world.clock.advance(seconds(2));
    const int first = world.coordinator();
    for (int i = 0; i < 2; ++i)
        CHECK(world.node(i).backlog(queue) == 1);
    world.kill(first);
    tooLarge.id = JobId("later");
    CHECK(world.submit(1 - first, tooLarge) == JobAnswer::Accepted);
    world.clock.advance(seconds(1)); // nobody is the coordinator
    CHECK(world.node(1 - first).backlog(queue) == 2);
    world.clock.advance(seconds(4));
    CHECK(world.coordinator() == 1 - first);
    world.start(first);
    world.clock.advance(seconds(2));
    for (int i = 0; i < 2; ++i)
        CHECK(world.node(i).backlog(queue) == 2);
    CHECK(world.state(first, "short") == JobState::Completed);
    CHECK(world.state(first, "later") == JobState::Pending);
    world.node(1 - first).drain();
    CHECK(world.cancel(first, "later") == JobAnswer::Accepted);
    world.clock.advance(seconds(3));
    CHECK(world.coordinator() == first);
    for (int i = 0; i < 2; ++i)
        CHECK(world.node(i).backlog(queue) == 1);
}

TEST_CASE("random failures: no job is lost, run twice or run after its cancellation")
{
    runSchedules(40, [](std::uint64_t seed) -> std::string {
        FleetWorld world(3, WorkerCount, seed);
        Random random(seed);
        world.clock.advance(seconds(2));
        std::vector<std::string> accepted;
        std::map<std::string, Time> cancelled;
        int number = 0;
        for (int round = 0; round < 30; ++round) {
            const int process = static_cast<int>(random.below(3));
            if (world.process(process).node) {
                const std::string id = jobName(number++);
                const std::string payload = "ms=" + std::to_string(50 + random.below(1500));
                if (world.submit(process, FleetWorld::job(id, 1 + static_cast<int>(random.below(5)),
                                                          payload))
                    == JobAnswer::Accepted)
                    accepted.push_back(id);
                if (random.below(10) == 0 && world.cancel(process, id) == JobAnswer::Accepted)
                    cancelled[id] = world.clock.now();
            }
            const int victim = static_cast<int>(random.below(3));
            injectFault(world, static_cast<Fault>(random.below(FaultCount)), victim, random);
            world.clock.advance(milliseconds(static_cast<std::int64_t>(random.below(1500))));
        }
        return recoverAndCheck(world, accepted, cancelled);
    });
}

TEST_CASE("many processes stop at once, beside every other fault: no job is lost or run twice")
{
    for (std::uint64_t kind = 0; kind < FaultCount; ++kind) {
        runSchedules(6, [kind](std::uint64_t seed) -> std::string {
            FleetWorld world(6, WorkerCount, seed);
            Random random(seed);
            world.clock.advance(seconds(2));
            std::vector<std::string> accepted;
            int number = 0;
            for (int round = 0; round < 6; ++round) {
                for (int process = 0; process < 6; ++process) {
                    const std::string id = jobName(number++);
                    const std::string payload = "ms=" + std::to_string(50 + random.below(1500));
                    if (world.submit(process, FleetWorld::job(id, 3, payload))
                        == JobAnswer::Accepted)
                        accepted.push_back(id);
                }
                const int victim = static_cast<int>(random.below(6));
                injectFault(world, static_cast<Fault>(kind), victim, random);
                world.clock.advance(milliseconds(static_cast<std::int64_t>(random.below(800))));
                loseManyProcesses(world, random);
                world.clock.advance(milliseconds(static_cast<std::int64_t>(random.below(4000))));
            }
            return recoverAndCheck(world, accepted, {});
        });
    }
}

TEST_CASE("a worker that is down for long is logged once when it fails and once when it answers")
{
    for (const bool isGivenUp : {false, true}) {
        CAPTURE(isGivenUp);
        FleetWorld world(1);
        world.clock.advance(seconds(2));
        const auto count = [&](const char *event) {
            return std::count(world.log.begin(), world.log.end(), event);
        };
        for (int outage = 1; outage <= 2; ++outage) {
            world.runners.at("w1").reachable = false;
            world.clock.advance(seconds(10));
            CHECK(count("worker-unreachable") == outage);
            CHECK(count("worker-answers") == outage - 1);
            if (isGivenUp)
                break;
            world.runners.at("w1").reachable = true;
            world.clock.advance(seconds(3));
            CHECK(count("worker-answers") == outage);
        }
        if (isGivenUp) {
            world.store.remove("servers/w1");
            world.clock.advance(seconds(3));
            CHECK(count("worker-given-up") == 1);
            CHECK(count("worker-answers") == 0);
        }
    }
}
