// Answers what would happen to a job that is submitted now.
#include "fleet/explanation.h"
#include "fleet/fleet.h"

namespace monsoonledge {

namespace {

bool isDelayKnown(AdmissionReason reason)
{
    return reason != AdmissionReason::NoReport && reason != AdmissionReason::NoSuchWorker;
}

} // namespace

SubmissionExplanation FleetNode::explainSubmission(const JobSpec &spec, Time now) const
{
    SubmissionExplanation explanation;
    explanation.reachesStore = reachesStore(now);
    explanation.isCoordinator = isCoordinator();
    if (isRecordPresent_)
        explanation.coordinator = isCoordinator() ? settings_.name : coordinatorName_;
    if (admissionReport_)
        explanation.reportAge = reportAge(now);
    JobSpec job = withTerms(spec);
    job.id = JobId(); // no submission has this id, so that none is taken for an earlier attempt
    if (coordinator_ && coordinator_->scheduler())
        explanation.placement = coordinator_->scheduler()->explainPlacement(job, now);
    explainAdmission(job, explanation, now);
    return explanation;
}

/// Fills what submitHere() and submit() would decide, in the order in which they do.
void FleetNode::explainAdmission(const JobSpec &job, SubmissionExplanation &explanation,
                                 Time now) const
{
    const auto answerWithoutStore = [&](const char *reason) {
        explanation.outcome =
                hasRelayPeers() ? SubmissionOutcome::Forward : SubmissionOutcome::Refuse;
        explanation.reason = reason;
        explanation.decision.retryAfter =
                seconds(outageRetryAfter(outageTermsOf(job, job.terms), job.id, now));
    };
    if (!explanation.reachesStore) {
        answerWithoutStore("store-not-reached");
        return;
    }
    explanation.reason = "admission-off";
    if (settings_.admitsUnderShortage) {
        const AdmissionReport *report = admissionReport_ ? &*admissionReport_ : nullptr;
        explanation.decision = admission_.preview(job, report, reportAge(now), now);
        const AdmissionReason reason = explanation.decision.reason;
        explanation.reason = admissionReasonName(reason);
        if (isDelayKnown(reason))
            explanation.delay = explanation.decision.delay;
    }
    if (!explanation.decision.isAdmitted) {
        explanation.outcome = SubmissionOutcome::Refuse;
    } else if (writer_.isStalled(now)) {
        answerWithoutStore("store-stalled");
    }
}

} // namespace monsoonledge
