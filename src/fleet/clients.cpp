// Calls of clients on jobs, as an entry process answers them: submissions, cancellations, states
// and the backlog of a queue.
#include "fleet/fleet.h"

#include "fleet/keys_p.h"

namespace monsoonledge {

void FleetNode::submitHere(const JobSpec &spec, Time deadline,
                           std::function<void(JobAnswer, Time)> done, Time now)
{
    if (jobView_.contains(spec.id)) {
        done(JobAnswer::Accepted, now);
        return;
    }
    if (!reachesStore(now)) {
        done(JobAnswer::NotAccepted, now);
        return;
    }
    const JobSpec job = withTerms(spec);
    if (settings_.admitsUnderShortage) {
        const AdmissionReport *report = admissionReport_ ? &*admissionReport_ : nullptr;
        const AdmissionDecision decision = admission_.decide(job, report, reportAge(now), now);
        if (!decision.isAdmitted) {
            refuseUnlessStored(job, decision, deadline, std::move(done));
            return;
        }
    }
    store(job, deadline, std::move(done), now);
}

void FleetNode::store(const JobSpec &job, Time deadline, std::function<void(JobAnswer, Time)> done,
                      Time now)
{
    if (settings_.admitsUnderShortage)
        admission_.recordAttempt(job.id, now);
    const auto onCreateDone = [this, id = job.id, queue = job.queue,
                               done = std::move(done)](CreateOutcome outcome, Time eventTime) {
        switch (outcome) {
        case CreateOutcome::Created:
        case CreateOutcome::Exists:
            jobView_.setSpec(id, queue);
            done(JobAnswer::Accepted, eventTime);
            return;
        case CreateOutcome::NotApplied:
            done(JobAnswer::NotAccepted, eventTime);
            return;
        case CreateOutcome::Unknown:
            done(JobAnswer::Unknown, eventTime);
            return;
        }
    };
    writer_.create(keys::spec(job.id), encodeSpec(job), deadline, onCreateDone, now);
}

/// The job with the terms of its queue, if the configuration in force has the queue.
JobSpec FleetNode::withTerms(const JobSpec &spec) const
{
    JobSpec result = spec;
    if (const QueueSpec *queue = config_.find(spec.queue))
        result.terms = *queue;
    return result;
}

/// Notes that the job exists, also if its specification cannot be decoded.
void FleetNode::learnSpec(const JobId &id, const KeyValue &item)
{
    const std::optional<JobSpec> spec = decodeSpec(item.value);
    jobView_.setSpec(id, spec ? spec->queue : QueueId());
}

void FleetNode::cancelHere(const JobId &id, Time deadline,
                           std::function<void(JobAnswer, Time)> done, Time now)
{
    if (jobView_.isCancelled(id)) {
        done(jobView_.contains(id) ? JobAnswer::Accepted : JobAnswer::NotFound, now);
        return;
    }
    if (!jobView_.contains(id)) { // accepted just now by another process, or unknown
        ports_.store.get(keys::spec(id), [this, id, deadline, done = std::move(done),
                                          alive = std::weak_ptr<int>(alive_)](
                                                 const KeyValueResult &result, Time eventTime) {
            if (alive.expired())
                return;
            if (result.status == KeyValueStatus::Ok) {
                learnSpec(id, result.items.front());
                cancelHere(id, deadline, done, eventTime);
            } else if (result.status == KeyValueStatus::NotFound) {
                cancelUnknownJob(id, deadline, done, eventTime);
            } else {
                done(JobAnswer::Unknown, eventTime);
            }
        });
        return;
    }
    storeCancellation(id, JobAnswer::Accepted, deadline, std::move(done), now);
}

/// Stores the cancellation of a job that the store does not have. Its submission may still be on
/// its way, through another process or in a write that the store carries out late; the coordinator
/// then finds the cancellation and starts nothing.
void FleetNode::cancelUnknownJob(const JobId &id, Time deadline,
                                 std::function<void(JobAnswer, Time)> done, Time now)
{
    if (jobView_.unknownCancellations() >= settings_.maxUnknownCancellations) {
        log(LogLevel::Warning, "cancellation-refused",
            "too many cancellations of unknown jobs are stored", {{"job", id.str()}});
        done(JobAnswer::Overloaded, now);
        return;
    }
    log(LogLevel::Info, "unknown-job-cancelled",
        "the job is not stored; it does not run if its submission arrives later",
        {{"job", id.str()}});
    storeCancellation(id, JobAnswer::NotFound, deadline, std::move(done), now);
}

/// Answers with `answer` once the cancellation is stored.
void FleetNode::storeCancellation(const JobId &id, JobAnswer answer, Time deadline,
                                  std::function<void(JobAnswer, Time)> done, Time now)
{
    const auto onCreateDone = [this, id, answer, done = std::move(done)](CreateOutcome outcome,
                                                                         Time eventTime) {
        const bool isWritten =
                outcome == CreateOutcome::Created || outcome == CreateOutcome::Exists;
        if (isWritten)
            jobView_.setCancelled(id);
        done(isWritten ? answer : JobAnswer::Unknown, eventTime);
    };
    writer_.create(keys::cancel(id), settings_.name, deadline, onCreateDone, now);
}

int FleetNode::backlog(const QueueId &queue) const
{
    const auto count = [&queue](const auto &counts) {
        const auto it = counts.find(queue);
        return it == counts.end() ? 0 : it->second;
    };
    if (knowsAllProgress())
        return count(jobView_.backlogs());
    return count(backlogReport_.jobs) + jobView_.submissionsAfter({backlogReport_.revision}, queue);
}

/// Reads the state of a job that had not ended when last seen, so that clients see its end at once.
void FleetNode::readState(const JobId &id, JobState known, StateCallback done)
{
    ports_.store.get(keys::progress(id), [this, id, known, done = std::move(done),
                                          alive = std::weak_ptr<int>(alive_)](
                                                 const KeyValueResult &result, Time now) {
        if (alive.expired())
            return;
        if (result.status == KeyValueStatus::Ok) {
            const KeyValue &record = result.items.front();
            if (!jobView_.apply(record))
                log(LogLevel::Error, "record-unreadable",
                    "the progress record of a job is malformed; its last known state is shown",
                    {{"key", record.key}, {"revision", std::to_string(record.revision.value)}});
        }
        // If the store does not answer, the last known state is returned.
        done(JobAnswer::Accepted, jobView_.state(id).value_or(known), now);
    });
}

void FleetNode::stateHere(const JobId &id, StateCallback done, Time now)
{
    if (const std::optional<JobState> known = jobView_.state(id)) {
        const bool isCurrent = isFinal(*known) || knowsAllProgress();
        if (isCurrent || !reachesStore(now) || writer_.isStalled(now))
            done(JobAnswer::Accepted, *known, now);
        else
            readState(id, *known, std::move(done));
        return;
    }
    ports_.store.get(keys::spec(id),
                     [this, id, done = std::move(done), alive = std::weak_ptr<int>(alive_)](
                             const KeyValueResult &result, Time eventTime) {
                         if (alive.expired())
                             return;
                         switch (result.status) {
                         case KeyValueStatus::Ok: // accepted by another process
                             learnSpec(id, result.items.front());
                             readState(id, JobState::Pending, done);
                             return;
                         case KeyValueStatus::NotFound:
                             done(JobAnswer::NotFound, JobState::Pending, eventTime);
                             return;
                         default:
                             done(JobAnswer::Unknown, JobState::Pending, eventTime);
                             return;
                         }
                     });
}

} // namespace monsoonledge
