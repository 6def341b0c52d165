// The batch tasks of a stand-in worker: run under leases, keep progress, checkpoint and stop.
#pragma once

#include "standins/endpoint.h"
#include "standins/server.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoonledge::standins {

class Tasks
{
public:
    Tasks(Loop &loop, const WorkerSettings &settings, const Faults &faults);

    /// POST /tasks/<task>/<generation>/<command>. Work over the capacity is run and recorded.
    Reply command(const Call &call);
    /// GET /tasks. `running`: requests that the endpoint runs now.
    Reply list(int running);
    /// The tasks' part of the journal.
    Json journal() const;

private:
    struct Task
    {
        std::string name;
        std::uint64_t generation = 0;
        std::string state = "running"; // running, done, failed, stopped or expired
        std::string resumedFrom;
        std::string checkpoint;
        double cores = 0;
        double memoryMb = 0;
        double runMs = 0; // progress at which the task is done
        double leaseMs = 0;
        double progressMs = 0; // at updatedMs
        double speed = 1; // throttled: below 1
        std::int64_t updatedMs = 0; // the times are CLOCK_MONOTONIC
        std::int64_t leaseUntilMs = 0;
        std::int64_t startMs = 0;
        std::int64_t endMs = 0; // 0: still running
    };

    Reply start(const std::string &name, std::uint64_t generation, const Json &order);
    /// Moves the progress on to the present; ends the task if it is done or its lease has run out.
    void update(Task &task) const;
    void end(Task &task, const std::string &state, std::int64_t atMs) const;
    /// Updates the task when it is due to be done or to expire.
    void schedule(std::size_t index);
    double use(bool ofMemory) const;

    Loop &loop_;
    const WorkerSettings &settings_;
    const Faults &faults_;
    std::vector<Task> tasks_; // every start, in order
    std::map<std::string, std::size_t> latest_; // task name -> index of its last start
    std::vector<std::string> doubleTasks_;
    int overloads_ = 0;
};

} // namespace monsoonledge::standins
