// The way of a request through one entry process: home, claim, queue, endpoint, answer.

#include "node/node.h"
#include "node/node_p.h"

namespace monsoonledge {

void Node::handle(const CallerRequest &request, Respond respond, Time now)
{
    const RequestClass definition = classOf(request);
    if (!admission_.knows(definition.id))
        admission_.ensureClass(definition);
    const Token token = nextToken_++;
    Pending &pending = pending_[token];
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
    const Duration stated =
            request.deadline > Duration::zero() ? request.deadline : definition.deadline;
    pending.deadline = now + std::min(stated, settings_.limits.maxDeadline);
    deadlines_.emplace(pending.deadline, token);
    submit(token, now);
}

RequestClass Node::classOf(const CallerRequest &request) const
{
    if (const RequestClass *definition = sheet_.findClass(request.requestClass))
        return *definition;
    // Without a sheet, nothing is known to be idempotent.
    RequestClass definition;
    definition.id = request.requestClass;
    definition.service = request.service;
    definition.idempotent = false;
    return definition;
}

void Node::submit(Token token, Time now)
{
    if (pending_.at(token).request.idempotent)
        submitIdempotent(token, now);
    else
        submitToHome(token, now);
}

void Node::submitIdempotent(Token token, Time now)
{
    Pending &pending = pending_.at(token);
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

void Node::submitToHome(Token token, Time now)
{
    Pending &pending = pending_.at(token);
    pending.stage = Stage::HomeWait;
    const DomainId domain = homeDomain(pending.request.id, settings_.domains);
    const int unit = homeUnit(pending.request.id);
    const UnitMask bit = UnitMask(1) << unit;
    const bool ownHome = domain == settings_.domain && (membership_.usableUnits() & bit) != 0
                         && claims_.isReady(unit);
    if (ownHome) {
        claimHere(token, unit, now);
        return;
    }
    if (pending.fromPeer) {
        complete(token, attemptNotRun(NotHomeReason, "this process is not the home of the id"),
                 now);
        return;
    }
    const EntryId peer = homePeer(domain, unit);
    if (!peer.isEmpty())
        forward(token, peer, true, now);
    // Otherwise the request waits: a unit without an owner gets one soon.
}

void Node::claimHere(Token token, int unit, Time now)
{
    Pending &pending = pending_.at(token);
    const Request &request = pending.request;
    if (!claims_.mayHaveRun(request.id, unit, now)) {
        const Refusal refusal =
                admission_.check(request.requestClass, request.caller, pending.deadline, now);
        if (refusal != Refusal::None) {
            refuse(token, refusalWord(refusal), "the request cannot be run in time", now);
            return;
        }
    }
    pending.stage = Stage::Claiming;
    pending.unit = unit;
    claims_.claim(request.id, unit, pending.deadline, now,
                  [this, token](const ClaimResult &result, Time later) {
                      claimed(token, result, later);
                  });
}

void Node::claimed(Token token, const ClaimResult &result, Time now)
{
    const auto found = pending_.find(token);
    if (found == pending_.end())
        return;
    Pending &pending = found->second;
    switch (result.status) {
    case ClaimStatus::Granted:
        pending.claimed = true;
        enqueue(token, now);
        dispatch(now);
        return;
    case ClaimStatus::Running:
        pending.stage = Stage::Joined;
        claims_.waitFor(pending.request.id, [this, token](const Answer &answer, Time later) {
            if (pending_.count(token) > 0)
                complete(token, answer, later);
        });
        return;
    case ClaimStatus::Finished:
        complete(token, result.answer, now);
        return;
    case ClaimStatus::MayHaveRun:
        refuseClaimed(token, now);
        return;
    case ClaimStatus::NotRecorded:
        if (claims_.mayHaveRun(pending.request.id, pending.unit, now))
            refuseClaimed(token, now);
        else
            refuse(token, "claim-not-recorded", "the claim could not be recorded in time", now);
        return;
    }
}

void Node::refuseClaimed(Token token, Time now)
{
    complete(token,
             refusal(Outcome::Unknown, 409, "already-claimed",
                     "an earlier request with this id may have run"),
             now);
}

void Node::enqueue(Token token, Time now)
{
    Pending &pending = pending_.at(token);
    pending.stage = Stage::Queued;
    const Refusal refusal = admission_.offer(
            {token, pending.request.requestClass, pending.request.caller, pending.deadline}, now);
    if (refusal != Refusal::None) {
        refuse(token, refusalWord(refusal), "the request cannot be run in time", now);
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
    const Pending &pending = pending_.at(next->token);
    const std::optional<HostId> host =
            endpoints_.chooseEndpoint(service, pending.request.idempotent, pending.tried, now);
    if (!host)
        return false;
    admission_.start(*next);
    runOn(next->token, *host, now);
    return true;
}

void Node::runOn(Token token, const HostId &host, Time now)
{
    Pending &pending = pending_.at(token);
    pending.stage = Stage::Running;
    pending.endpoint = host;
    pending.startedAt = now;
    // A refused request earns no retries, or a flood would pay for retries of the others.
    if (pending.attempts == 0)
        retries_.firstAttempt(pending.request.requestClass, pending.request.caller);
    ++pending.attempts;
    pending.request.remaining = pending.deadline - now;
    endpoints_.recordStart(host, now);
    ports_.endpoints.run(
            endpoints_.find(host)->host.address, self_, pending.request, RunLimit,
            [this, token](const RunResult &result, Time later) { ran(token, result, later); });
}

void Node::ran(Token token, const RunResult &result, Time now)
{
    Pending &pending = pending_.at(token);
    const Duration time = now - pending.startedAt;
    const bool whole = result.status == RunStatus::Answered;
    endpoints_.recordResult(pending.endpoint, result.status, result.httpStatus, time, now);
    if (result.leaving)
        endpoints_.markLeaving(pending.endpoint);
    admission_.finish(pending.request.requestClass, pending.request.caller,
                      whole ? std::optional<Duration>(time) : std::nullopt);
    pending.tried.insert(pending.endpoint);
    if (!whole) {
        log(LogLevel::Warning, "run-failed", result.detail,
            {{"request", pending.request.id.str()}, {"endpoint", pending.endpoint.str()}});
    }
    if (!retry(token, result, now)) {
        Answer answer;
        if (whole) {
            answer.outcome = Outcome::Done;
            answer.httpStatus = result.httpStatus;
            answer.contentType = result.contentType;
            answer.body = result.body;
        } else if (result.status == RunStatus::NotRun && !pending.responded) {
            answer = refusal(Outcome::NotRun, 503, "endpoint-refused",
                             "no endpoint ran the request");
        } else {
            answer = refusal(Outcome::Unknown, 504, "no-answer",
                             "the endpoint gave no whole answer");
        }
        complete(token, answer, now);
    }
    dispatch(now);
}

bool Node::retry(Token token, const RunResult &result, Time now)
{
    Pending &pending = pending_.at(token);
    const bool failed = result.status != RunStatus::Answered || result.httpStatus >= 500;
    const bool safe = pending.request.idempotent || result.status == RunStatus::NotRun;
    const Duration needed = admission_.serviceTime(pending.request.requestClass);
    const bool inTime = !pending.responded && now + needed < pending.deadline;
    if (!failed || !safe || !inTime || pending.attempts >= MaxAttempts)
        return false;
    if (!retries_.tryRetry(pending.request.requestClass, pending.request.caller))
        return false;
    ++counts_[pending.request.requestClass].retries;
    pending.stage = Stage::Queued;
    // The jitter keeps requests that failed together from being sent again together.
    const Duration jitter(static_cast<Duration::rep>(random_.below(10000)));
    ports_.timers.after(jitter, [this, token](Time later) {
        const auto found = pending_.find(token);
        if (found == pending_.end() || found->second.responded)
            return;
        const Request &request = found->second.request;
        admission_.requeue({token, request.requestClass, request.caller, found->second.deadline});
        dispatch(later);
    });
    return true;
}

void Node::complete(Token token, const Answer &answer, Time now)
{
    Pending &pending = pending_.at(token);
    if (pending.claimed) {
        if (answer.outcome == Outcome::NotRun)
            claims_.withdraw(pending.request.id, answer, now);
        else
            claims_.finish(pending.request.id, answer, now);
    }
    respond(pending, answer, now);
    erase(token);
}

void Node::refuse(Token token, const std::string &reason, const std::string &detail, Time now)
{
    const bool overload = reason != "draining";
    complete(token, refusal(Outcome::NotRun, overload ? 429 : 503, reason, detail), now);
}

void Node::respond(Pending &pending, const Answer &answer, Time now)
{
    if (pending.responded)
        return;
    pending.responded = true;
    if (!pending.fromPeer) {
        ClassCounts &counts = counts_[pending.request.requestClass];
        ++(answer.outcome == Outcome::Done     ? counts.done
           : answer.outcome == Outcome::NotRun ? counts.notRun
                                               : counts.unknown);
        answered.emit(pending.request.requestClass, pending.request.caller, answer.outcome,
                      now - pending.arrived);
    }
    pending.respond(answer, now);
}

void Node::erase(Token token)
{
    const auto found = pending_.find(token);
    deadlines_.erase({found->second.deadline, token});
    pending_.erase(found);
}

void Node::expireRequests(Time now)
{
    for (const Token token : admission_.expire(now))
        refuse(token, "deadline-unreachable", "the request waited until its deadline", now);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const Token token = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        deadlinePassed(token, now);
    }
}

void Node::deadlinePassed(Token token, Time now)
{
    Pending &pending = pending_.at(token);
    switch (pending.stage) {
    case Stage::HomeWait:
        complete(token,
                 attemptNotRun("home-unreachable", "the home of the request id cannot be reached"),
                 now);
        return;
    case Stage::Claiming:
        return; // the claim log calls back at the deadline
    case Stage::Queued:
        // Waiting for a retry; a request in the queue has been refused by its expiry.
        complete(token,
                 refusal(pending.request.idempotent ? Outcome::Unknown : Outcome::NotRun, 504,
                         "deadline-passed", "the request failed and could not be tried again"),
                 now);
        return;
    case Stage::Running:
        // The endpoint's slot stays occupied until its answer arrives, so the request stays here. A
        // duplicate of it is then given the answer.
        respond(pending, refusal(Outcome::Unknown, 504, "deadline-passed", "still running"), now);
        return;
    case Stage::Joined:
    case Stage::Forwarded:
        complete(token, refusal(Outcome::Unknown, 504, "deadline-passed", "no answer in time"),
                 now);
        return;
    }
}

void Node::retryHomeWaits(Time now)
{
    std::vector<Token> waiting;
    for (const auto &item : pending_) {
        if (item.second.stage == Stage::HomeWait)
            waiting.push_back(item.first);
    }
    for (const Token token : waiting) {
        const auto found = pending_.find(token);
        if (found != pending_.end() && found->second.stage == Stage::HomeWait)
            submitToHome(token, now);
    }
}

} // namespace monsoonledge
