// Admission under shortage, as an entry process applies it to submissions.
#include "fleet/fleet.h"

#include "fleet/keys_p.h"

namespace monsoonledge {

/// Refuses the job, unless an earlier attempt whose answer was lost has stored it. If the store
/// does not answer, the job is admitted.
void FleetNode::refuseUnlessStored(const JobSpec &job, const AdmissionDecision &decision,
                                   Time deadline, std::function<void(JobAnswer, Time)> done)
{
    ports_.store.get(keys::spec(job.id), [this, job, decision, deadline, done = std::move(done),
                                          alive = std::weak_ptr<int>(alive_)](
                                                 const KeyValueResult &result, Time now) {
        if (alive.expired())
            return;
        if (result.status == KeyValueStatus::Ok) {
            learnSpec(job.id, result.items.front());
            done(JobAnswer::Accepted, now);
            return;
        }
        // Another submission of the job may have been admitted during the read.
        if (result.status != KeyValueStatus::NotFound || admission_.mayBeStored(job.id, now)) {
            store(job, deadline, done, now);
            return;
        }
        admission_.recordRefusal(job, decision, now);
        log(LogLevel::Info, "job-not-admitted",
            "the job is refused for lack of capacity; nothing was written",
            {{"job", job.id.str()},
             {"queue", job.queue.str()},
             {"reason", admissionReasonName(decision.reason)},
             {"freeMilliCores", std::to_string(decision.free)},
             {"totalMilliCores", std::to_string(decision.total)},
             {"delayMs", std::to_string(wholeMilliseconds(decision.delay))},
             {"reportAgeMs", std::to_string(wholeMilliseconds(decision.reportAge))},
             {"retryAfterS", std::to_string(decision.retryAfter / seconds(1))}});
        done(JobAnswer::Overloaded, now);
    });
}

/// The highest possible age of the report for admission.
Duration FleetNode::reportAge(Time now) const
{
    return now - admissionReportSince_;
}

/// Takes the report for admission from a record of the backlog. One that was loaded instead of
/// watched may be of any age, so it is not used. The age of a watched one counts from the first
/// call after the last answer: the report may have been stored during failed calls, and the answer
/// may have waited in the socket while this process was paused.
void FleetNode::takeAdmissionReport(const std::string &bytes, bool isWatched)
{
    admissionReport_.reset();
    if (bytes.empty() || !isWatched)
        return;
    admissionReport_ = decodeAdmissionReport(bytes);
    admissionReportSince_ = coordinatorWatch_->lastAnswer().firstCallSentAt;
    if (!admissionReport_)
        log(LogLevel::Error, "record-unreadable",
            "the report for admission is malformed; all jobs are admitted until the next one",
            {{"key", keys::Backlog}});
}

} // namespace monsoonledge
