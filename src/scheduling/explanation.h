// Where the scheduler would place the tasks of a job now, and why. Plain values without behaviour;
// Scheduler::explainPlacement() fills them.
#pragma once

#include "jobs/jobs.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoonledge {

/// The worker that a task would be assigned to.
struct TaskPlacement
{
    int task = 0; // index within its step
    WorkerId worker;
    DomainId domain;
    std::vector<std::string> labels; // hardware kind and rack
    std::int64_t freeCpu = 0; // millicores that are not reserved, before this task takes its own
    std::int64_t freeMemory = 0; // MiB, likewise
    int candidates = 0; // workers that can run the task
};

/// The placement of one step whose predecessors are done.
struct StepPlacement
{
    int step = 0;
    int tasks = 0;
    int examinedTasks = 0; // fewer than `tasks` if the job has very many
    int placedTasks = 0; // of the examined ones; a gang is placed as a whole or not at all
    bool gang = false;
    std::string rule; // by which the worker is chosen among the candidates
    std::vector<TaskPlacement> placements; // of the first tasks
    // Why the first task without a worker has none: the number of workers by what keeps the task
    // from running there, as in the log line task-waiting. Empty if all examined tasks are placed.
    std::map<std::string, int> obstacles;
};

struct PlacementExplanation
{
    // Nothing is started now, because the closed domains may not be known. The steps are described
    // as they will be placed once starts resume.
    bool areStartsPaused = false;
    int workers = 0; // that the scheduler knows, of all services
    std::vector<StepPlacement> steps;
};

} // namespace monsoonledge
