// Values that describe capacity and its use: the free capacity of a failure domain over the next
// seconds, the speed of a worker, and what delaying a job costs. Each says how old it is and where
// it comes from. They are plain data: the modules that decide about admission, order and evacuation
// take them as arguments and have no access to the state of the scheduler.
#pragma once

#include "jobs/jobs.h"

#include <vector>

namespace monsoonledge {

/// Where an estimate comes from.
enum class EstimateSource {
    Assumed, // a default: nothing is known yet
    Reported, // by a worker or an operator
    Measured, // from the progress of runs
};

/// Length of the intervals in which DomainRoom::freeing is counted.
constexpr Duration RoomInterval = milliseconds(500);

/// Processor time of the workers of one service in one failure domain. In millicores.
struct DomainRoom
{
    ServiceId service;
    DomainId domain;
    Time asOf{};
    EstimateSource source = EstimateSource::Assumed;
    bool isClosed = false; // by an operator, so that nothing may be started there
    std::int64_t total = 0; // of the workers that accept tasks
    std::int64_t free = 0; // not reserved now; negative if less is there than is reserved
    // Expected to become free, by intervals of RoomInterval from `asOf` on.
    std::vector<std::int64_t> freeing;
    // Wanted by interrupted long-running tasks, which start before other work.
    std::int64_t wantedByInterrupted = 0;
};

/// How fast a worker runs tasks, relative to a worker in its normal state.
struct WorkerSpeed
{
    WorkerId worker;
    double factor = 1; // between 0 and 1
    Time asOf{};
    EstimateSource source = EstimateSource::Assumed;
};

/// What delaying a job costs its caller.
struct DelayCost
{
    int priority = 0; // of the queue; 0 comes first
    Time objective{}; // when a result is late
    Time worthlessAfter{}; // when a result has lost its value
    double remainingCoreSeconds = 0; // processor time of the tasks that are not done
    Duration remainingPath{}; // duration of the longest chain of steps that are not done
    Time asOf{};
    EstimateSource source = EstimateSource::Assumed;
};

} // namespace monsoonledge
