// A queueing model of one service under overload, in virtual time: workers, tasks that occupy their
// processors, clients that retry, and entry processes with the admission policy. It leaves out the
// store, failures of tasks, memory, and the slowdown of best-effort tasks by others.
#pragma once

#include "overload/overload.h"

#include <algorithm>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace monsoonledge {

enum class JobOrder { Scheduler, Arrival, Deadline, ShortestFirst };

/// One kind of jobs; all of its steps are in a chain.
struct JobKind
{
    std::string queue;
    int priority = 0;
    double slackFactor = 1;
    Duration targetLatency{};
    double jobsPerSecond = 0;
    double meanSteps = 1; // between 1 and 2
    int tasks = 1; // of each step
    std::uint64_t cpu = 1000;
    Duration shortest{}; // task
    Duration longest{};
    bool bestEffort = false;
};

struct OverloadLoad
{
    std::string name;
    std::vector<JobKind> kinds;
    // Multiple of the usual rate, by index of the kind and second.
    std::function<double(std::size_t kind, int second)> demand = [](std::size_t, int) {
        return 1.0;
    };
    int burstSize = 1; // jobs that arrive at the same instant
    int lossAt = -1; // second at which a fifth of the workers is lost; -1: never
    int returnAt = -1;
    double durationFactor = 1.2; // by which the client's estimates are too short
    int seconds = 60; // of arrivals
};

struct OverloadCounts
{
    int onTime = 0;
    int late = 0;
    int worthless = 0;
    int refused = 0;
    int jobs() const { return onTime + late + worthless + refused; }
};

struct OverloadResult
{
    std::map<std::string, OverloadCounts> kinds;
    int refusals = 0; // answers, several for each job
    int refusalsWhileFree = 0; // though its first step would have found free processors at once
    std::map<std::string, int>
            switches; // between refusing and admitting new jobs, in whole seconds
    std::map<std::string, double> coreSeconds; // used by each queue
    std::vector<double> errors1s; // of the forecast
    std::vector<double> errors3s;
    std::map<std::string, std::map<std::string, int>> reasons; // of refusals
    std::map<std::string, std::vector<std::pair<double, bool>>> firstAnswers; // size, admitted

    int onTime() const
    {
        int sum = 0;
        for (const auto &[name, counts] : kinds)
            sum += counts.onTime;
        return sum;
    }
};

/// How the model admits jobs.
enum class ModelAdmission {
    None, // all
    Default,
    RefusingExcess,
};

inline AdmissionSettings refusingExcess()
{
    AdmissionSettings settings;
    settings.refusesExcess = true;
    return settings;
}

class OverloadModel
{
public:
    static constexpr int WorkerCount = 20;
    static constexpr std::int64_t WorkerCpu = 16000;
    static constexpr std::int64_t LongRunningCpu = 12000; // reserved on each worker
    static constexpr int EntryCount = 4;
    static constexpr int MaxRetries = 4;

    OverloadModel(const OverloadLoad &load, JobOrder order, ModelAdmission admission,
                  std::uint64_t seed)
        : load_(load), order_(order), hasAdmission_(admission != ModelAdmission::None),
          random_(seed), workers_(WorkerCount),
          policies_(EntryCount, AdmissionPolicy(admission == ModelAdmission::RefusingExcess
                                                        ? refusingExcess()
                                                        : AdmissionSettings()))
    { }

    OverloadResult run()
    {
        const Time end = Time{} + std::chrono::seconds(load_.seconds + 40);
        for (now_ = Time{}; now_ < end; now_ += Tick) {
            endTasks();
            changeWorkers();
            if (now_ < Time{} + std::chrono::seconds(load_.seconds))
                arrive();
            retry();
            dispatch();
            if ((now_ - Time{}) % ReportInterval == Duration::zero())
                report();
        }
        finish();
        return result_;
    }

private:
    static constexpr Duration Tick = milliseconds(20);
    static constexpr Duration ReportInterval = std::chrono::seconds(1);
    static constexpr Duration ReportDelay = milliseconds(300); // until all processes have it

    struct Task
    {
        Duration duration{};
        int worker = -1; // that runs it
        Time startedAt{};
        bool isDone = false;
    };
    struct Job
    {
        JobSpec spec;
        std::size_t kind = 0;
        Time submittedAt{}; // first
        Duration objective{};
        Duration path{}; // by true durations
        std::vector<std::vector<Task>> steps;
        std::size_t step = 0; // present one
        int retries = 0;
        bool isAccepted = false;
        bool isRefused = false;
        std::optional<Time> doneAt;
        Time retryAt{};
    };
    struct Worker
    {
        bool isLost = false;
        std::int64_t used = 0;
        std::int64_t bestEffort = 0;
    };

    double second() const { return toMilliseconds(now_ - Time{}) / 1000; }

    void arrive()
    {
        for (std::size_t k = 0; k < load_.kinds.size(); ++k) {
            const double rate =
                    load_.kinds[k].jobsPerSecond * load_.demand(k, static_cast<int>(second()));
            const double expected = rate * toMilliseconds(Tick) / 1000 / load_.burstSize;
            if (random_.unit() >= expected)
                continue;
            for (int i = 0; i < load_.burstSize; ++i)
                submit(makeJob(k));
        }
    }

    Job &makeJob(std::size_t k)
    {
        const JobKind &kind = load_.kinds[k];
        jobs_.emplace_back();
        Job &job = jobs_.back();
        job.kind = k;
        job.submittedAt = now_;
        job.spec.id = JobId("job" + std::to_string(jobs_.size()));
        job.spec.queue = QueueId(kind.queue);
        job.spec.terms.service = ServiceId("desk");
        job.spec.terms.priority = kind.priority;
        job.spec.terms.slackFactor = kind.slackFactor;
        job.spec.terms.targetLatency = kind.targetLatency;
        const int steps = random_.unit() < kind.meanSteps - 1 ? 2 : 1;
        for (int s = 0; s < steps; ++s) {
            StepSpec step;
            // A tenth of the jobs is three times as wide.
            step.count = jobs_.size() % 10 == 0 ? kind.tasks * 3 : kind.tasks;
            step.cpu.value = kind.cpu;
            step.bestEffort = kind.bestEffort;
            const auto span = static_cast<double>((kind.longest - kind.shortest).count());
            const Duration duration =
                    kind.shortest + microseconds(static_cast<std::int64_t>(random_.unit() * span));
            step.estimate = std::chrono::duration_cast<Duration>(duration / load_.durationFactor);
            if (s > 0)
                step.after.push_back(s - 1);
            job.spec.steps.push_back(step);
            job.steps.emplace_back(static_cast<std::size_t>(step.count));
            // Estimates also have individual errors.
            for (Task &task : job.steps.back())
                task.duration = std::chrono::duration_cast<Duration>(
                        duration * (0.75 + 0.5 * random_.unit()));
            job.path += duration;
        }
        job.objective = std::chrono::duration_cast<Duration>(job.path * kind.slackFactor)
                        + kind.targetLatency;
        return job;
    }

    void submit(Job &job)
    {
        AdmissionPolicy &policy = policies_[balancer_.below(EntryCount)];
        const bool isFirst = job.retries == 0;
        if (hasAdmission_) {
            const AdmissionReport *report = now_ >= reportAt_ ? &report_ : nullptr;
            const AdmissionDecision decision =
                    policy.decide(job.spec, report, now_ - reportAt_ + ReportDelay, now_);
            if (isFirst)
                noteAnswer(job, decision.isAdmitted);
            if (!decision.isAdmitted) {
                refuse(job, policy, decision);
                return;
            }
        }
        job.isAccepted = true;
        submitted_[job.spec.queue.str()] += estimatedCoreSeconds(job.spec);
        active_.push_back(&job);
    }

    void noteAnswer(const Job &job, bool isAdmitted)
    {
        const std::string &queue = job.spec.queue.str();
        result_.firstAnswers[queue].emplace_back(estimatedCoreSeconds(job.spec), isAdmitted);
        bool &wasRefusing = refusing_[queue];
        Time &switchedAt = switchedAt_[queue];
        if (wasRefusing == isAdmitted) {
            wasRefusing = !isAdmitted;
            if (now_ - switchedAt >= std::chrono::seconds(1))
                ++result_.switches[queue];
            switchedAt = now_;
        }
    }

    void refuse(Job &job, AdmissionPolicy &policy, const AdmissionDecision &decision)
    {
        policy.recordRefusal(job.spec, decision, now_);
        ++result_.refusals;
        ++result_.reasons[job.spec.queue.str()][admissionReasonName(decision.reason)];
        result_.refusalsWhileFree += wouldStart(job) ? 1 : 0;
        if (++job.retries > MaxRetries) {
            job.isRefused = true;
            return;
        }
        job.retryAt = now_ + decision.retryAfter;
        waitingClients_.push_back(&job);
    }

    void retry()
    {
        std::vector<Job *> due;
        for (auto it = waitingClients_.begin(); it != waitingClients_.end();) {
            if ((*it)->retryAt > now_) {
                ++it;
                continue;
            }
            due.push_back(*it);
            it = waitingClients_.erase(it);
        }
        for (Job *job : due)
            submit(*job);
    }

    std::int64_t roomOn(const Worker &worker, bool bestEffort) const
    {
        if (worker.isLost)
            return 0;
        const std::int64_t unreserved = WorkerCpu - LongRunningCpu - worker.used;
        return bestEffort ? unreserved + LongRunningCpu / 2 - worker.bestEffort : unreserved;
    }

    int findWorker(const JobKind &kind) const
    {
        for (int i = 0; i < WorkerCount; ++i) {
            if (roomOn(workers_[static_cast<std::size_t>(i)], kind.bestEffort)
                >= static_cast<std::int64_t>(kind.cpu))
                return i;
        }
        return -1;
    }

    /// True if the first step fits beside everything that waits.
    bool wouldStart(const Job &job) const
    {
        const JobKind &kind = load_.kinds[job.kind];
        std::int64_t tasks = 0;
        for (const Worker &worker : workers_)
            tasks += std::max(roomOn(worker, kind.bestEffort), std::int64_t{0})
                     / static_cast<std::int64_t>(kind.cpu);
        for (const Job *other : active_) {
            if (load_.kinds[other->kind].bestEffort != kind.bestEffort)
                continue;
            for (const Task &task : other->steps[other->step])
                tasks -= task.worker < 0 && !task.isDone ? 1 : 0;
        }
        return tasks >= job.spec.steps.front().count;
    }

    void endTasks()
    {
        for (std::size_t i = 0; i < active_.size();) {
            Job &job = *active_[i];
            bool isStepDone = true;
            for (Task &task : job.steps[job.step]) {
                if (task.worker >= 0 && now_ >= task.startedAt + task.duration) {
                    release(job, task);
                    task.isDone = true;
                    countEnd(job, task);
                }
                isStepDone = isStepDone && task.isDone;
            }
            if (isStepDone && ++job.step == job.steps.size()) {
                job.doneAt = now_;
                active_[i] = active_.back();
                active_.pop_back();
            } else {
                ++i;
            }
        }
    }

    void countEnd(const Job &job, const Task &task)
    {
        const JobKind &kind = load_.kinds[job.kind];
        const double cores = static_cast<double>(kind.cpu) / 1000;
        const double taskSeconds = toMilliseconds(task.duration) / 1000;
        result_.coreSeconds[kind.queue] += cores * taskSeconds;
        if (kind.bestEffort)
            bestEffortDone_ += cores * taskSeconds / load_.durationFactor;
        else
            endedCpu_ += static_cast<std::int64_t>(kind.cpu);
    }

    void release(const Job &job, Task &task)
    {
        const JobKind &kind = load_.kinds[job.kind];
        Worker &worker = workers_[static_cast<std::size_t>(task.worker)];
        (kind.bestEffort ? worker.bestEffort : worker.used) -= static_cast<std::int64_t>(kind.cpu);
        task.worker = -1;
    }

    void changeWorkers()
    {
        const bool isLost = load_.lossAt >= 0 && second() >= load_.lossAt
                            && (load_.returnAt < 0 || second() < load_.returnAt);
        for (int i = 0; i < WorkerCount / 5; ++i)
            workers_[static_cast<std::size_t>(i)].isLost = isLost;
        if (!isLost)
            return;
        for (Job *job : active_) {
            for (Task &task : job->steps[job->step]) {
                if (task.worker >= 0 && workers_[static_cast<std::size_t>(task.worker)].isLost)
                    release(*job, task);
            }
        }
    }

    Duration remainingPath(const Job &job) const
    {
        Duration sum{};
        for (std::size_t s = job.step; s < job.steps.size(); ++s)
            sum += std::chrono::duration_cast<Duration>(job.spec.steps[s].estimate
                                                        * load_.durationFactor);
        return sum;
    }

    /// 0: can be on time, 1: late, 2: worthless. As in the scheduler.
    int urgency(const Job &job) const
    {
        const Duration doneAfter = now_ + remainingPath(job) * 85 / 100 - job.submittedAt;
        return doneAfter > job.objective * 3 ? 2 : doneAfter > job.objective ? 1 : 0;
    }

    std::tuple<int, int, std::int64_t> orderKey(const Job &job) const
    {
        const Time objective = job.submittedAt + job.objective;
        switch (order_) {
        case JobOrder::Arrival:
            return {0, 0, job.submittedAt.time_since_epoch().count()};
        case JobOrder::Deadline:
            return {0, 0, objective.time_since_epoch().count()};
        case JobOrder::ShortestFirst:
            return {0, 0, static_cast<std::int64_t>(estimatedCoreSeconds(job.spec) * 1000)};
        case JobOrder::Scheduler:
            break;
        }
        return {urgency(job), load_.kinds[job.kind].priority, objective.time_since_epoch().count()};
    }

    void dispatch()
    {
        std::vector<std::pair<std::tuple<int, int, std::int64_t>, Job *>> keyed;
        for (Job *job : active_)
            keyed.emplace_back(orderKey(*job), job);
        std::sort(keyed.begin(), keyed.end(),
                  [](const auto &a, const auto &b) { return a.first < b.first; });
        std::map<std::pair<bool, std::uint64_t>, bool> isFull;
        for (const auto &[key, job] : keyed) {
            const JobKind &kind = load_.kinds[job->kind];
            bool &full = isFull[{kind.bestEffort, kind.cpu}];
            for (Task &task : job->steps[job->step]) {
                if (full)
                    break;
                if (task.worker >= 0 || task.isDone)
                    continue;
                task.worker = findWorker(kind);
                full = task.worker < 0;
                if (full)
                    break;
                task.startedAt = now_;
                Worker &worker = workers_[static_cast<std::size_t>(task.worker)];
                (kind.bestEffort ? worker.bestEffort : worker.used) +=
                        static_cast<std::int64_t>(kind.cpu);
            }
        }
    }

    void report()
    {
        forecast_.update(snapshot());
        report_ = forecast_.report();
        reportAt_ = now_ + ReportDelay;
        const ForecastError &error = forecast_.errors().begin()->second;
        if (error.after1s)
            result_.errors1s.push_back(std::abs(*error.after1s));
        if (error.after3s)
            result_.errors3s.push_back(std::abs(*error.after3s));
    }

    CapacitySnapshot snapshot() const
    {
        const ServiceId desk("desk");
        CapacitySnapshot snapshot;
        snapshot.asOf = now_;
        for (int i = 0; i < WorkerCount; ++i) {
            const Worker &worker = workers_[static_cast<std::size_t>(i)];
            WorkerUse use;
            use.service = desk;
            use.domain = DomainId("d" + std::to_string(i % 3));
            use.shape = {WorkerCpu, 64000, 0, {}};
            use.acceptsTasks = !worker.isLost;
            use.reservedLongRunning = LongRunningCpu;
            use.reserved = LongRunningCpu + worker.used;
            snapshot.workers.push_back(use);
        }
        for (const JobKind &kind : load_.kinds) {
            const auto submitted = submitted_.find(kind.queue);
            snapshot.queues.push_back({QueueId(kind.queue), desk, kind.priority,
                                       load_.durationFactor,
                                       submitted == submitted_.end() ? 0 : submitted->second});
        }
        std::map<std::pair<std::size_t, bool>, WaitingWork> waiting;
        for (const Job *job : active_) {
            const int urgencyNow = urgency(*job);
            WaitingWork &work = waiting[{job->kind, urgencyNow > 0}];
            const JobKind &kind = load_.kinds[job->kind];
            work.queue = job->kind;
            work.bestEffort = kind.bestEffort;
            work.isLate = urgencyNow > 0;
            for (std::size_t s = job->step; s < job->steps.size(); ++s) {
                const StepSpec &step = job->spec.steps[s];
                const double coreSeconds = toMilliseconds(step.estimate) / 1000
                                           * static_cast<double>(step.cpu.value) / 1000;
                for (const Task &task : job->steps[s]) {
                    if (task.worker >= 0)
                        snapshot.running.push_back({static_cast<std::size_t>(task.worker),
                                                    job->kind, static_cast<std::int64_t>(kind.cpu),
                                                    now_ - task.startedAt, step.estimate,
                                                    kind.bestEffort, false});
                    else if (!task.isDone && urgencyNow < 2 && s > job->step)
                        work.laterCoreSeconds += coreSeconds;
                    else if (!task.isDone && urgencyNow < 2) {
                        work.startableCoreSeconds += coreSeconds;
                        work.startableCpu += static_cast<std::int64_t>(kind.cpu);
                    }
                }
            }
        }
        for (const auto &[key, work] : waiting)
            snapshot.waiting.push_back(work);
        snapshot.endedCpu[desk] = endedCpu_;
        snapshot.bestEffortDone[desk] = bestEffortDone_;
        return snapshot;
    }

    void finish()
    {
        for (const Job &job : jobs_) {
            OverloadCounts &counts = result_.kinds[job.spec.queue.str()];
            if (!job.isAccepted) {
                ++counts.refused;
                continue;
            }
            const Duration took = job.doneAt ? *job.doneAt - job.submittedAt : Duration::max();
            if (took <= job.objective)
                ++counts.onTime;
            else if (took <= job.objective * 3)
                ++counts.late;
            else
                ++counts.worthless;
        }
    }

    OverloadLoad load_;
    JobOrder order_;
    bool hasAdmission_;
    Random random_; // of arrivals: the same for all policies
    Random balancer_{7}; // which process gets a submission
    Time now_{};
    std::list<Job> jobs_;
    std::vector<Job *> active_; // accepted and not done
    std::vector<Job *> waitingClients_;
    std::vector<Worker> workers_;
    std::vector<AdmissionPolicy> policies_;
    CapacityForecast forecast_;
    AdmissionReport report_;
    Time reportAt_ = Time::max();
    std::map<std::string, bool> refusing_;
    std::map<std::string, Time> switchedAt_;
    std::map<std::string, double> submitted_; // core-seconds
    std::int64_t endedCpu_ = 0;
    double bestEffortDone_ = 0;
    OverloadResult result_;
};

/// The usual mix of the two queues that earn by job, scaled to the model's workers.
inline std::vector<JobKind> usualKinds()
{
    return {{"short", 0, 1.5, milliseconds(275), 2.0, 1.6, 10, 2000, milliseconds(540),
             milliseconds(640), false},
            {"wide", 2, 2, std::chrono::seconds(1), 0.65, 2, 20, 1800, milliseconds(1400),
             milliseconds(2200), true}};
}

/// The loads that docs/overload-and-evacuation.md names, section 5.
inline std::vector<OverloadLoad> namedLoads()
{
    const auto burst = [](const std::vector<std::size_t> &kinds, double factor, int from,
                          int until) {
        return [=](std::size_t kind, int second) {
            const bool isBurst = second >= from && second < until
                                 && std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
            return isBurst ? factor : 1.0;
        };
    };
    std::vector<OverloadLoad> loads;
    const auto add = [&](const std::string &name) -> OverloadLoad & {
        loads.emplace_back();
        loads.back().name = name;
        loads.back().kinds = usualKinds();
        return loads.back();
    };
    add("shortBurst").demand = burst({0}, 2.6, 10, 30);
    add("wideBurst").demand = burst({1}, 2.6, 10, 30);
    add("bothBurst").demand = burst({0, 1}, 2.6, 10, 30);
    OverloadLoad &loss = add("capacityLoss");
    loss.demand = burst({0, 1}, 1.5, 10, 40);
    loss.lossAt = 15;
    loss.returnAt = 35;
    add("lowestFlood").demand = burst({1}, 6, 10, 40);
    add("highestFlood").demand = burst({0}, 6, 10, 40);
    OverloadLoad &synchronous = add("synchronousRetries");
    synchronous.demand = burst({0, 1}, 2.2, 10, 30);
    synchronous.burstSize = 10;
    add("atTheLimit").demand = [](std::size_t kind, int) { return kind == 0 ? 1.9 : 1.6; };
    return loads;
}

} // namespace monsoonledge
