// The order in which waiting jobs get capacity, by what a delay costs their callers. The functions
// take plain values and keep no state.
//
// They matter when there is more work than fits, after bursts or lost capacity. In order of arrival
// or of objectives alone, each job then starts a little too late, and few are done in time.
#pragma once

#include "capacity/capacity.h"

namespace monsoonledge {

/// Classes of jobs, in the order in which they are served.
enum class JobClass {
    OverdueRestart, // interrupted long-running tasks that have waited for long
    OnTime, // can still meet their objective; also long-running tasks interrupted a moment ago
    NewLongRunning, // occupy capacity for a long time
    Late,
    Worthless, // their result will have no value
};

/// A job with waiting tasks.
struct WaitingJob
{
    DelayCost cost;
    Time submittedAt{};
    bool isLongRunning = false;
    bool isInterrupted = false; // a long-running one of which a task has run
    Duration longestWait{}; // of the waiting tasks of an interrupted job
};

struct JobOrderSettings
{
    // Share of a job's remaining path that must fit before its objective for the job to count as
    // still on time.
    double remainingTimeFactor = 0.85;
    // How long an interrupted long-running task lets short jobs of its priority start first. They
    // return the capacity soon, and each lost second of a long-running task costs its users the
    // same, while a short job that starts late is late for good.
    Duration maxRestartDelay{};
    // True: among jobs of one priority that can be on time, those with little remaining work come
    // first. False: by objective.
    bool prefersShortJobs = false;
};

/// Sorts jobs: a smaller rank is served first.
struct JobRank
{
    JobClass jobClass = JobClass::Worthless;
    int priority = 0;
    double work = 0; // core-seconds that count; 0 where the objective alone decides
    Time objective{};

    friend bool operator<(const JobRank &a, const JobRank &b);
};

/// The time at which the job is expected to be done if all its tasks start without a delay.
/// `remainingTimeFactor`: see JobOrderSettings.
Time expectedEnd(const DelayCost &cost, double remainingTimeFactor, Time now);

/// True if the rank of the job depends on the processor time that remains.
bool isRankedByWork(const WaitingJob &job, const JobOrderSettings &settings, Time now);

/// The rank of a job. Among jobs that can be on time, the work of a job counts less the closer it
/// is to being late, so that wide jobs are not passed over until it is too late for them.
JobRank rankOf(const WaitingJob &job, const JobOrderSettings &settings, Time now);

} // namespace monsoonledge
