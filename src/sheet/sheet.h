// The daily sheet: the services and their latency targets, the batch jobs that use spare capacity,
// and the order in which batch jobs are throttled and evicted when capacity runs short.
//
// Sections:
//   [1] Data model
//   [2] Parsing and validation
//   [3] Comparison
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace monsoonledge {

// [1] Data model

/// A class of requests of one service.
struct RequestClass
{
    ClassId id; // "service/class"
    ServiceId service;
    bool idempotent = true; // false: a request runs at most once and needs a request id
    Duration latencyTarget = milliseconds(500); // at the 99th percentile
    double objective = 0.99; // share of requests to be answered within latencyTarget, 0 to 1
    double floor = 0; // guaranteed share of the service's slots, 0 to 1
    double weight = 1; // relative share of the slots that the floors leave over
    Duration deadline = seconds(5); // of requests that state none
    double callerShare = 0.5; // share of the queue that one caller may hold in overload, 0 to 1
};

/// A service, whose requests run on the slots of its endpoints.
struct Service
{
    ServiceId id;
    MilliCores slotCores{500}; // reserved per slot, for one running request
    MebiBytes slotMemory{256}; // reserved per slot, for one running request
    std::vector<RequestClass> classes;
};

/// A batch job of `count` equal tasks.
struct BatchJob
{
    std::string name;
    TeamId team;
    int count = 1; // number of tasks
    MilliCores cores{1000}; // declared, per task
    MebiBytes memory{1024}; // declared, per task
    int accelerators = 0; // per task
    Duration runTime = minutes(10); // declared, per task
    Duration checkpointInterval = minutes(5); // 0: tasks do not write checkpoints
    std::string finishBy = "06:00"; // local time of day, HH:MM
    bool idempotent = false; // true: a task may run more than once
};

/// A team that owns batch jobs, and its quotas over all failure domains.
struct Team
{
    TeamId id;
    MilliCores maxCores; // of tasks running at the same time; 0: no limit
    int maxTasks = 0; // running at the same time; 0: no limit
};

/// Limits that protect services from batch tasks on the same worker.
struct Guards
{
    double headroom = 0.1; // share of each worker that batch tasks never get, 0 to 0.9
    double throttleAt = 0.8; // used share of a worker from which batch tasks are throttled
    double evictAt = 0.95; // used share of a worker from which batch tasks are evicted
    int maxEvictionsPerMinute = 10; // per failure domain
};

/// The content of a daily sheet.
struct Sheet
{
    std::string name; // chosen by the planners, such as "tatrasen-2026-12-04"
    std::vector<Service> services;
    std::vector<BatchJob> jobs;
    /// Names of jobs, first to yield first. Jobs that are not listed yield before all of these.
    std::vector<std::string> yieldOrder;
    std::vector<Team> teams;
    Guards guards;

    /// These return null if the sheet does not hold what is searched for.
    const RequestClass *findClass(const ClassId &id) const;
    const Service *findService(const ServiceId &id) const;
    const BatchJob *findJob(const std::string &name) const;
};

// [2] Parsing and validation

/// The size of the largest worker, used to reject jobs that can never run. Zero cores or memory:
/// not known; what is not known is not checked. Accelerators are checked if the cores are known.
struct LargestWorker
{
    MilliCores cores;
    MebiBytes memory;
    int accelerators = 0;
};

/// Parses and validates the YAML text of a sheet. `file` appears in findings. Throws FindingsError
/// with all errors: unknown or repeated keys and names, values out of range, floors of a service
/// with a sum above 1, repeated or unknown jobs in the yield order, jobs that can never run.
Sheet parseSheet(const std::string &text, const std::string &file,
                 const LargestWorker &largestWorker = LargestWorker());

// [3] Comparison

/// Returns the differences between two sheets, one line each, such as
/// "class strip-desk/renewal: floor 0.4 -> 0.5". The result is empty if the sheets are equal apart
/// from the order of their services, classes, jobs and teams.
std::vector<std::string> diffSheets(const Sheet &before, const Sheet &after);

} // namespace monsoonledge
