// How long a client should wait before it repeats a submission that was refused because the store
// cannot be reached. There is no I/O and no clock here.
#pragma once

#include "jobs/jobs.h"

namespace monsoonledge {

/// What the wait depends on in a job.
struct OutageTerms
{
    // Time after its first submission at which the job must be stored to end with a result that is
    // worth something. Empty: the result does not lose its value.
    std::optional<Duration> usefulFor;
};

/// The terms of a job in a queue. Long-running and repeated jobs do not lose their value.
OutageTerms outageTermsOf(const JobSpec &job, const QueueTerms &terms);

/// The wait in whole seconds, from 1 to 30. `outage`: since the store's last answer. An outage is
/// expected to last about as long again. The wait is at most a quarter of the time for which the
/// submission is useful, since the expectation may be wrong and a client repeats a submission up to
/// four times. Clients are spread by a hash of the job's id and of the length of the outage, so
/// that those that wait for the same time do not stay together.
int outageRetryAfter(Duration outage, const OutageTerms &terms, const JobId &job);

} // namespace monsoonledge
