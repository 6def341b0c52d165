// The daily sheet: which services stay responsive, which batch work uses spare capacity and what
// yields first.
//
// Sections:
//   [1] Contents
//   [2] Parse and check
//   [3] Compare
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace monsoonledge {

// [1] Contents

/// A class of requests of one service.
struct RequestClass
{
    ClassId id; // "service/class"
    ServiceId service;
    bool idempotent = true; // false: runs at most once and needs a request id
    Duration latencyTarget = milliseconds(500); // at the 99th percentile
    double objective = 0.99; // share of requests that must be answered within the target
    double floor = 0; // guaranteed share of the service's slots, 0 to 1
    double weight = 1; // share of what the floors leave over
    Duration deadline = seconds(5); // used when the caller states none
    double callerShare = 0.5; // most of the class that one caller gets in overload, 0 to 1
};

struct Service
{
    ServiceId id;
    MilliCores slotCores{500}; // processor use of one running request
    MebiBytes slotMemory{256}; // memory use of one running request
    std::vector<RequestClass> classes;
};

/// Batch work of one kind. Each has `count` tasks.
struct BatchJob
{
    std::string name;
    TeamId team;
    int count = 1; // number of tasks
    MilliCores cores{1000}; // declared, per task
    MebiBytes memory{1024}; // declared, per task
    int accelerators = 0; // per task
    Duration runTime = minutes(10); // declared, per task
    Duration checkpointInterval = minutes(5); // 0: the tasks cannot checkpoint
    std::string finishBy = "06:00"; // local time of day, HH:MM
    bool idempotent = false; // true: a second run does no harm
};

struct Team
{
    TeamId id;
    MilliCores maxCores; // 0: no limit
    int maxTasks = 0; // running at the same time; 0: no limit
};

struct Guards
{
    double headroom = 0.1; // share of each worker that batch work never uses, 0 to 0.9
    double throttleAt = 0.8; // observed use of a worker at which batch tasks are throttled
    double evictAt = 0.95; // observed use of a worker at which batch tasks are evicted
    int maxEvictionsPerMinute = 10; // per failure domain
};

struct Sheet
{
    std::string name; // chosen by the planners, such as "tatrasen-2026-12-04"
    std::vector<Service> services;
    std::vector<BatchJob> jobs;
    std::vector<std::string> yieldOrder; // names of jobs; the first yields first
    std::vector<Team> teams;
    Guards guards;

    /// Null if the sheet has no such class.
    const RequestClass *findClass(const ClassId &id) const;
    const Service *findService(const ServiceId &id) const;
    const BatchJob *findJob(const std::string &name) const;
};

// [2] Parse and check

/// The size of the largest worker, to refuse jobs that can never run. Zero: not known, no check.
struct LargestWorker
{
    MilliCores cores;
    MebiBytes memory;
    int accelerators = 0;
};

/// Parses and checks the YAML text of a sheet. `file` appears in findings. Throws FindingsError
/// with everything found wrong: unknown or repeated keys and names, values out of range, floors of
/// one service above 1 in sum, cycles or repeats in the yield order, jobs that can never run.
Sheet parseSheet(const std::string &text, const std::string &file,
                 const LargestWorker &largest = LargestWorker());

// [3] Compare

/// The differences from `before` to `after`, one readable line each, such as
/// "class strip-desk/renewal: floor 0.4 -> 0.5". Empty if they are the same.
std::vector<std::string> diffSheets(const Sheet &before, const Sheet &after);

} // namespace monsoonledge
