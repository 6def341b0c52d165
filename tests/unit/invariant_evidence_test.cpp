// Invariants of the evidence of crashes, in whole deployments in virtual time: tasks that crash
// each worker 10 ms after their start, mostly before the start is answered, beside sound tasks
// whose workers are cut off, reset or restarted right after each start. A crashing task is failed
// before its sixth start, and the job of a sound task is never failed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "fakes/schedules.h"

using namespace monsoonledge;

namespace {

constexpr int MaxStarts = 5; // of a crashing task
constexpr int LostDomains = 4; // one after each start of a sound task
constexpr int Disturbances = 7; // of the starts of each sound task

using Return = FakeRunners::Return;

/// Disturbs the worker of a sound task right after its start.
class Disturber
{
public:
    explicit Disturber(FleetWorld &world, std::uint64_t seed) : world_(world), random_(seed)
    {
        world.runners.onStart = [this](const WorkerId &worker, const TaskRef &task) {
            if (task.job.str().rfind("sound", 0) == 0 && ++disturbed_[task.job] <= Disturbances)
                disturb(worker, task.job);
        };
    }

private:
    void disturb(const WorkerId &id, const JobId &job)
    {
        const std::uint64_t kind = random_.below(4);
        if (kind == 3 && !std::exchange(isRestarted_[job], true)) { // one accident each
            world_.clock.after(milliseconds(15), [this, id] {
                world_.runners.restart(id.str());
                world_.publish(id.str());
            });
            return;
        }
        const Duration duration = kind == 0 ? milliseconds(900) : seconds(8);
        world_.clock.after(milliseconds(4), [this, id] { setReachable(id, false); });
        world_.clock.after(duration, [this, id] { setReachable(id, true); });
        if (kind == 1) // a partition of several workers
            for (auto &[other, worker] : world_.runners.all()) {
                if (random_.below(3) > 0)
                    continue;
                world_.clock.after(milliseconds(4),
                                   [this, other = other] { setReachable(other, false); });
                world_.clock.after(seconds(3),
                                   [this, other = other] { setReachable(other, true); });
            }
    }
    void setReachable(const WorkerId &id, bool isReachable)
    {
        world_.runners.at(id.str()).reachable = isReachable;
    }

    FleetWorld &world_;
    Random random_;
    std::map<JobId, int> disturbed_;
    std::map<JobId, bool> isRestarted_;
};

struct Scenario
{
    std::uint64_t seed = 1;
    std::function<Return(Random &)> chooseReturn;
    bool isAnswered = false; // starts are answered before the crash
    double lostAnswerShare = 0;
    bool changesCoordinator = false; // after each start of a crashing task
    Duration crashDuration = seconds(3);
    int workers = 18;
    bool hasSoundJobs = true;
    int crashingJobs = 1;
};

std::string crashingJob(int index)
{
    return "deadly" + std::to_string(index);
}

/// Runs the scenario; returns the first broken property, or an empty string.
std::string brokenProperty(const Scenario &scenario)
{
    FleetWorld world(3, scenario.workers, scenario.seed);
    Random random(scenario.seed);
    world.orderDuration = scenario.isAnswered ? Duration::zero() : milliseconds(20);
    world.lostAnswerShare = scenario.lostAnswerShare;
    world.runners.crashDuration = scenario.crashDuration;
    world.runners.chooseReturn = [&] { return scenario.chooseReturn(random); };
    world.useBirthTimes();
    Disturber disturber(world, scenario.seed);
    world.clock.advance(seconds(13));
    std::vector<std::string> sound;
    for (int i = 0; i < (scenario.hasSoundJobs ? 3 : 0); ++i) {
        sound.push_back("sound" + std::to_string(i));
        if (world.submit(0, FleetWorld::job(sound.back(), 1, "ms=2500")) != JobAnswer::Accepted)
            return "a job was not accepted";
    }
    for (int i = 0; i < scenario.crashingJobs; ++i) {
        if (world.submit(0, FleetWorld::job(crashingJob(i), 1, "ms=500 deadly=1"))
            != JobAnswer::Accepted)
            return "a job was not accepted";
    }
    const auto startsOf = [&](int job) -> int {
        return world.runners.starts[{crashingJob(job), 0, 0, 0}];
    };
    int seen = 0;
    for (int i = 0; i < 12000; ++i) { // 120 s
        world.clock.advance(milliseconds(10));
        int starts = 0;
        for (int job = 0; job < scenario.crashingJobs; ++job) {
            if (startsOf(job) > MaxStarts)
                return "a crashing task was started " + std::to_string(startsOf(job)) + " times";
            starts += startsOf(job);
        }
        const int coordinator = world.coordinator();
        if (starts == seen || coordinator < 0)
            continue;
        seen = starts;
        if (scenario.changesCoordinator)
            world.start(coordinator);
    }
    for (int job = 0; job < scenario.crashingJobs; ++job) {
        if (world.state(0, crashingJob(job)) != JobState::Failed)
            return "the job of a crashing task was not failed after "
                   + std::to_string(startsOf(job)) + " starts";
    }
    for (const std::string &id : sound) {
        if (world.state(0, id) == JobState::Failed)
            return "the sound job " + id + " was failed";
        if (!world.wait([&] { return world.state(0, id) == JobState::Completed; }, seconds(60)))
            return "the sound job " + id + " was not completed";
    }
    return world.runners.findings.empty() ? "" : world.runners.findings.front();
}

/// Runs the test case once for each way in which a worker is back after a crash.
Return chooseReturnSubcase()
{
    Return how = Return::SameId;
    SUBCASE("back under the same id") { }
    SUBCASE("back under another id at the same address")
    {
        how = Return::NewId;
    }
    SUBCASE("back under another id at another address")
    {
        how = Return::NewAddress;
    }
    SUBCASE("never back")
    {
        how = Return::Never;
    }
    return how;
}

} // namespace

// Guards against BUDGET: losses without an answered start counted for nothing, so that the task was
// started a sixth time.
TEST_CASE("a task that crashes its worker before its start is answered is failed in time")
{
    Scenario scenario;
    const Return how = chooseReturnSubcase();
    scenario.chooseReturn = [how](Random &) { return how; };
    CHECK(brokenProperty(scenario) == "");
}

// Guards against BUDGET: losses that became known after 5.5 s counted for nothing.
TEST_CASE("a crash that is proven late counts")
{
    Scenario scenario;
    scenario.isAnswered = true;
    scenario.crashDuration = milliseconds(5000);
    const Return how = chooseReturnSubcase();
    scenario.chooseReturn = [how](Random &) { return how; };
    CHECK(brokenProperty(scenario) == "");
}

// Guards against BUDGET: a successor did not know what its predecessor had learnt of the losses.
TEST_CASE("successors of the coordinator decide by the same losses")
{
    Scenario scenario;
    scenario.changesCoordinator = true;
    scenario.hasSoundJobs = false;
    const Return how = chooseReturnSubcase();
    scenario.chooseReturn = [how](Random &) { return how; };
    CHECK(brokenProperty(scenario) == "");
}

// Guards against BUDGET: workers that other crashing tasks had ended were taken as a sign that the
// whole rack or failure domain was lost, so that no loss counted in full.
TEST_CASE("many crashing tasks at once do not explain each other's losses")
{
    Scenario scenario;
    scenario.isAnswered = true;
    scenario.hasSoundJobs = false;
    scenario.workers = 36;
    const Return how = chooseReturnSubcase();
    scenario.crashingJobs = how == Return::Never ? 6 : 14; // workers have to be left for all starts
    scenario.chooseReturn = [how](Random &) { return how; };
    CHECK(brokenProperty(scenario) == "");
}

// Guards against LOST: losses of a failure domain that the task has nothing to do with add up.
TEST_CASE("a sound job completes although its failure domain is lost after start after start")
{
    FleetWorld world(2, 18);
    world.useBirthTimes();
    world.runners.keepsIdAfterCrash = true;
    int lost = 0;
    world.runners.onStart = [&](const WorkerId &id, const TaskRef &) {
        if (++lost > LostDomains)
            return;
        const int domain = std::stoi(id.str().substr(1)) % 3;
        world.clock.after(milliseconds(15), [&world, domain] {
            for (auto &[other, worker] : world.runners.all()) {
                if (std::stoi(other.str().substr(1)) % 3 == domain)
                    world.runners.crash(other.str());
            }
        });
    };
    world.clock.advance(seconds(13));
    REQUIRE(world.submit(0, FleetWorld::job("a", 1, "ms=1000")) == JobAnswer::Accepted);
    CHECK(world.wait([&] { return world.state(0, "a") == JobState::Completed; }, seconds(90)));
    CHECK(lost == LostDomains + 1);
    CHECK(world.runners.findings.empty());
}

TEST_CASE("crashing tasks are failed and sound ones are not, whatever happens to the workers")
{
    runSchedules(12, [](std::uint64_t seed) {
        Random random(seed);
        Scenario scenario;
        scenario.seed = seed;
        scenario.isAnswered = random.below(2) == 0;
        scenario.lostAnswerShare = random.below(2) == 0 ? 0 : 0.2;
        scenario.changesCoordinator = random.below(4) == 0;
        scenario.crashDuration = milliseconds(500 + 1000 * static_cast<int>(random.below(6)));
        scenario.chooseReturn = [](Random &choice) { return static_cast<Return>(choice.below(4)); };
        return brokenProperty(scenario);
    });
}
