// Constants and helpers shared by the parts of the node.
#pragma once

#include "node/node.h"

namespace monsoonledge {

// The loop's period: bounds how late an expired request is refused and a held one is tried again.
constexpr Duration TickInterval = milliseconds(10);

// Endpoints that need no fresh sample are sampled this much less often, which keeps the control
// traffic of 1,600 workers within its limit.
constexpr int SampleBackoff = 4;

// Longest time that a request may occupy an endpoint connection after its caller has been answered.
// A slot becomes free only when the endpoint's answer arrives, or through a status sample after
// this.
constexpr Duration RunLimit = minutes(2);

// Attempts of one request at different endpoints.
constexpr int MaxAttempts = 3;

// A forward must save at least this much against the local queue, so that small differences between
// lagging load reports do not move requests back and forth.
constexpr Duration ForwardMargin = milliseconds(5);
// What an old load report of a peer adds to the peer's cost, since it may be wrong by then.
constexpr Duration MaxReportAgeCost = milliseconds(5);
constexpr Duration LocalHop = milliseconds(1); // one way, within a failure domain
constexpr Duration RemoteHop = microseconds(3500); // one way, between failure domains

const char SheetKey[] = "sheet/current";

inline Answer refusal(Outcome outcome, int httpStatus, const std::string &reason,
                      const std::string &detail)
{
    Answer answer;
    answer.outcome = outcome;
    answer.httpStatus = httpStatus;
    answer.reason = reason;
    answer.detail = detail;
    return answer;
}

/// For a non-idempotent request that this process did not run, while an earlier attempt with the
/// same id may have run elsewhere.
inline Answer attemptNotRun(const std::string &reason, const std::string &detail)
{
    Answer answer = refusal(Outcome::Unknown, 503, reason, detail);
    answer.attemptNotRun = true;
    return answer;
}

/// Reason of the answer of a process that is not the home of the forwarded request.
const char NotHomeReason[] = "not-home";

} // namespace monsoonledge
