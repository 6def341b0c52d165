// Slow workers: how their speed is measured, and which tasks they are given.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"
#include "platform/platform.h"

#include <cstdlib>

using namespace monsoonledge;

namespace {

constexpr Duration Tick = milliseconds(50);
constexpr int TicksPerReport = 10;

SchedulingSettings withSpeeds(bool isOn = true)
{
    SchedulingSettings settings;
    settings.avoidsSlowWorkers = isOn;
    settings.warmupOverage = 2;
    return settings;
}

/// Workers that make progress in virtual time. Each reports every 500 ms, at different times.
class SpeedFleet : public SchedulerHarness
{
public:
    explicit SpeedFleet(int workerCount, SchedulingSettings settings = withSpeeds(),
                        std::uint64_t cpu = 4000)
        : SchedulerHarness(workerCount, cpu, 64000, settings)
    { }

    void advance(Duration duration)
    {
        for (const Time end = now + duration; now < end;) {
            now += Tick;
            ++ticks_;
            progressRuns();
            report();
            for (const StartOrder &order : planAndStart())
                shares[order.task.job.str() + std::to_string(order.task.step) + '.'
                       + std::to_string(order.task.index)] = 0;
            for (const PaceOrder &order : scheduler.takePaces())
                paces[order.task.job] = order.percent / 100.0;
            scheduler.takeStops();
        }
    }

    /// A job every `interval` for `duration`, of `count` tasks that last 600 ms by their estimate.
    void offer(const std::string &prefix, int count, Duration interval, Duration duration)
    {
        for (const Time end = now + duration; now < end; advance(interval))
            add(prefix + std::to_string(++jobs_), {step(count, 1000, milliseconds(600))});
    }

    double factorOf(const std::string &id) const
    {
        return scheduler.workers().at(WorkerId(id))->speedFactor;
    }

    int slowCount() const
    {
        return static_cast<int>(
                std::count_if(scheduler.workers().begin(), scheduler.workers().end(),
                              [](const auto &item) { return item.second->speedFactor < 1; }));
    }

    int logged(const std::string &event) const
    {
        return static_cast<int>(std::count_if(
                log.begin(), log.end(), [&](const LogEvent &line) { return line.event == event; }));
    }

    /// Number of jobs that were done within a latency.
    int doneWithin(Duration latency) const
    {
        int count = 0;
        for (const auto &[id, job] : scheduler.jobs())
            count += isFinal(job->state) && job->finalAt - job->submittedAt <= latency ? 1 : 0;
        return count;
    }

    std::map<WorkerId, double> speeds; // 1 if not listed
    std::map<JobId, Duration> durations; // of tasks; 600 ms if not listed
    std::map<JobId, double> paces; // of best-effort tasks
    std::map<std::string, double> shares; // done, by run
    bool reportsProgress = true;

private:
    void progressRuns()
    {
        for (const WorkerEntry &entry : entries) {
            const double speed = speeds.count(entry.id) > 0 ? speeds[entry.id] : 1;
            for (std::size_t i = running[entry.id].size(); i-- > 0;) {
                ActiveRun &run = running[entry.id][i];
                const JobId &job = run.task.job;
                const Duration duration =
                        durations.count(job) > 0 ? durations[job] : milliseconds(600);
                const double pace = paces.count(job) > 0 ? paces[job] : 1;
                double &share = shares[job.str() + std::to_string(run.task.step) + '.'
                                       + std::to_string(run.task.index)];
                share += toMilliseconds(Tick) / toMilliseconds(duration) * speed * pace;
                run.percent = reportsProgress ? static_cast<int>(100 * std::min(share, 1.0)) : 0;
                if (share < 1)
                    continue;
                finished[entry.id].push_back(
                        {++positions_[entry.id], run.task, run.run, RunOutcome::Done, {}});
                running[entry.id].erase(running[entry.id].begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    void report()
    {
        const std::set<WorkerId> unreachable = silent;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const WorkerId &id = entries[i].id;
            if ((ticks_ + static_cast<int>(i)) % TicksPerReport != 0)
                silent.insert(id);
            auto &ended = finished[id];
            const std::uint64_t known = scheduler.acknowledgeablePosition(id);
            ended.erase(
                    std::remove_if(ended.begin(), ended.end(),
                                   [&](const FinishedRun &run) { return run.position <= known; }),
                    ended.end());
        }
        reportWorkers();
        silent = unreachable;
    }

    std::map<WorkerId, std::uint64_t> positions_;
    int ticks_ = 0;
    int jobs_ = 0;
};

} // namespace

TEST_CASE("a slow worker among fast ones is found by the progress or the duration of its runs")
{
    SpeedFleet fleet(8);
    fleet.speeds[WorkerId("w3")] = 0.25;
    SUBCASE("runs that report progress, several tasks to a step") { }
    SUBCASE("runs that report none are counted when they end")
    {
        fleet.reportsProgress = false;
    }
    fleet.offer("a", 8, milliseconds(200), seconds(6));
    CHECK(fleet.slowCount() == 1);
    CHECK(fleet.factorOf("w3") == doctest::Approx(0.25).epsilon(0.4));
    CHECK(fleet.logged("worker-slow") >= 1);
}

TEST_CASE("jobs of a single task are compared with others of their queue")
{
    SpeedFleet fleet(8);
    fleet.speeds[WorkerId("w3")] = 0.25;
    fleet.offer("a", 1, milliseconds(50), seconds(6));
    CHECK(fleet.slowCount() == 1);
    CHECK(fleet.factorOf("w3") < 0.6);
}

TEST_CASE("a single run that is far behind suffices, one that is a little behind does not")
{
    SpeedFleet fleet(8, withSpeeds(), 1000);
    fleet.speeds[WorkerId("w3")] = 0.25;
    SUBCASE("far behind") { }
    SUBCASE("a little behind")
    {
        fleet.speeds[WorkerId("w3")] = 0.5;
    }
    fleet.add("a", {SchedulerHarness::step(8, 1000, milliseconds(600))});
    fleet.advance(milliseconds(1300));
    CHECK(fleet.slowCount() == (fleet.speeds[WorkerId("w3")] < 0.3 ? 1 : 0));
}
