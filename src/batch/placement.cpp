// BatchScheduler: capacity of workers and placement of queued tasks on them.

#include "batch/batch.h"

#include <algorithm>
#include <utility>

namespace monsoonledge {

namespace {

constexpr Duration PlacementInterval = milliseconds(50);

Capacity requiredCapacity(const BatchJob &job)
{
    return {static_cast<std::int64_t>(job.cores.value), static_cast<std::int64_t>(job.memory.value),
            job.accelerators};
}

} // namespace

void BatchScheduler::applyHosts(const HostListing &listing, Time now)
{
    if (!listing.ok)
        return;
    for (auto &item : workers_) {
        if (std::exchange(item.second.listed, false))
            item.second.unlistedSince = now;
    }
    for (const HostInfo &host : listing.hosts) {
        if (host.kind != HostKind::Worker || host.domain != settings_.domain)
            continue;
        Worker &worker = workers_[host.id];
        worker.host = host;
        worker.listed = true;
        updateCapacity(worker, now);
    }
    for (auto item = workers_.begin(); item != workers_.end();) {
        const bool unused =
                !item->second.listed && item->second.tasks.empty() && !item->second.reportInFlight;
        if (!item->second.listed)
            capacityIndex_.erase(item->first);
        item = unused ? workers_.erase(item) : std::next(item);
    }
}

int BatchScheduler::yieldRank(const std::string &job) const
{
    const auto found = std::find(sheet_.yieldOrder.begin(), sheet_.yieldOrder.end(), job);
    // Jobs that are not in the yield order yield before all others.
    return found == sheet_.yieldOrder.end() ? -1
                                            : static_cast<int>(found - sheet_.yieldOrder.begin());
}

Capacity BatchScheduler::batchCapacity(const Worker &worker) const
{
    const double usableFraction = 1 - sheet_.guards.headroom;
    Capacity capacity;
    capacity.milliCores = static_cast<std::int64_t>(usableFraction
                                                    * static_cast<double>(worker.host.cores.value));
    capacity.mebiBytes = static_cast<std::int64_t>(usableFraction
                                                   * static_cast<double>(worker.host.memory.value));
    capacity.accelerators = worker.host.accelerators;
    if (const Service *service = sheet_.findService(worker.host.service)) {
        const auto slots = static_cast<std::uint64_t>(worker.host.slots);
        capacity.milliCores -= static_cast<std::int64_t>(slots * service->slotCores.value);
        capacity.mebiBytes -= static_cast<std::int64_t>(slots * service->slotMemory.value);
    }
    return capacity;
}

void BatchScheduler::updateCapacity(Worker &worker, Time)
{
    Capacity free = batchCapacity(worker);
    for (const TaskId &id : worker.tasks) {
        if (const BatchJob *job = sheet_.findJob(state_.tasks.at(id).job)) {
            free.milliCores -= static_cast<std::int64_t>(job->cores.value);
            free.mebiBytes -= static_cast<std::int64_t>(job->memory.value);
            free.accelerators -= job->accelerators;
        }
    }
    if (worker.report.ok) {
        // Uses the larger of declared and reported use, since either may be too low.
        const double usableFraction = 1 - sheet_.guards.headroom;
        const auto remaining = [usableFraction](std::uint64_t total, std::uint64_t used) {
            return static_cast<std::int64_t>(usableFraction * static_cast<double>(total))
                   - static_cast<std::int64_t>(used);
        };
        free.milliCores = std::min(
                free.milliCores, remaining(worker.host.cores.value, worker.report.usedCores.value));
        free.mebiBytes = std::min(free.mebiBytes, remaining(worker.host.memory.value,
                                                            worker.report.usedMemory.value));
    }
    const bool usable = worker.listed && worker.host.state == HostState::Live && worker.report.ok
                        && worker.startsSinceReport < settings_.maxStartsBetweenReports;
    if (usable)
        capacityIndex_.set(worker.host.id, free);
    else
        capacityIndex_.erase(worker.host.id);
}

bool BatchScheduler::withinQuota(const BatchJob &job) const
{
    const auto team = std::find_if(sheet_.teams.begin(), sheet_.teams.end(),
                                   [&job](const Team &item) { return item.id == job.team; });
    if (team == sheet_.teams.end())
        return true;
    // Each failure domain enforces an equal part of the quota, rounded up, so that it needs no
    // coordination with the others.
    const std::uint64_t domains = settings_.domains.size();
    const std::uint64_t maxCores = (team->maxCores.value + domains - 1) / domains;
    const std::uint64_t maxTasks =
            (static_cast<std::uint64_t>(team->maxTasks) + domains - 1) / domains;
    std::uint64_t cores = job.cores.value;
    std::uint64_t tasks = 1;
    for (const TaskId &id : activeTasks_) {
        const BatchJob *other = sheet_.findJob(state_.tasks.at(id).job);
        if (!other || other->team != job.team)
            continue;
        cores += other->cores.value;
        ++tasks;
    }
    return (maxCores == 0 || cores <= maxCores) && (maxTasks == 0 || tasks <= maxTasks);
}

void BatchScheduler::placeQueuedTasks(Time now)
{
    if (queuedTasks_.empty() || now < nextPlacement_)
        return;
    nextPlacement_ = now + PlacementInterval;
    std::vector<std::pair<int, TaskId>> order;
    order.reserve(queuedTasks_.size());
    for (const TaskId &id : queuedTasks_)
        order.emplace_back(-yieldRank(state_.tasks.at(id).job), id);
    std::sort(order.begin(), order.end());
    // Jobs for which no worker was found in this pass; their other tasks need the same capacity.
    std::set<std::string> blockedJobs;
    for (const auto &item : order) {
        BatchTask &task = state_.tasks.at(item.second);
        const BatchJob *job = sheet_.findJob(task.job);
        if (!job) {
            task.waitReason = "the sheet in force has no job " + task.job;
        } else if (blockedJobs.count(task.job) > 0) {
            task.waitReason = "no worker has room";
        } else if (!withinQuota(*job)) {
            task.waitReason = "the team's quota is used up";
        } else {
            placeTask(task, *job, now);
            if (task.state == TaskState::Queued && task.failedOn.empty())
                blockedJobs.insert(task.job);
        }
    }
}

void BatchScheduler::placeTask(BatchTask &task, const BatchJob &job, Time now)
{
    HostId best;
    double bestCost = 0;
    for (const HostId &id :
         capacityIndex_.findCandidates(requiredCapacity(job), settings_.maxCandidates)) {
        const Worker &worker = workers_.at(id);
        const bool mayPlace = !worker.ejected || (job.idempotent && now >= worker.probeAt);
        if (task.failedOn.count(id) > 0 || !mayPlace)
            continue;
        const double cost = interference ? interference(task.job, id) : 0;
        if (best.isEmpty() || cost < bestCost) {
            best = id;
            bestCost = cost;
        }
    }
    if (best.isEmpty()) {
        task.waitReason = "no worker has room";
        return;
    }
    Worker &worker = workers_.at(best);
    if (worker.ejected)
        worker.probeAt = now + settings_.probeInterval;
    ++worker.startsSinceReport;
    worker.tasks.insert(task.id);
    task.state = TaskState::Claimed;
    task.worker = best;
    task.leaseSentAt = now;
    task.waitReason.clear();
    queuedTasks_.erase(task.id);
    activeTasks_.insert(task.id);
    startsToSend_.insert(task.id);
    markChanged(task);
    updateCapacity(worker, now);
}

} // namespace monsoonledge
