// The stages of a request in one entry process: home, claim, queue, endpoint, answer.

#include "node/node.h"
#include "node/node_p.h"

namespace monsoonledge {

void Node::handle(const CallerRequest &request, AnswerCallback respond, Time now)
{
    const RequestClass definition = findRequestClass(request);
    if (!admission_.hasClass(definition.id))
        admission_.addOrUpdateClass(definition);
    const RequestToken token = nextToken_++;
    PendingRequest &pending = pendingRequests_[token];
    pending.request.id = request.id;
    pending.request.caller = request.caller;
    pending.request.service = request.service;
    pending.request.requestClass = request.requestClass;
    pending.request.idempotent = definition.idempotent;
    pending.request.body = request.body;
    if (pending.request.id.isEmpty())
        pending.request.id = RequestId(self_.str() + '-' + std::to_string(token));
    pending.respond = std::move(respond);
    pending.arrived = now;
    const Duration requestedDeadline =
            request.deadline > Duration::zero() ? request.deadline : definition.deadline;
    pending.deadline = now + std::min(requestedDeadline, settings_.limits.maxDeadline);
    deadlines_.emplace(pending.deadline, token);
    submit(token, now);
}

RequestClass Node::findRequestClass(const CallerRequest &request) const
{
    if (const RequestClass *definition = sheet_.findClass(request.requestClass))
        return *definition;
    // Without a definition in a sheet it is not known whether the class is idempotent, so its
    // requests are run at most once.
    RequestClass definition;
    definition.id = request.requestClass;
    definition.service = request.service;
    definition.idempotent = false;
    return definition;
}

void Node::submit(RequestToken token, Time now)
{
    if (pendingRequests_.at(token).request.idempotent)
        submitIdempotent(token, now);
    else
        submitToHome(token, now);
}

void Node::submitIdempotent(RequestToken token, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    if (!pending.fromPeer) {
        const Duration wait = draining_ ? settings_.limits.maxDeadline
                                        : admission_.predictedWait(pending.request.requestClass);
        const EntryId peer = choosePeer(pending, wait, now);
        if (!peer.isEmpty() && forward(token, peer, false, now))
            return;
        if (draining_) {
            refuse(token, "draining", "the entry process is stopping", now);
            return;
        }
    }
    enqueue(token, now);
}

void Node::submitToHome(RequestToken token, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    pending.stage = Stage::WaitingForHome;
    const DomainId domain = homeDomain(pending.request.id, settings_.domains);
    const int unit = homeUnit(pending.request.id);
    const UnitMask bit = UnitMask(1) << unit;
    const bool isHome = domain == settings_.domain && (membership_.usableUnits() & bit) != 0
                        && claims_.isReady(unit);
    if (isHome) {
        claimLocally(token, unit, now);
        return;
    }
    if (pending.fromPeer) {
        complete(token,
                 attemptNotRunAnswer(NotHomeReason, "this process is not the home of the id"), now);
        return;
    }
    const EntryId peer = findHomePeer(domain, unit);
    if (!peer.isEmpty())
        forward(token, peer, true, now);
    // If nothing was sent, the request waits for its home: a unit without an owner gets one soon.
}

void Node::claimLocally(RequestToken token, int unit, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    const Request &request = pending.request;
    if (!claims_.mayHaveRun(request.id, unit, now)) {
        const Refusal refusal =
                admission_.check(request.requestClass, request.caller, pending.deadline, now);
        if (refusal != Refusal::None) {
            refuse(token, refusalReason(refusal), "the request cannot be run in time", now);
            return;
        }
    }
    pending.stage = Stage::Claiming;
    pending.unit = unit;
    claims_.claim(request.id, unit, pending.deadline, now,
                  [this, token](const ClaimResult &result, Time later) {
                      onClaimResult(token, result, later);
                  });
}

void Node::onClaimResult(RequestToken token, const ClaimResult &result, Time now)
{
    const auto found = pendingRequests_.find(token);
    if (found == pendingRequests_.end())
        return;
    PendingRequest &pending = found->second;
    switch (result.status) {
    case ClaimStatus::Granted:
        pending.holdsClaim = true;
        enqueue(token, now);
        dispatch(now);
        return;
    case ClaimStatus::Running:
        pending.stage = Stage::WaitingForOriginal;
        claims_.waitFor(pending.request.id, [this, token](const Answer &answer, Time later) {
            if (pendingRequests_.count(token) > 0)
                complete(token, answer, later);
        });
        return;
    case ClaimStatus::Finished:
        complete(token, result.answer, now);
        return;
    case ClaimStatus::MayHaveRun:
        answerAlreadyClaimed(token, now);
        return;
    case ClaimStatus::NotRecorded:
        if (claims_.mayHaveRun(pending.request.id, pending.unit, now))
            answerAlreadyClaimed(token, now);
        else
            refuse(token, "claim-not-recorded", "the claim could not be recorded in time", now);
        return;
    }
}

void Node::answerAlreadyClaimed(RequestToken token, Time now)
{
    complete(token,
             refusalAnswer(Outcome::Unknown, 409, "already-claimed",
                           "an earlier request with this id may have run"),
             now);
}

void Node::enqueue(RequestToken token, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    pending.stage = Stage::Queued;
    const Refusal refusal = admission_.offer(
            {token, pending.request.requestClass, pending.request.caller, pending.deadline}, now);
    if (refusal != Refusal::None) {
        refuse(token, refusalReason(refusal), "the request cannot be run in time", now);
        return;
    }
    dispatch(now);
}

void Node::dispatch(Time now)
{
    if (dispatching_)
        return;
    dispatching_ = true;
    for (const ServiceId &service : admission_.services()) {
        while (dispatchNext(service, now)) { }
    }
    dispatching_ = false;
}

bool Node::dispatchNext(const ServiceId &service, Time now)
{
    const std::optional<QueuedRequest> next = admission_.peek(service);
    if (!next)
        return false;
    const PendingRequest &pending = pendingRequests_.at(next->token);
    const std::optional<HostId> host =
            endpoints_.chooseEndpoint(service, pending.request.idempotent, pending.triedHosts, now);
    if (!host)
        return false;
    admission_.start(*next);
    sendToEndpoint(next->token, *host, now);
    return true;
}

void Node::sendToEndpoint(RequestToken token, const HostId &host, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    pending.stage = Stage::Running;
    pending.endpoint = host;
    pending.startedAt = now;
    // Only requests that were sent add to the retry budget. If refused ones did, a flood of them
    // would allow more retries of the others.
    if (pending.attempts == 0)
        retryBudget_.recordFirstAttempt(pending.request.requestClass, pending.request.caller);
    ++pending.attempts;
    pending.request.remaining = pending.deadline - now;
    endpoints_.recordStart(host, now);
    ports_.endpoints.run(endpoints_.find(host)->host.address, self_, pending.request,
                         EndpointTimeout, [this, token](const RunResult &result, Time later) {
                             onRunResult(token, result, later);
                         });
}

void Node::onRunResult(RequestToken token, const RunResult &result, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    const Duration elapsed = now - pending.startedAt;
    const bool hasAnswer = result.status == RunStatus::Answered;
    endpoints_.recordResult(pending.endpoint, result.status, result.httpStatus, elapsed, now);
    if (result.leaving)
        endpoints_.markLeaving(pending.endpoint);
    admission_.finish(pending.request.requestClass, pending.request.caller,
                      hasAnswer ? std::optional<Duration>(elapsed) : std::nullopt);
    pending.triedHosts.insert(pending.endpoint);
    if (!hasAnswer) {
        log(LogLevel::Warning, "run-failed", result.detail,
            {{"request", pending.request.id.str()}, {"endpoint", pending.endpoint.str()}});
    }
    if (!scheduleRetry(token, result, now)) {
        Answer answer;
        if (hasAnswer) {
            answer.outcome = Outcome::Done;
            answer.httpStatus = result.httpStatus;
            answer.contentType = result.contentType;
            answer.body = result.body;
        } else if (result.status == RunStatus::NotRun && !pending.responded) {
            answer = refusalAnswer(Outcome::NotRun, 503, "endpoint-refused",
                                   "no endpoint ran the request");
        } else {
            answer = refusalAnswer(Outcome::Unknown, 504, "no-answer",
                                   "the endpoint gave no whole answer");
        }
        complete(token, answer, now);
    }
    dispatch(now);
}

bool Node::scheduleRetry(RequestToken token, const RunResult &result, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    const bool failed = result.status != RunStatus::Answered || result.httpStatus >= 500;
    const bool safeToRepeat = pending.request.idempotent || result.status == RunStatus::NotRun;
    const Duration needed = admission_.serviceTime(pending.request.requestClass);
    const bool inTime = !pending.responded && now + needed < pending.deadline;
    if (!failed || !safeToRepeat || !inTime || pending.attempts >= MaxAttempts)
        return false;
    if (!retryBudget_.tryTakeRetry(pending.request.requestClass, pending.request.caller))
        return false;
    ++classCounts_[pending.request.requestClass].retries;
    pending.stage = Stage::Queued;
    // Random delay of up to 10 ms, so that requests that failed together are not retried together.
    const Duration jitter(static_cast<Duration::rep>(random_.below(10000)));
    ports_.timers.after(jitter, [this, token](Time later) {
        const auto found = pendingRequests_.find(token);
        if (found == pendingRequests_.end() || found->second.responded)
            return;
        const Request &request = found->second.request;
        admission_.requeue({token, request.requestClass, request.caller, found->second.deadline});
        dispatch(later);
    });
    return true;
}

void Node::complete(RequestToken token, const Answer &answer, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    if (pending.holdsClaim) {
        if (answer.outcome == Outcome::NotRun)
            claims_.withdraw(pending.request.id, answer, now);
        else
            claims_.finish(pending.request.id, answer, now);
    }
    respond(pending, answer, now);
    eraseRequest(token);
}

void Node::refuse(RequestToken token, const std::string &reason, const std::string &detail,
                  Time now)
{
    const bool overload = reason != "draining";
    complete(token, refusalAnswer(Outcome::NotRun, overload ? 429 : 503, reason, detail), now);
}

void Node::respond(PendingRequest &pending, const Answer &answer, Time now)
{
    if (pending.responded)
        return;
    pending.responded = true;
    if (!pending.fromPeer) {
        ClassCounts &counts = classCounts_[pending.request.requestClass];
        ++(answer.outcome == Outcome::Done     ? counts.done
           : answer.outcome == Outcome::NotRun ? counts.notRun
                                               : counts.unknown);
        answered.emit(pending.request.requestClass, pending.request.caller, answer.outcome,
                      now - pending.arrived);
    }
    pending.respond(answer, now);
}

void Node::eraseRequest(RequestToken token)
{
    const auto found = pendingRequests_.find(token);
    deadlines_.erase({found->second.deadline, token});
    pendingRequests_.erase(found);
}

void Node::expireRequests(Time now)
{
    for (const RequestToken token : admission_.expire(now))
        refuse(token, "deadline-unreachable", "the request waited until its deadline", now);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const RequestToken token = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        onDeadlinePassed(token, now);
    }
}

void Node::onDeadlinePassed(RequestToken token, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    switch (pending.stage) {
    case Stage::WaitingForHome:
        complete(token,
                 attemptNotRunAnswer("home-unreachable",
                                     "the home of the request id cannot be reached"),
                 now);
        return;
    case Stage::Claiming:
        return; // ClaimLog::claim() calls back by the deadline
    case Stage::Queued:
        // The request waits for its retry. Admission::expire() has removed those in the queue.
        complete(token,
                 refusalAnswer(pending.request.idempotent ? Outcome::Unknown : Outcome::NotRun, 504,
                               "deadline-passed",
                               "the request failed and could not be tried again"),
                 now);
        return;
    case Stage::Running:
        // The endpoint's slot stays occupied until its answer arrives, so the request is kept until
        // then. Duplicates of a non-idempotent request receive that answer.
        respond(pending, refusalAnswer(Outcome::Unknown, 504, "deadline-passed", "still running"),
                now);
        return;
    case Stage::WaitingForOriginal:
    case Stage::Forwarded:
        complete(token,
                 refusalAnswer(Outcome::Unknown, 504, "deadline-passed", "no answer in time"), now);
        return;
    }
}

void Node::retryWaitingForHome(Time now)
{
    std::vector<RequestToken> waiting;
    for (const auto &item : pendingRequests_) {
        if (item.second.stage == Stage::WaitingForHome)
            waiting.push_back(item.first);
    }
    for (const RequestToken token : waiting) {
        const auto found = pendingRequests_.find(token);
        if (found != pendingRequests_.end() && found->second.stage == Stage::WaitingForHome)
            submitToHome(token, now);
    }
}

} // namespace monsoonledge
