// Workers in virtual time: they run tasks under leases and record every run.
//
// FakeFleet holds the workers. Each simulated leader has its own FakeWorkerClient, whose answers
// are delivered through the timers of that process.
#pragma once

#include "base/base.h"
#include "fakes/faketimers.h"
#include "ports/ports.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace monsoonledge {

class FakeFleet
{
public:
    struct Run
    {
        Generation generation;
        std::string worker;
        Time from{};
        Time until{}; // end of the run, or of its lease while it runs
        std::string resumedFrom;
        bool ended = false;
    };
    struct Worker
    {
        bool reachable = true;
        bool failsAll = false;
        std::map<TaskId, WorkerTask> tasks;
        std::map<TaskId, Time> started;
        std::map<TaskId, Time> leaseEnd;
        std::map<TaskId, Duration> runTime;
        double usedShare = 0; // of its cores; reported as it is
    };

    FakeFleet(FakeClock &clock, int count, std::uint64_t seed) : clock_(clock), random_(seed)
    {
        for (int i = 0; i < count; ++i) {
            HostInfo host;
            host.id = HostId("w" + std::to_string(i));
            host.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            host.domain = DomainId("d");
            host.cores = MilliCores{8000};
            host.memory = MebiBytes{32000};
            listing.ok = true;
            listing.hosts.push_back(host);
            workers[host.address.port].reachable = true;
        }
    }

    /// Ends tasks that have finished or whose lease has run out. Every fake call does this first.
    void update()
    {
        const Time now = clock_.now();
        for (auto &[port, worker] : workers) {
            for (auto &[id, task] : worker.tasks) {
                if (task.state != WorkerTaskState::Running)
                    continue;
                const Time done = worker.started[id] + worker.runTime[id] - resumed(task);
                const Time end = std::min(done, worker.leaseEnd[id]);
                task.progress = resumed(task) + (std::min(now, end) - worker.started[id]);
                if (now < end)
                    continue;
                const bool finished = done <= worker.leaseEnd[id];
                endRun(task, finished ? WorkerTaskState::Done : WorkerTaskState::Stopped, end);
                if (finished)
                    ++doneCount[id];
            }
        }
    }

    /// Pairs of runs of one task that overlapped in time.
    int overlaps()
    {
        update();
        int found = 0;
        for (const auto &[id, list] : runs) {
            for (std::size_t i = 0; i < list.size(); ++i) {
                for (std::size_t j = i + 1; j < list.size(); ++j) {
                    const Time now = clock_.now();
                    const Time endI = list[i].ended ? list[i].until : now;
                    const Time endJ = list[j].ended ? list[j].until : now;
                    found += list[i].from < endJ && list[j].from < endI ? 1 : 0;
                }
            }
        }
        return found;
    }

    /// Generations of one task that were started more than once.
    int repeatedGenerations() const
    {
        int found = 0;
        for (const auto &[id, list] : runs) {
            std::map<std::uint64_t, int> starts;
            for (const Run &run : list)
                found += ++starts[run.generation.value] > 1 ? 1 : 0;
        }
        return found;
    }

    OrderStatus apply(std::uint16_t port, const TaskOrder &order, std::string &checkpoint)
    {
        update();
        Worker &worker = workers[port];
        const Time now = clock_.now();
        const auto found = worker.tasks.find(order.task);
        if (order.command == TaskCommand::Start) {
            if (found != worker.tasks.end() && found->second.generation >= order.generation)
                return OrderStatus::Refused;
            WorkerTask task;
            task.task = order.task;
            task.generation = order.generation;
            task.checkpoint = order.checkpoint;
            runs[order.task].push_back(
                    {order.generation, std::to_string(port), now, now, order.checkpoint, false});
            worker.started[order.task] = now;
            worker.leaseEnd[order.task] = now + order.lease;
            worker.runTime[order.task] = order.runTime;
            worker.tasks[order.task] = task;
            if (worker.failsAll)
                endRun(worker.tasks[order.task], WorkerTaskState::Failed, now);
            return OrderStatus::Ok;
        }
        const bool running = found != worker.tasks.end()
                             && found->second.generation == order.generation
                             && found->second.state == WorkerTaskState::Running;
        if (!running)
            return OrderStatus::Refused;
        if (order.command == TaskCommand::Renew)
            worker.leaseEnd[order.task] = now + order.lease;
        if (order.command == TaskCommand::Checkpoint || order.command == TaskCommand::Stop) {
            found->second.checkpoint = std::to_string(found->second.progress.count());
            checkpoint = found->second.checkpoint;
        }
        if (order.command == TaskCommand::Stop)
            endRun(found->second, WorkerTaskState::Stopped, now);
        return OrderStatus::Ok;
    }

    WorkerReport report(std::uint16_t port)
    {
        update();
        WorkerReport result;
        result.ok = true;
        for (const auto &[id, task] : workers[port].tasks)
            result.tasks.push_back(task);
        result.usedCores.value =
                static_cast<std::uint64_t>(8000 * std::max(0.0, workers[port].usedShare));
        return result;
    }

    FakeClock &clock() { return clock_; }
    Random &random() { return random_; }

    HostListing listing;
    std::map<std::uint16_t, Worker> workers;
    std::map<TaskId, std::vector<Run>> runs;
    std::map<TaskId, int> doneCount;
    double loseAnswer = 0; // share of orders that take effect and whose answer is lost
    double loseOrder = 0; // share of orders that never arrive

private:
    static Duration resumed(const WorkerTask &task)
    {
        return task.checkpoint.empty() ? Duration::zero() : Duration(std::stoll(task.checkpoint));
    }

    void endRun(WorkerTask &task, WorkerTaskState state, Time end)
    {
        task.state = state;
        Run &run = runs[task.task].back();
        for (Run &item : runs[task.task]) {
            if (item.generation == task.generation && !item.ended) {
                item.until = end;
                item.ended = true;
                return;
            }
        }
        run.ended = true;
    }

    FakeClock &clock_;
    Random random_;
};

class FakeWorkerClient : public WorkerPort
{
public:
    FakeWorkerClient(FakeFleet &fleet, FakeTimers &process) : fleet_(fleet), process_(process) { }

    void order(const Address &worker, const TaskOrder &order,
               std::function<void(OrderStatus, const std::string &, Time)> done) override
    {
        const bool lost = fleet_.random().unit() < fleet_.loseOrder;
        const bool unanswered = fleet_.random().unit() < fleet_.loseAnswer;
        const auto delay = Duration(500 + static_cast<Duration::rep>(fleet_.random().below(5000)));
        auto open = std::make_shared<decltype(done)>(std::move(done));
        const auto deliver = [this, open](OrderStatus status, const std::string &checkpoint,
                                          Duration after) {
            process_.after(after, [open, status, checkpoint](Time now) {
                if (const auto callback = std::exchange(*open, nullptr))
                    callback(status, checkpoint, now);
            });
        };
        deliver(OrderStatus::Unknown, "", seconds(2));
        fleet_.clock().after(delay, [&fleet = fleet_, guard = std::weak_ptr<bool>(alive_), worker,
                                     order, lost, unanswered, deliver, delay] {
            if (lost || !fleet.workers[worker.port].reachable)
                return;
            std::string checkpoint;
            const OrderStatus status = fleet.apply(worker.port, order, checkpoint);
            if (!unanswered && !guard.expired())
                deliver(status, checkpoint, delay);
        });
    }

    void report(const Address &worker,
                std::function<void(const WorkerReport &, Time)> done) override
    {
        const bool reachable = fleet_.workers[worker.port].reachable;
        const WorkerReport report = reachable ? fleet_.report(worker.port) : WorkerReport();
        process_.after(reachable ? milliseconds(5) : seconds(2),
                       [report, done = std::move(done)](Time now) { done(report, now); });
    }

private:
    FakeFleet &fleet_;
    FakeTimers &process_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
