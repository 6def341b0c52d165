// What an entry process would answer to a submission now, and where the job would be placed. Plain
// values without behaviour; FleetNode::explainSubmission() fills them.
#pragma once

#include "overload/overload.h"
#include "scheduling/explanation.h"

#include <optional>
#include <string>

namespace monsoonledge {

enum class SubmissionOutcome {
    Accept,
    Refuse,
    Forward, // this process does not reach the store: another one decides
};

struct SubmissionExplanation
{
    SubmissionOutcome outcome = SubmissionOutcome::Accept;
    // Name of the AdmissionReason, or "store-not-reached", "store-stalled", "admission-off".
    std::string reason;
    AdmissionDecision decision; // default if admission is off or the store is not reached
    std::optional<Duration> reportAge; // at most; empty: there is no report
    std::optional<Duration> delay; // expected until the first task starts; empty: not known
    bool reachesStore = false;
    bool isCoordinator = false;
    std::string coordinator; // process that is the coordinator as known here; empty: none is known
    // Set by the coordinator once it has loaded jobs and workers.
    std::optional<PlacementExplanation> placement;
};

} // namespace monsoonledge
