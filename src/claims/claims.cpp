#include "claims/claims_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr std::size_t MaxClaimsPerMessage = 1024; // keeps a message below 100 KiB

std::string base36(std::uint64_t value)
{
    std::string text;
    do {
        text.insert(text.begin(), "0123456789abcdefghijklmnopqrstuvwxyz"[value % 36]);
        value /= 36;
    } while (value > 0);
    return text;
}

std::uint64_t millisecondsSinceEpoch(Time now)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

struct IssuedId
{
    Time issuedAt;
    std::uint64_t number;
};

/// "<entry hash>.<incarnation>". Both parts are needed, because the runs of two entry processes may
/// have the same incarnation.
std::string runToken(const EntryRun &run)
{
    return base36(stableHash(run.entry.str()) & 0xffffffffU) + '.' + base36(run.incarnation.value);
}

/// The parts of an id that has the form of ids issued by this run, or none if another run or a
/// caller made the id.
std::optional<IssuedId> parseIssuedId(const RequestId &id, const ClaimSettings &settings)
{
    const std::string prefix = settings.domain.str() + '~';
    const std::string infix = '-' + runToken(settings.self) + '-';
    const std::string &text = id.str();
    const std::size_t at = text.find(infix, prefix.size());
    if (text.compare(0, prefix.size(), prefix) != 0 || at == std::string::npos)
        return std::nullopt;
    const std::string time = text.substr(prefix.size(), at - prefix.size());
    const std::string number = text.substr(at + infix.size());
    const auto isNumber = [](const std::string &part) {
        return !part.empty() && part.size() <= 11
               && part.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyz")
                          == std::string::npos;
    };
    if (!isNumber(time) || !isNumber(number))
        return std::nullopt;
    return IssuedId{Time(milliseconds(std::stoull(time, nullptr, 36))),
                    std::stoull(number, nullptr, 36)};
}

} // namespace

ClaimLog::ClaimLog(ClaimSettings settings, StorePort &store, TimerPort &timers, LogHook log)
    : d_(std::make_unique<Private>(this, std::move(settings), store, timers, std::move(log)))
{ }

ClaimLog::~ClaimLog() = default;

ClaimLog::Private::Private(ClaimLog *claimLog, ClaimSettings claimSettings, StorePort &storePort,
                           TimerPort &timerPort, LogHook hook)
    : q(claimLog), settings(std::move(claimSettings)), store(storePort), timers(timerPort),
      logHook(std::move(hook)), writer(settings, store, timers),
      reader(settings, store, timers, logHook)
{
    writer.recorded = [this](const auto &claims, Time now) { onRecorded(claims, now); };
    writer.closed = [this](Time now) { onClosed(now); };
    writer.storeUnreachable = [this](Time now) { onStoreUnreachable(now); };
    writer.storeReachable = [this](Time now) { onStoreReachable(now); };
}

void ClaimLog::Private::defer(std::function<void(Time now)> action)
{
    timers.after(Duration(0),
                 [guard = std::weak_ptr<bool>(alive), action = std::move(action)](Time now) {
                     if (!guard.expired())
                         action(now);
                 });
}

void ClaimLog::Private::log(LogLevel level, const char *event, const std::string &message) const
{
    if (logHook)
        logHook({level, event, message, {}});
}

bool ClaimLog::isReady(int unit) const
{
    return ((d_->readyUnits >> unit) & 1U) != 0;
}

ClaimMode ClaimLog::mode() const
{
    return d_->mode;
}

std::size_t ClaimLog::size() const
{
    return d_->rememberedClaims.size();
}

/// Whether an id that is not remembered here may have been claimed before, by a former owner or so
/// long ago that this run has forgotten it.
bool ClaimLog::Private::mayHaveUnknownClaim(const RequestId &id, int unit, Time now) const
{
    const IncompleteRecovery &incomplete = incompleteRecoveries[unit];
    const std::optional<IssuedId> own = parseIssuedId(id, settings);
    if (own && own->number > lastIssued)
        return now < incomplete.until; // this run has not issued the id: a caller made it up
    if (own && now - own->issuedAt >= settings.retention)
        return true; // the request may have run, and its claim may have been forgotten since
    return now < incomplete.until && (!own || own->number <= incomplete.lastIssued);
}

bool ClaimLog::mayHaveRun(const RequestId &id, int unit, Time now) const
{
    return d_->rememberedClaims.count(id) > 0 || d_->fenced || !isReady(unit)
           || d_->mayHaveUnknownClaim(id, unit, now);
}

void ClaimLog::claim(const RequestId &id, int unit, Time deadline, Time now, ClaimDone done)
{
    ClaimResult result;
    const auto found = d_->rememberedClaims.find(id);
    if (found != d_->rememberedClaims.end()) {
        const Private::RememberedClaim &claim = found->second;
        switch (claim.state) {
        case Private::State::Recording:
        case Private::State::Running:
            result.status = ClaimStatus::Running;
            break;
        case Private::State::Finished:
            result.status = claim.answerKnown ? ClaimStatus::Finished : ClaimStatus::MayHaveRun;
            result.answer = claim.answer;
            break;
        case Private::State::Unknown:
            result.status = ClaimStatus::MayHaveRun;
            break;
        }
    } else if (d_->fenced || !isReady(unit) || now >= deadline) {
        result.status = ClaimStatus::NotRecorded;
    } else if (d_->mayHaveUnknownClaim(id, unit, now)) {
        result.status = ClaimStatus::MayHaveRun;
    } else {
        Private::RememberedClaim claim;
        claim.unit = unit;
        claim.deadline = deadline;
        claim.done = std::move(done);
        const std::uint64_t number = d_->writer.add({id, unit, false, {}, {}}, now);
        claim.pendingNumber = number;
        claim.timer = d_->timers.after(
                deadline - now,
                [d = d_.get(), guard = std::weak_ptr<bool>(d_->alive), id, number](Time at) {
                    if (!guard.expired())
                        d->finishRecording(id, number, false, at);
                });
        ++d_->activeClaims[unit];
        d_->rememberedClaims.emplace(id, std::move(claim));
        if (d_->mode == ClaimMode::Peer) {
            if (requiredMirrors) {
                for (const EntryId &member : requiredMirrors())
                    d_->mirrorClaims(member, {number});
            }
            d_->defer([d = d_.get(), number](Time at) { d->grantIfMirrored(number, at); });
        }
        return;
    }
    d_->defer([done = std::move(done), result](Time at) { done(result, at); });
}

// Reports the result of recording a claim to its caller: Granted, or NotRecorded with the removal
// of the claim. Does nothing if the claim is not waiting to be recorded.
void ClaimLog::Private::finishRecording(const RequestId &id, std::uint64_t number, bool recorded,
                                        Time now)
{
    const auto found = rememberedClaims.find(id);
    if (found == rememberedClaims.end() || found->second.pendingNumber != number
        || found->second.state != State::Recording)
        return;
    RememberedClaim &claim = found->second;
    timers.cancel(claim.timer);
    const ClaimDone done = std::exchange(claim.done, nullptr);
    // After the process was suspended, the store's response can be handled before the timer of the
    // deadline, so the deadline is checked here, too.
    if (recorded && !fenced && now < claim.deadline) {
        claim.state = State::Running;
        done({ClaimStatus::Granted, Answer()}, now);
        return;
    }
    const std::weak_ptr<bool> guard = alive;
    Answer answer;
    answer.outcome = Outcome::NotRun;
    answer.httpStatus = 503;
    answer.reason = "claim-not-recorded";
    answer.detail = "the request was not recorded in time and was not run";
    endClaim(id, answer, false, now);
    if (!guard.expired())
        done({ClaimStatus::NotRecorded, Answer()}, now);
}

// Ends a claim that is being recorded or running, and passes the answer to its waiters. If `keep`
// is true, the id stays remembered as finished; otherwise it may be claimed again.
void ClaimLog::Private::endClaim(const RequestId &id, const Answer &answer, bool keep, Time now)
{
    const auto found = rememberedClaims.find(id);
    RememberedClaim &claim = found->second;
    const auto waiters = std::exchange(claim.waiters, {});
    --activeClaims[claim.unit];
    if (keep) {
        claim.state = State::Finished;
        claim.answer = answer;
        rememberAnswer(id, claim, now);
    } else {
        writer.drop(claim.pendingNumber);
        rememberedClaims.erase(found);
    }
    const std::weak_ptr<bool> guard = alive;
    for (const auto &waiter : waiters) {
        if (!guard.expired())
            waiter(answer, now);
    }
}

void ClaimLog::Private::rememberAnswer(const RequestId &id, RememberedClaim &claim, Time now)
{
    claim.endedAt = now;
    claim.answerKnown = true;
    endedClaims.emplace_back(now, id);
    rememberedAnswers.push_back(id);
    rememberedBytes += claim.answer.body.size();
    while (rememberedBytes > settings.maxRememberedBytes && !rememberedAnswers.empty()) {
        const auto oldest = rememberedClaims.find(rememberedAnswers.front());
        rememberedAnswers.pop_front();
        if (oldest == rememberedClaims.end() || !oldest->second.answerKnown)
            continue;
        rememberedBytes -= oldest->second.answer.body.size();
        oldest->second.answer = Answer();
        oldest->second.answerKnown = false;
    }
}

void ClaimLog::finish(const RequestId &id, const Answer &answer, Time now)
{
    const auto found = d_->rememberedClaims.find(id);
    if (found != d_->rememberedClaims.end() && found->second.state == Private::State::Running)
        d_->endClaim(id, answer, true, now);
}

void ClaimLog::withdraw(const RequestId &id, const Answer &answer, Time now)
{
    const auto found = d_->rememberedClaims.find(id);
    if (found != d_->rememberedClaims.end() && found->second.state == Private::State::Running)
        d_->endClaim(id, answer, false, now);
}

void ClaimLog::waitFor(const RequestId &id, std::function<void(const Answer &, Time now)> done)
{
    const auto found = d_->rememberedClaims.find(id);
    if (found != d_->rememberedClaims.end()
        && (found->second.state == Private::State::Recording
            || found->second.state == Private::State::Running))
        found->second.waiters.push_back(std::move(done));
}

RequestId ClaimLog::issueId(Time now)
{
    if (d_->readyUnits == 0 || d_->fenced)
        return {};
    const std::string prefix = d_->settings.domain.str() + '~' + base36(millisecondsSinceEpoch(now))
                               + '-' + runToken(d_->settings.self) + '-';
    for (;;) {
        RequestId id(prefix + base36(++d_->lastIssued));
        if (isReady(homeUnit(id)))
            return id;
    }
}

void ClaimLog::Private::onRecorded(
        const std::vector<std::pair<std::uint64_t, PendingClaim>> &claims, Time now)
{
    const std::weak_ptr<bool> guard = alive;
    for (const auto &[number, claim] : claims) {
        if (guard.expired())
            return;
        finishRecording(claim.id, number, true, now);
    }
}

void ClaimLog::Private::onClosed(Time now)
{
    log(LogLevel::Error, "claim-log-closed",
        "another process closed the claim log of this process; no more claims are granted");
    fenced = true;
    readyUnits = 0;
    queuedRecoveries.clear();
    std::vector<std::pair<RequestId, std::uint64_t>> waiting;
    for (const auto &[id, claim] : rememberedClaims) {
        if (claim.state == State::Recording)
            waiting.emplace_back(id, claim.pendingNumber);
    }
    const std::weak_ptr<bool> guard = alive;
    for (const auto &[id, number] : waiting) {
        if (!guard.expired())
            finishRecording(id, number, false, now);
    }
    if (!guard.expired())
        q->fenced.emit(now);
}

// Peer mode

void ClaimLog::Private::onStoreUnreachable(Time now)
{
    log(LogLevel::Warning, "claim-mode-peer",
        "the store is unreachable; claims are recorded by the peers instead");
    mode = ClaimMode::Peer;
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, claim] : writer.pending())
        numbers.push_back(number);
    if (q->requiredMirrors) {
        for (const EntryId &member : q->requiredMirrors())
            mirrorClaims(member, numbers);
    }
    const std::weak_ptr<bool> guard = alive;
    for (const std::uint64_t number : numbers) {
        if (!guard.expired())
            grantIfMirrored(number, now);
    }
}

void ClaimLog::Private::onStoreReachable(Time /*now*/)
{
    tryLeavePeerMode();
}

void ClaimLog::Private::tryLeavePeerMode()
{
    const auto &pending = writer.pending();
    if (mode == ClaimMode::Store || writer.isFailing()
        || std::any_of(pending.begin(), pending.end(),
                       [](const auto &item) { return item.second.granted; }))
        return;
    log(LogLevel::Info, "claim-mode-store",
        "the store responds and holds all granted claims; claims are recorded in the store again");
    mode = ClaimMode::Store;
    unacknowledgedMessages.clear();
}

void ClaimLog::Private::mirrorClaims(const EntryId &to, const std::vector<std::uint64_t> &numbers)
{
    ClaimMessage message;
    std::vector<std::uint64_t> sent;
    const auto flush = [&] {
        if (sent.empty())
            return;
        message.sequence = ++lastSequence;
        if (q->sendClaimMessage && q->sendClaimMessage(to, message)) {
            for (const std::uint64_t number : sent)
                writer.pending().at(number).sentTo.insert(to);
            unacknowledgedMessages[message.sequence] = {to, sent};
        }
        sent.clear();
        message.claims.clear();
    };
    for (const std::uint64_t number : numbers) {
        const auto pending = writer.pending().find(number);
        if (pending == writer.pending().end())
            continue;
        const auto remembered = rememberedClaims.find(pending->second.id);
        const bool finished = remembered != rememberedClaims.end()
                              && remembered->second.state != State::Recording
                              && remembered->second.state != State::Running;
        message.claims.push_back({pending->second.id, finished});
        sent.push_back(number);
        if (sent.size() == MaxClaimsPerMessage)
            flush();
    }
    flush();
}

void ClaimLog::Private::grantIfMirrored(std::uint64_t number, Time now)
{
    const auto found = writer.pending().find(number);
    if (mode != ClaimMode::Peer || fenced || found == writer.pending().end()
        || found->second.granted)
        return;
    PendingClaim &claim = found->second;
    const std::vector<EntryId> required =
            q->requiredMirrors ? q->requiredMirrors() : std::vector<EntryId>();
    if (std::any_of(required.begin(), required.end(),
                    [&](const EntryId &e) { return claim.acknowledgedBy.count(e) == 0; }))
        return;
    claim.granted = true;
    finishRecording(RequestId(claim.id), number, true, now);
}

void ClaimLog::receiveAcknowledgement(const EntryId &from, std::uint64_t sequence, Time now)
{
    const auto found = d_->unacknowledgedMessages.find(sequence);
    if (found == d_->unacknowledgedMessages.end() || found->second.first != from)
        return;
    const std::vector<std::uint64_t> numbers = std::move(found->second.second);
    d_->unacknowledgedMessages.erase(found);
    const std::weak_ptr<bool> guard = d_->alive;
    for (const std::uint64_t number : numbers) {
        if (guard.expired())
            return;
        const auto pending = d_->writer.pending().find(number);
        if (pending == d_->writer.pending().end())
            continue;
        pending->second.acknowledgedBy.insert(from);
        d_->grantIfMirrored(number, now);
    }
}

// Earlier acknowledgements of the peer are discarded, because it may be a new run that does not
// have the claims. Granted claims are sent again, too, so that the peer has all of them.
void ClaimLog::peerLinked(const EntryId &entry, Time /*now*/)
{
    auto &unacknowledgedMessages = d_->unacknowledgedMessages;
    for (auto it = unacknowledgedMessages.begin(); it != unacknowledgedMessages.end();)
        it = it->second.first == entry ? unacknowledgedMessages.erase(it) : std::next(it);
    std::vector<std::uint64_t> numbers;
    for (auto &[number, claim] : d_->writer.pending()) {
        claim.acknowledgedBy.erase(entry);
        claim.sentTo.erase(entry);
        numbers.push_back(number);
    }
    if (d_->mode == ClaimMode::Peer)
        d_->mirrorClaims(entry, numbers);
}

void ClaimLog::mirrorsChanged(Time now)
{
    if (d_->mode != ClaimMode::Peer)
        return;
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, claim] : d_->writer.pending())
        numbers.push_back(number);
    const std::vector<EntryId> required =
            requiredMirrors ? requiredMirrors() : std::vector<EntryId>();
    for (const EntryId &member : required) {
        std::vector<std::uint64_t> unsent;
        for (const auto &[number, claim] : d_->writer.pending()) {
            if (claim.sentTo.count(member) == 0)
                unsent.push_back(number);
        }
        d_->mirrorClaims(member, unsent);
    }
    const std::weak_ptr<bool> guard = d_->alive;
    for (const std::uint64_t number : numbers) {
        if (!guard.expired())
            d_->grantIfMirrored(number, now);
    }
}

bool ClaimLog::receiveMirroredClaims(const EntryRun &from, const ClaimMessage &message, Time now)
{
    if (d_->closedRuns.count(from) != 0)
        return false;
    for (const Claim &claim : message.claims)
        d_->mirroredClaims[from][claim.id] = now;
    return true;
}

} // namespace monsoonledge
