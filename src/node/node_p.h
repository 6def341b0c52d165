// Constants and helpers shared by the source files of Node.
#pragma once

#include "node/node.h"

namespace monsoonledge {

// Period of Node::tick(). It bounds how late an expired request is refused and a request without a
// reachable home is retried.
constexpr Duration TickInterval = milliseconds(10);

// Factor by which the status interval is longer for endpoints that need no fresh sample. It keeps
// the control traffic of 1,600 workers within its limit.
constexpr int SampleBackoffFactor = 4;

// Timeout of a request at an endpoint, which goes on after the caller has been answered. The slot
// becomes free only when the endpoint's answer arrives, or after this timeout when a status sample
// shows that the request has ended.
constexpr Duration EndpointTimeout = minutes(2);

// Maximum number of endpoints that one request is sent to.
constexpr int MaxAttempts = 3;

// A request is forwarded only if that saves at least this much time compared with the local queue,
// so that small differences between outdated load reports do not move requests back and forth.
constexpr Duration MinForwardGain = milliseconds(5);
// Maximum that the age of a peer's load report adds to the estimated time at this peer. Old reports
// are less reliable.
constexpr Duration MaxReportAgeCost = milliseconds(5);
constexpr Duration LocalHopLatency = milliseconds(1); // one-way latency within a failure domain
constexpr Duration RemoteHopLatency = microseconds(3500); // one-way latency between failure domains

const char SheetKey[] = "sheet/current";

/// An answer without a body that gives a reason, for requests that were refused or failed.
inline Answer refusalAnswer(Outcome outcome, int httpStatus, const std::string &reason,
                            const std::string &detail)
{
    Answer answer;
    answer.outcome = outcome;
    answer.httpStatus = httpStatus;
    answer.reason = reason;
    answer.detail = detail;
    return answer;
}

/// The answer to a non-idempotent request that this process did not run, although an earlier
/// attempt with the same id may have run elsewhere.
inline Answer attemptNotRunAnswer(const std::string &reason, const std::string &detail)
{
    Answer answer = refusalAnswer(Outcome::Unknown, 503, reason, detail);
    answer.attemptNotRun = true;
    return answer;
}

/// The reason in the answer to a request that was forwarded to a process that is not its home.
const char NotHomeReason[] = "not-home";

} // namespace monsoonledge
