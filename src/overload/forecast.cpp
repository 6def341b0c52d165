// The forecast of capacity and of delays.
//
// Delays follow a fluid model: the processors that long-running tasks leave work off what waits. A
// simulation of all tasks would cost the coordinator much more time and be hardly more exact, since
// it rests on the clients' estimates of durations.
#include "overload/overload.h"

#include <algorithm>
#include <cmath>

namespace monsoonledge {

namespace {

constexpr std::size_t IntervalsIn1s = seconds(1) / RoomInterval;
constexpr std::size_t IntervalsIn3s = seconds(3) / RoomInterval;

constexpr Duration DefaultDuration = milliseconds(500); // of a task without an estimate
constexpr Duration MaxCountedDuration = seconds(30);
constexpr std::size_t RoomIntervals = 10;
// An overdue task is expected to end after this share of its expected duration.
constexpr double OverdueShare = 0.1;
// Processors of tasks that run longer than this count as taken.
constexpr Duration HeldAfter = seconds(10);
// Share of the service that always counts as capacity, so that delays stay finite.
constexpr double MinCapacityShare = 0.02;
constexpr double MaxDelaySeconds = 600;
// Together, the active queues of a service are guaranteed half of its capacity, in equal shares.
constexpr double GuaranteedShare = 0.5;
// Share of their reservation that long-running tasks are assumed to leave idle; as in the
// scheduler.
constexpr double IdleShare = 0.5;
constexpr double RateWeight = 0.25; // of one interval in the best-effort rate and the start rate
// Lower limit of the best-effort rate, relative to the processors that such tasks request.
constexpr double MinRateShare = 0.1;
constexpr double DemandWeight = 0.5; // of one interval in the rate of new work
// Work that waits, in seconds of the capacity, at which refusal of a queue's excess begins and
// ends.
constexpr double BeginRefusalSeconds = 3;
constexpr double EndRefusalSeconds = 0.3;
// Work of jobs that can be on time that should wait: less leaves processors idle, and more makes
// jobs late whose slack is half a second.
constexpr double TargetWaitSeconds = 1.0;
constexpr double MinAdmitShare = 0.05;
constexpr Duration MaxInterval = seconds(5); // longer gaps between snapshots are not counted
constexpr Duration ShapeRetention = minutes(10); // a lost kind of worker may come back
constexpr std::size_t MaxShapes = 300; // in a report

double toSeconds(Duration duration)
{
    return toMilliseconds(duration) / 1000;
}

Duration fromSeconds(double value)
{
    return milliseconds(static_cast<std::int64_t>(std::clamp(value, 0.0, MaxDelaySeconds) * 1000));
}

Duration remainingOf(const RunningTask &task, double durationFactor)
{
    const Duration counted = countedDuration(task.estimate);
    const auto expected = std::chrono::duration_cast<Duration>(counted * durationFactor);
    const auto overdue = std::chrono::duration_cast<Duration>(expected * OverdueShare);
    return std::max(expected - task.elapsed, overdue);
}

/// Core-seconds that wait before a new task.
struct Queued
{
    double startable = 0;
    double later = 0;
    double cpu = 0; // millicores of the startable tasks

    void add(const WaitingWork &work, double durationFactor)
    {
        startable += work.startableCoreSeconds * durationFactor;
        later += work.laterCoreSeconds * durationFactor;
        cpu += static_cast<double>(work.startableCpu);
    }
    /// Seconds until a task behind this work starts. Of the later steps only those count which
    /// begin before that time.
    double delay(double cores, double meanSeconds) const
    {
        if (startable <= 0)
            return 0;
        const double begunShare = startable / (startable + cores * meanSeconds);
        return (startable + later * begunShare) / cores;
    }
};

} // namespace

Duration countedDuration(Duration estimate)
{
    return estimate <= Duration::zero() ? DefaultDuration : std::min(estimate, MaxCountedDuration);
}

/// Sums of one service. In millicores, on workers that accept tasks.
struct CapacityForecast::Totals
{
    ServiceId service;
    double total = 0;
    double free = 0; // neither reserved nor wanted by interrupted long-running tasks
    double reserved = 0; // by tasks that end
    double idle = 0; // estimate of what best-effort tasks can still use
    double bestEffortRunning = 0;
    double shared = 0; // not used by long-running tasks
    double held = 0; // by tasks that run for long
    double freeing1s = 0;
    double freeing3s = 0;
    double meanSeconds = 0; // duration of ordinary tasks
    double waitingCpu = 0; // of startable ordinary tasks
    double bestEffortWaiting = 0;
    std::map<std::size_t, double> usedByQueue; // by index of the queue
    std::map<std::size_t, double> waitingByQueue;
    std::map<std::size_t, double> workByQueue; // core-seconds that wait and can start

    double cores() const { return std::max({shared - held, total * MinCapacityShare, 1.0}) / 1000; }
};

void CapacityForecast::buildRooms(const CapacitySnapshot &snapshot)
{
    std::map<std::pair<ServiceId, DomainId>, DomainRoom> rooms;
    std::map<ServiceId, std::int64_t> totals;
    const auto roomOf = [&](const WorkerUse &worker) -> DomainRoom & {
        DomainRoom &room = rooms[{worker.service, worker.domain}];
        if (room.freeing.empty()) {
            room.service = worker.service;
            room.domain = worker.domain;
            room.asOf = snapshot.asOf;
            room.source = EstimateSource::Measured;
            room.freeing.resize(RoomIntervals);
        }
        return room;
    };
    for (const WorkerUse &worker : snapshot.workers) {
        DomainRoom &room = roomOf(worker);
        room.isClosed = room.isClosed || worker.isInClosedDomain;
        if (!worker.acceptsTasks)
            continue;
        room.total += worker.shape.cpu;
        room.free += worker.shape.cpu - worker.reserved;
        totals[worker.service] += worker.shape.cpu;
    }
    for (const RunningTask &task : snapshot.running) {
        const WorkerUse &worker = snapshot.workers.at(task.worker);
        if (!worker.acceptsTasks || task.bestEffort || task.longRunning)
            continue;
        const Duration left = remainingOf(task, snapshot.queues.at(task.queue).durationFactor);
        const auto interval = static_cast<std::size_t>(left / RoomInterval);
        if (interval < RoomIntervals)
            roomOf(worker).freeing.at(interval) += task.cpu;
    }
    rooms_.clear();
    for (auto &[key, room] : rooms) {
        const auto wanted = snapshot.wantedByInterrupted.find(room.service);
        const std::int64_t total = totals[room.service];
        if (wanted != snapshot.wantedByInterrupted.end() && total > 0)
            room.wantedByInterrupted = static_cast<std::int64_t>(static_cast<double>(wanted->second)
                                                                 * static_cast<double>(room.total)
                                                                 / static_cast<double>(total));
        rooms_.push_back(std::move(room));
    }
}

CapacityForecast::Totals CapacityForecast::totalsOf(const CapacitySnapshot &snapshot,
                                                    const ServiceId &service) const
{
    Totals totals;
    totals.service = service;
    double wanted = 0;
    for (const DomainRoom &room : rooms_) {
        if (room.service != service)
            continue;
        totals.total += static_cast<double>(room.total);
        totals.free += static_cast<double>(room.free);
        wanted += static_cast<double>(room.wantedByInterrupted);
        for (std::size_t i = 0; i < room.freeing.size(); ++i) {
            totals.freeing1s += i < IntervalsIn1s ? static_cast<double>(room.freeing[i]) : 0;
            totals.freeing3s += i < IntervalsIn3s ? static_cast<double>(room.freeing[i]) : 0;
        }
    }
    totals.free -= wanted;
    totals.shared = totals.total - wanted;
    for (const WorkerUse &worker : snapshot.workers) {
        if (!worker.acceptsTasks || worker.service != service)
            continue;
        const auto longRunning = static_cast<double>(worker.reservedLongRunning);
        totals.shared -= longRunning;
        totals.reserved += static_cast<double>(worker.reserved) - longRunning;
        totals.idle += static_cast<double>(worker.shape.cpu) - static_cast<double>(worker.reserved)
                       + IdleShare * longRunning;
    }
    double sumSeconds = 0;
    int tasks = 0;
    for (const RunningTask &task : snapshot.running) {
        const WorkerUse &worker = snapshot.workers.at(task.worker);
        if (worker.service != service || task.longRunning)
            continue;
        const auto cpu = static_cast<double>(task.cpu);
        totals.usedByQueue[task.queue] += cpu;
        if (task.bestEffort) {
            totals.bestEffortRunning += cpu;
            continue;
        }
        const double factor = snapshot.queues.at(task.queue).durationFactor;
        sumSeconds += toSeconds(countedDuration(task.estimate)) * factor;
        ++tasks;
        if (worker.acceptsTasks && remainingOf(task, factor) > HeldAfter)
            totals.held += cpu;
    }
    totals.meanSeconds = tasks > 0 ? sumSeconds / tasks : toSeconds(DefaultDuration);
    totals.idle = std::max(totals.idle - totals.bestEffortRunning, 0.0);
    for (const WaitingWork &work : snapshot.waiting) {
        if (snapshot.queues.at(work.queue).service != service)
            continue;
        const auto cpu = static_cast<double>(work.startableCpu);
        (work.bestEffort ? totals.bestEffortWaiting : totals.waitingCpu) += cpu;
        totals.waitingByQueue[work.queue] += cpu;
        totals.workByQueue[work.queue] += work.startableCoreSeconds;
    }
    return totals;
}

/// Measures the rate only while such tasks wait: otherwise it shows the demand, not the capacity.
void CapacityForecast::updateBestEffortRate(const CapacitySnapshot &snapshot, const Totals &totals,
                                            ServiceHistory &history, Duration interval) const
{
    const auto it = snapshot.bestEffortDone.find(totals.service);
    const double done = it == snapshot.bestEffortDone.end() ? 0 : it->second;
    const bool isWaiting = totals.bestEffortWaiting > 0;
    if (isWaiting && history.hadBestEffortWaiting && interval > Duration::zero()) {
        const double rate = std::max(done - history.bestEffortDone, 0.0) / toSeconds(interval);
        const double running = totals.bestEffortRunning / 1000;
        if (history.bestEffortRate <= 0) // tasks that began together have not ended yet
            history.bestEffortRate = std::max(rate, running);
        else
            history.bestEffortRate += RateWeight * (rate - history.bestEffortRate);
        history.bestEffortRate = std::max(history.bestEffortRate, running * MinRateShare);
    } else if (!isWaiting) {
        history.bestEffortRate = 0;
    }
    history.bestEffortDone = done;
    history.hadBestEffortWaiting = isWaiting;
}

/// Compares the predictions of 1 s and 3 s ago with the free processors of now, and predicts anew.
/// New work is expected to start at the present rate.
void CapacityForecast::updateErrors(const CapacitySnapshot &snapshot, const Totals &totals,
                                    ServiceHistory &history, Duration interval)
{
    const double actual = std::max(totals.free, 0.0);
    ForecastError &error = errors_[totals.service];
    const auto compare = [&](Duration age, double Prediction::*value,
                             std::optional<double> &result) {
        constexpr Duration tolerance = milliseconds(300);
        result.reset();
        for (const Prediction &prediction : history.predictions) {
            const Duration actualAge = snapshot.asOf - prediction.madeAt;
            if (actualAge >= age - tolerance && actualAge <= age + tolerance && totals.total > 0)
                result = (prediction.*value - actual) / totals.total;
        }
    };
    compare(seconds(1), &Prediction::freeAfter1s, error.after1s);
    compare(seconds(3), &Prediction::freeAfter3s, error.after3s);
    const auto ended = snapshot.endedCpu.find(totals.service);
    const std::int64_t endedCpu = ended == snapshot.endedCpu.end() ? 0 : ended->second;
    const auto reserved = static_cast<std::int64_t>(totals.reserved);
    if (interval > Duration::zero()) {
        const auto started =
                static_cast<double>(endedCpu - history.endedCpu + reserved - history.reserved);
        const double rate = std::max(started, 0.0) / toSeconds(interval);
        history.startRate += RateWeight * (rate - history.startRate);
    }
    history.endedCpu = endedCpu;
    history.reserved = reserved;
    const auto predict = [&](double freeing, double ahead) {
        const double returned = history.startRate * std::max(ahead - totals.meanSeconds, 0.0);
        const double taken = history.startRate * ahead + totals.waitingCpu;
        return std::clamp(totals.free + freeing + returned - taken, 0.0,
                          std::max(totals.shared, 0.0));
    };
    history.predictions.push_back(
            {snapshot.asOf, predict(totals.freeing1s, 1), predict(totals.freeing3s, 3)});
    while (snapshot.asOf - history.predictions.front().madeAt > seconds(4))
        history.predictions.pop_front();
}

/// Adds up what queues take beyond the part that others below their share leave them.
void CapacityForecast::updateShares(const CapacitySnapshot &snapshot, const Totals &totals,
                                    Duration interval)
{
    const auto valueOf = [](const std::map<std::size_t, double> &values, std::size_t queue) {
        const auto it = values.find(queue);
        return it == values.end() ? 0.0 : it->second;
    };
    std::vector<std::size_t> queues;
    int active = 0;
    bool isAnyWaiting = false;
    for (std::size_t i = 0; i < snapshot.queues.size(); ++i) {
        if (snapshot.queues[i].service != totals.service)
            continue;
        queues.push_back(i);
        const bool isWaiting = valueOf(totals.waitingByQueue, i) > 0;
        active += isWaiting || valueOf(totals.usedByQueue, i) > 0 ? 1 : 0;
        isAnyWaiting = isAnyWaiting || isWaiting;
    }
    const double shared = std::max(totals.shared, 1.0);
    const double share = GuaranteedShare / std::max(active, 1) * shared;
    double owed = 0; // to queues below their share
    for (const std::size_t i : queues) {
        if (valueOf(totals.waitingByQueue, i) > 0)
            owed += std::max(share - valueOf(totals.usedByQueue, i), 0.0);
    }
    for (const std::size_t i : queues) {
        const double used = valueOf(totals.usedByQueue, i);
        double &overuse = overuse_[snapshot.queues[i].id];
        const double allowed = shared - (used > share ? owed : 0);
        const double change = used > share && owed > 0 ? std::max(used - allowed, 0.0)
                                                       : -(shared - share * (active - 1));
        overuse = std::max(overuse + change / 1000 * toSeconds(interval), 0.0);
        if (!isAnyWaiting)
            overuse = 0;
        QueueLoad load;
        load.queue = snapshot.queues[i].id;
        load.durationFactor = snapshot.queues[i].durationFactor;
        load.shareDelay = fromSeconds(overuse / (share / 1000));
        load.isBelowShare = used < share
                            && valueOf(totals.workByQueue, i) <= share / 1000; // one second's worth
        report_.queues.push_back(load);
    }
}

/// For each label, the workers that no other one equals or exceeds in every respect.
std::vector<WorkerShape> CapacityForecast::shapesOf(const CapacitySnapshot &snapshot,
                                                    const ServiceId &service,
                                                    ServiceHistory &history) const
{
    for (const WorkerUse &worker : snapshot.workers) {
        if (worker.service != service)
            continue;
        const WorkerShape &shape = worker.shape;
        history.shapes[{std::string(), shape.cpu, shape.memory, shape.accelerators}] =
                snapshot.asOf;
        for (const std::string &label : worker.labels)
            history.shapes[{label, shape.cpu, shape.memory, shape.accelerators}] = snapshot.asOf;
    }
    std::vector<WorkerShape> shapes;
    // From the end: by label, the largest number of processors first.
    for (auto it = history.shapes.end(); it != history.shapes.begin();) {
        --it;
        if (snapshot.asOf - it->second > ShapeRetention) {
            it = history.shapes.erase(it);
            continue;
        }
        const auto &[label, cpu, memory, accelerators] = it->first;
        const WorkerShape shape{cpu, memory, accelerators, label};
        const bool isCovered =
                std::any_of(shapes.begin(), shapes.end(), [&shape](const WorkerShape &larger) {
                    return larger.label == shape.label && larger.memory >= shape.memory
                           && larger.accelerators >= shape.accelerators;
                });
        if (!isCovered)
            shapes.push_back(shape);
    }
    return shapes.size() > MaxShapes ? std::vector<WorkerShape>() : shapes;
}

ServiceLoad CapacityForecast::loadOf(const CapacitySnapshot &snapshot, const Totals &totals,
                                     const ServiceHistory &history) const
{
    ServiceLoad load;
    load.service = totals.service;
    load.total = static_cast<std::int64_t>(totals.total);
    load.free = static_cast<std::int64_t>(totals.free - totals.waitingCpu);
    load.bestEffortFree = totals.bestEffortWaiting > 0 ? 0 : static_cast<std::int64_t>(totals.idle);
    std::map<int, PriorityLoad> priorities;
    for (const QueueUse &queue : snapshot.queues) {
        if (queue.service == totals.service)
            priorities[queue.priority].priority = queue.priority;
    }
    const double bestEffort = bestEffortCores(totals, history);
    for (auto &[priority, result] : priorities) {
        Queued onTime;
        Queued late;
        Queued bestEffortOnTime;
        Queued bestEffortLate;
        for (const WaitingWork &work : snapshot.waiting) {
            const QueueUse &queue = snapshot.queues.at(work.queue);
            if (queue.service != totals.service)
                continue;
            const bool isBefore = queue.priority <= priority;
            // The best-effort rate is measured in estimated core-seconds.
            const double factor = work.bestEffort ? 1 : queue.durationFactor;
            if (isBefore && !work.isLate)
                (work.bestEffort ? bestEffortOnTime : onTime).add(work, factor);
            if (isBefore || !work.isLate)
                (work.bestEffort ? bestEffortLate : late).add(work, factor);
        }
        const auto delayOf = [&](const Queued &queued) {
            return queued.cpu <= totals.free
                           ? Duration::zero()
                           : fromSeconds(queued.delay(totals.cores(), totals.meanSeconds));
        };
        result.delay = delayOf(onTime);
        result.lateDelay = std::max(delayOf(late), result.delay);
        result.waitingCoreSeconds = late.startable + late.later;
        const double mean = toSeconds(DefaultDuration);
        result.bestEffortDelay = fromSeconds(bestEffortOnTime.delay(bestEffort, mean));
        result.bestEffortLateDelay = std::max(fromSeconds(bestEffortLate.delay(bestEffort, mean)),
                                              result.bestEffortDelay);
        result.bestEffortCoreSeconds = bestEffortLate.startable + bestEffortLate.later;
        load.priorities.push_back(result);
    }
    return load;
}

/// What best-effort tasks get done at present, in estimated core-seconds a second.
double CapacityForecast::bestEffortCores(const Totals &totals, const ServiceHistory &history)
{
    const double assumed = (totals.idle + totals.bestEffortRunning) / 1000;
    return std::max({history.bestEffortRate > 0 ? history.bestEffortRate : assumed,
                     totals.total * MinCapacityShare / 1000, 0.001});
}

void CapacityForecast::updateDemand(const CapacitySnapshot &snapshot, Duration interval)
{
    for (const QueueUse &queue : snapshot.queues) {
        Demand &demand = demands_[queue.id];
        if (interval > Duration::zero()) {
            const double submitted = queue.submittedCoreSeconds - demand.submitted;
            demand.lastRate = std::max(submitted, 0.0) / toSeconds(interval);
            demand.rate += DemandWeight * (demand.lastRate - demand.rate);
        }
        demand.submitted = queue.submittedCoreSeconds;
    }
}

/// Adapts the share of new jobs that each queue admits to the capacity that higher priorities
/// leave. It begins when late work waits for more than a second and ends when hardly any work
/// waits: in between, jobs that cannot be on time would get nothing before they are worthless. All
/// jobs or none for a second at a time would leave processors idle, since the slack of short jobs
/// is shorter than the time between two reports.
void CapacityForecast::updateAdmitShares(const CapacitySnapshot &snapshot, const Totals &totals,
                                         const ServiceHistory &history)
{
    for (std::size_t i = 0; i < snapshot.queues.size(); ++i) {
        const QueueUse &queue = snapshot.queues[i];
        if (queue.service != totals.service)
            continue;
        Queued onTime;
        Queued all;
        bool isBestEffort = false;
        bool isLate = false;
        for (const WaitingWork &work : snapshot.waiting) {
            if (work.queue != i)
                continue;
            isBestEffort = isBestEffort || work.bestEffort;
            isLate = isLate || (work.isLate && work.startableCpu > 0);
            const double factor = work.bestEffort ? 1 : queue.durationFactor;
            all.add(work, factor);
            if (!work.isLate)
                onTime.add(work, factor);
        }
        const double factor = isBestEffort ? 1 : queue.durationFactor;
        double cores = isBestEffort ? bestEffortCores(totals, history) : totals.cores();
        double samePriority = 0;
        for (const QueueUse &other : snapshot.queues) {
            if (other.service != queue.service || (isBestEffort && other.id != queue.id))
                continue;
            const double rate = demands_[other.id].rate * other.durationFactor;
            if (other.priority < queue.priority)
                cores -= rate;
            else if (other.priority == queue.priority)
                samePriority += rate;
        }
        Demand &demand = demands_[queue.id];
        const double rate = demand.rate * factor;
        if (samePriority > rate && rate > 0 && !isBestEffort)
            cores *= rate / samePriority;
        cores = std::max(cores, totals.total * MinCapacityShare / 1000);
        const double waitSeconds = all.startable / cores;
        if (!demand.isRefusing && isLate && waitSeconds > BeginRefusalSeconds && rate > cores)
            demand.isRefusing = true;
        if (demand.isRefusing) {
            const double ahead = onTime.startable / cores;
            const double wanted = cores * std::clamp(1 + (TargetWaitSeconds - ahead), 0.4, 1.4);
            const double lastRate = std::max(demand.lastRate * factor, cores * 0.1);
            demand.admitShare =
                    std::clamp(demand.admitShare * std::clamp(wanted / lastRate, 0.4, 1.6),
                               MinAdmitShare, 1.0);
            if (demand.admitShare >= 1 && waitSeconds < EndRefusalSeconds)
                demand.isRefusing = false;
        }
        for (QueueLoad &load : report_.queues) {
            if (load.queue == queue.id)
                load.admitShare = demand.isRefusing ? demand.admitShare : 1;
        }
    }
}

void CapacityForecast::update(const CapacitySnapshot &snapshot)
{
    const Duration interval =
            updatedAt_ ? std::clamp(snapshot.asOf - *updatedAt_, Duration::zero(), MaxInterval)
                       : Duration::zero();
    updatedAt_ = snapshot.asOf;
    buildRooms(snapshot);
    updateDemand(snapshot, interval);
    report_ = AdmissionReport();
    std::vector<ServiceId> services;
    for (const DomainRoom &room : rooms_) {
        if (services.empty() || services.back() != room.service) // rooms are in order
            services.push_back(room.service);
    }
    for (const ServiceId &service : services) {
        ServiceHistory &history = histories_[service];
        const Totals totals = totalsOf(snapshot, service);
        updateBestEffortRate(snapshot, totals, history, interval);
        updateErrors(snapshot, totals, history, interval);
        updateShares(snapshot, totals, interval);
        updateAdmitShares(snapshot, totals, history);
        ServiceLoad load = loadOf(snapshot, totals, history);
        load.shapes = shapesOf(snapshot, service, history);
        report_.services.push_back(std::move(load));
    }
}

} // namespace monsoonledge
