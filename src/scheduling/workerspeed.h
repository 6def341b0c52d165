// The speeds of workers, measured from the progress of their runs. Some workers run everything
// several times slower for a while, without failing and without reporting it.
//
// The progress of a run is compared with that of runs of the same step on other workers. If there
// are too few, it is compared with runs of the same queue, relative to their estimated durations.
// A step or queue whose runs differ much among themselves is no basis for a comparison. A worker
// is therefore slow only relative to the others: if all of them are equally slow, none is.
//
// The class performs no I/O, reads no clock and has no access to the state of the scheduler.
#pragma once

#include "capacity/capacity.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace monsoonledge {

/// The progress of a run at the time of a report.
struct RunProgress
{
    RunNumber run;
    int percent = 0;
    Time startedAt{}; // when its start was confirmed
    Time asOf{}; // of the report
    Duration estimate{}; // of the whole run; 0: not known
    bool isResumed = false; // from a checkpoint, so that it did not begin at 0 percent
    // Speed that the scheduler allows the run, relative to full speed: by its pace and by what
    // other tasks leave of the processors. A run that is not comparable has speed 0.
    double allowedSpeed = 1;
};

/// A worker that has become slow or has recovered, with the evidence.
struct SpeedChange
{
    bool isSlow = false;
    double factor = 1; // measured speed, relative to other workers
    int runs = 0; // on whose progress it is based; 0: recovered for lack of evidence
    int slowRuns = 0; // of these, the ones that are clearly slower than those of other workers
    double lowestRun = 1; // relative progress of the slowest run
    bool isByStep = false; // at least one run was compared with runs of its own step
};

class WorkerSpeeds
{
public:
    /// Adds what a report says about a run that goes on.
    void noteProgress(const WorkerId &worker, const TaskRef &task, const QueueId &queue,
                      const RunProgress &progress);
    /// Adds the end of a run that has done its task. `lastReport`: the last one in which it was
    /// active; it ended between then and `progress.asOf`.
    void noteEnd(const WorkerId &worker, const TaskRef &task, const QueueId &queue,
                 const RunProgress &progress, Time lastReport);
    /// Classifies the worker again. Returns a value if its class has changed.
    std::optional<SpeedChange> update(const WorkerId &worker, Time now);
    /// 1 for a worker that is not classified as slow. Without new evidence, for example because
    /// the worker is silent, the factor of a slow worker returns gradually to 1.
    WorkerSpeed speedOf(const WorkerId &worker, Time now) const;
    /// The factor as last measured, of a worker that is slow or was slow when it was last measured;
    /// otherwise 1.
    double measuredFactor(const WorkerId &worker) const;
    /// True if the last evidence of a slow worker is too old to rely on speedOf() for more than one
    /// run.
    bool isOnTrial(const WorkerId &worker, Time now) const;
    /// Forgets a worker that is gone.
    void remove(const WorkerId &worker);

private:
    /// What is required of rates to compare with. The part of the runs that may be on slow workers
    /// is smaller than 1 / `quantile`, and so is the part that may be long.
    struct SampleRequirement
    {
        std::size_t workers = 1; // at least
        std::size_t quantile = 4; // of the lowest rates, which must be near the median
    };
    static const SampleRequirement OfStep;
    static const SampleRequirement OfNarrowStep;
    static const SampleRequirement OfQueue;

    /// Progress rates of different runs; the oldest is replaced.
    class RateSamples
    {
    public:
        void add(std::uint64_t runKey, int worker, double rate, Time when);
        /// The median of the rates on other workers. Nothing if there are too few or if they
        /// differ too much.
        std::optional<double> typicalRate(int exceptWorker, const std::vector<bool> &slowWorkers,
                                          const SampleRequirement &demand, Time now) const;

    private:
        struct Sample
        {
            std::uint64_t runKey = 0;
            int worker = 0;
            double rate = 0;
            Time when{};
        };
        std::vector<Sample> samples_;
        std::size_t next_ = 0; // to be replaced
    };

    /// Rates in shares of a run per second; in a queue, multiplied by the estimate in seconds.
    struct Group
    {
        RateSamples progress; // by reports of progress between 0 and 100 percent
        RateSamples total; // by the durations of runs until the report of their end
    };
    struct Baseline
    {
        double rate = 0; // in shares of a run per second; 0: there is nothing to compare with
        bool isByStep = false;
    };
    struct JobGroups
    {
        std::vector<Group> steps;
        Time usedAt{};
    };

    /// What one run says about its worker.
    struct RunEvidence
    {
        std::uint64_t key = 0;
        TaskRef task;
        RunNumber run;
        int basePercent = 0; // at the beginning of the interval that is not counted yet
        Time baseTime{};
        double baseSpeed = 1; // allowed then
        bool hadFullSpeed = true; // allowed all the time
        // Progress and the progress that it would have made on other workers, in shares of a run.
        double done = 0;
        double expected = 0;
        bool isByStep = false;
        Time when{}; // of the last progress that was counted
        Time seenAt{}; // last report that contained the run, or its end

        double ratio() const { return expected > 0 ? done / expected : 1; }
    };

    /// Sums over the recent evidence of a worker.
    struct Evidence
    {
        double done = 0; // weighted by age, as is `expected`
        double expected = 0;
        double share = 0; // expected progress without weights
        SpeedChange summary;
        bool isFarBehind = false; // a run compared within its step
        bool hasSlowStepRun = false;
        bool hasNormalRun = false; // a recent one that is not slow

        double ratio() const { return expected > 0 ? done / expected : 1; }
    };

    enum class SpeedClass { Normal, Slow, Trial };
    struct Worker
    {
        int number = 0;
        std::vector<RunEvidence> runs;
        SpeedClass speedClass = SpeedClass::Normal;
        double factor = 1; // as last measured
        Time evidenceAt{}; // last evidence
        int returnFactor = 1; // on the time in which the factor returns to 1
    };

    Worker &workerOf(const WorkerId &id);
    RunEvidence &evidenceOf(Worker &worker, const TaskRef &task, const RunProgress &progress);
    Group &stepGroup(const TaskRef &task, Time now);
    void countProgress(Worker &worker, RunEvidence &run, const QueueId &queue,
                       const RunProgress &progress);
    static void useBaseline(RunEvidence &run, Baseline &baseline);
    Baseline baselineFor(int worker, const Group &step, const Group &queue, Duration estimate,
                         Time now) const;
    void setClass(Worker &worker, SpeedClass speedClass);
    void dropOldJobs(Time now);
    static Evidence evidenceFor(Worker &worker, Time now);
    static bool isSlow(const Evidence &evidence);
    static double factorAt(const Worker &worker, Time now);

    std::unordered_map<WorkerId, Worker> workers_;
    std::unordered_map<JobId, JobGroups> jobs_;
    std::unordered_map<QueueId, Group> queues_;
    // By the number of the worker. Number 0 is unused; that of a removed worker is not used again.
    std::vector<bool> isSlow_{false};
    std::uint64_t lastRunKey_ = 0;
    Time jobsDroppedAt_{};
};

} // namespace monsoonledge
