// What passes of planning know already. Private to src/scheduling.
//
// With far more work waiting than fits, a pass looks at tens of thousands of waiting tasks and
// starts a few. Two facts keep that cheap: a need that found no worker has to be tried only on
// workers that have changed since; and a worker bears the same until its tasks change.
#pragma once

#include "scheduling/scheduling.h"

#include <unordered_map>
#include <vector>

namespace monsoonledge {

/// What a serving task bears. Rises are those of its service time, in relation to the one without
/// filling tasks.
struct Scheduler::ServingSlack
{
    ImageIndex image = 0;
    double load = 0;
    double slack = 0; // rise at which the tail reaches its planned limit
    double pressed = 0; // rise by the filling tasks there at full pace
};

/// What a worker bears at busy times.
struct Scheduler::FillOutlook
{
    std::vector<ServingSlack> servings;
    std::vector<double> overChances; // of each of them, with the filling tasks that are there
    bool hasHard = false; // a filling task there needs a pace of its own
    double openness = 0; // share of the known images that could run there at full pace
};

/// Needs of a task that found no worker.
struct RefusedNeed
{
    ServiceId service;
    bool fills = false;
    ImageIndex image = 0; // of a filling task; others are placed whatever their image
    std::string requirement;
    std::uint64_t cpu = 0;
    std::uint64_t memory = 0;
    int accelerators = 0;
    std::uint64_t refusedIn = 0; // number of the last pass that tried
};

/// A worker for the tasks of a step.
struct Scheduler::Candidate
{
    double score = 0;
    ScheduledWorker *worker = nullptr;
};

struct Scheduler::PlanPass
{
    std::uint64_t number = 1;
    Time forgotAt{}; // when what is known was last dropped
    std::vector<RefusedNeed> refused;
    std::unordered_map<const ScheduledWorker *, FillOutlook> outlooks;
};

} // namespace monsoonledge
