#include "claims/claims_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr std::size_t MaxClaimsPerMessage = 1024; // keeps a message under 100 KiB

std::string base36(std::uint64_t value)
{
    std::string text;
    do {
        text.insert(text.begin(), "0123456789abcdefghijklmnopqrstuvwxyz"[value % 36]);
        value /= 36;
    } while (value > 0);
    return text;
}

std::uint64_t milliseconds36(Time now)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

struct IssuedId
{
    Time issuedAt;
    std::uint64_t number;
};

/// "<entry hash>.<incarnation>": two entries may have equal incarnations, so both are needed.
std::string runToken(const EntryRun &run)
{
    return base36(stableHash(run.entry.str()) & 0xffffffffU) + '.' + base36(run.incarnation.value);
}

/// The parts of an id that this run has issued. None: it was issued by another run or a caller.
std::optional<IssuedId> parseIssued(const RequestId &id, const ClaimSettings &settings)
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
    writer.unreachable = [this](Time now) { onUnreachable(now); };
    writer.reachable = [this](Time now) { onReachable(now); };
}

void ClaimLog::Private::soon(std::function<void(Time now)> action)
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
    return ((d_->ready >> unit) & 1U) != 0;
}

ClaimMode ClaimLog::mode() const
{
    return d_->mode;
}

std::size_t ClaimLog::size() const
{
    return d_->entries.size();
}

/// Whether a former owner may have claimed an id that is not known here.
bool ClaimLog::Private::isBlocked(const RequestId &id, int unit, Time now) const
{
    const Barrier &barrier = barriers[unit];
    const std::optional<IssuedId> own = parseIssued(id, settings);
    if (own && own->number > issued)
        return now < barrier.until; // not issued yet: made up by a caller
    if (own && now - own->issuedAt >= settings.retention)
        return true; // it may have run and been forgotten
    return now < barrier.until && (!own || own->number <= barrier.issued);
}

bool ClaimLog::mayHaveRun(const RequestId &id, int unit, Time now) const
{
    return d_->entries.count(id) > 0 || d_->fenced || !isReady(unit)
           || d_->isBlocked(id, unit, now);
}

void ClaimLog::claim(const RequestId &id, int unit, Time deadline, Time now, ClaimDone done)
{
    ClaimResult result;
    const auto found = d_->entries.find(id);
    if (found != d_->entries.end()) {
        const Private::Entry &entry = found->second;
        switch (entry.state) {
        case Private::State::Writing:
        case Private::State::Running:
            result.status = ClaimStatus::Running;
            break;
        case Private::State::Finished:
            result.status = entry.answerKnown ? ClaimStatus::Finished : ClaimStatus::MaybeRun;
            result.answer = entry.answer;
            break;
        case Private::State::Unknown:
            result.status = ClaimStatus::MaybeRun;
            break;
        }
    } else if (d_->fenced || !isReady(unit) || now >= deadline) {
        result.status = ClaimStatus::NotRecorded;
    } else if (d_->isBlocked(id, unit, now)) {
        result.status = ClaimStatus::MaybeRun;
    } else {
        Private::Entry entry;
        entry.unit = unit;
        entry.deadline = deadline;
        entry.done = std::move(done);
        const std::uint64_t number = d_->writer.add({id, unit, false, {}, {}}, now);
        entry.number = number;
        entry.timer = d_->timers.after(
                deadline - now,
                [d = d_.get(), guard = std::weak_ptr<bool>(d_->alive), id, number](Time at) {
                    if (!guard.expired())
                        d->settle(id, number, false, at);
                });
        ++d_->active[unit];
        d_->entries.emplace(id, std::move(entry));
        if (d_->mode == ClaimMode::Peer) {
            if (requiredMirrors) {
                for (const EntryId &member : requiredMirrors())
                    d_->mirror(member, {number});
            }
            d_->soon([d = d_.get(), number](Time at) { d->checkMirrored(number, at); });
        }
        return;
    }
    d_->soon([done = std::move(done), result](Time at) { done(result, at); });
}

// Ends the wait for the record of a claim.
void ClaimLog::Private::settle(const RequestId &id, std::uint64_t number, bool recorded, Time now)
{
    const auto found = entries.find(id);
    if (found == entries.end() || found->second.number != number
        || found->second.state != State::Writing)
        return;
    Entry &entry = found->second;
    timers.cancel(entry.timer);
    const ClaimDone done = std::exchange(entry.done, nullptr);
    // After a suspension the answer of the store can be handled before the timer of the deadline.
    if (recorded && !fenced && now < entry.deadline) {
        entry.state = State::Running;
        done({ClaimStatus::Granted, Answer()}, now);
        return;
    }
    const std::weak_ptr<bool> guard = alive;
    Answer answer;
    answer.outcome = Outcome::NotRun;
    answer.httpStatus = 503;
    answer.reason = "claim-not-recorded";
    answer.detail = "the request was not recorded in time and was not run";
    end(id, answer, false, now);
    if (!guard.expired())
        done({ClaimStatus::NotRecorded, Answer()}, now);
}

// Ends a waiting or running claim. `keep`: the id stays known as finished.
void ClaimLog::Private::end(const RequestId &id, const Answer &answer, bool keep, Time now)
{
    const auto found = entries.find(id);
    Entry &entry = found->second;
    const auto waiters = std::exchange(entry.waiters, {});
    --active[entry.unit];
    if (keep) {
        entry.state = State::Finished;
        entry.answer = answer;
        remember(id, entry, now);
    } else {
        writer.drop(entry.number);
        entries.erase(found);
    }
    const std::weak_ptr<bool> guard = alive;
    for (const auto &waiter : waiters) {
        if (!guard.expired())
            waiter(answer, now);
    }
}

void ClaimLog::Private::remember(const RequestId &id, Entry &entry, Time now)
{
    entry.endedAt = now;
    entry.answerKnown = true;
    ended.emplace_back(now, id);
    bodies.push_back(id);
    bodyBytes += entry.answer.body.size();
    while (bodyBytes > settings.maxRememberedBytes && !bodies.empty()) {
        const auto oldest = entries.find(bodies.front());
        bodies.pop_front();
        if (oldest == entries.end() || !oldest->second.answerKnown)
            continue;
        bodyBytes -= oldest->second.answer.body.size();
        oldest->second.answer = Answer();
        oldest->second.answerKnown = false;
    }
}

void ClaimLog::finish(const RequestId &id, const Answer &answer, Time now)
{
    const auto found = d_->entries.find(id);
    if (found != d_->entries.end() && found->second.state == Private::State::Running)
        d_->end(id, answer, true, now);
}

void ClaimLog::withdraw(const RequestId &id, const Answer &answer, Time now)
{
    const auto found = d_->entries.find(id);
    if (found != d_->entries.end() && found->second.state == Private::State::Running)
        d_->end(id, answer, false, now);
}

void ClaimLog::waitFor(const RequestId &id, std::function<void(const Answer &, Time now)> done)
{
    const auto found = d_->entries.find(id);
    if (found != d_->entries.end()
        && (found->second.state == Private::State::Writing
            || found->second.state == Private::State::Running))
        found->second.waiters.push_back(std::move(done));
}

RequestId ClaimLog::issueId(Time now)
{
    if (d_->ready == 0 || d_->fenced)
        return {};
    const std::string prefix = d_->settings.domain.str() + '~' + base36(milliseconds36(now)) + '-'
                               + runToken(d_->settings.self) + '-';
    for (;;) {
        RequestId id(prefix + base36(++d_->issued));
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
        settle(claim.id, number, true, now);
    }
}

void ClaimLog::Private::onClosed(Time now)
{
    log(LogLevel::Error, "claim-log-closed", "another process has closed the claim log");
    fenced = true;
    ready = 0;
    recoveries.clear();
    std::vector<std::pair<RequestId, std::uint64_t>> waiting;
    for (const auto &[id, entry] : entries) {
        if (entry.state == State::Writing)
            waiting.emplace_back(id, entry.number);
    }
    const std::weak_ptr<bool> guard = alive;
    for (const auto &[id, number] : waiting) {
        if (!guard.expired())
            settle(id, number, false, now);
    }
    if (!guard.expired())
        q->fenced.emit(now);
}

// Peer mode

void ClaimLog::Private::onUnreachable(Time now)
{
    log(LogLevel::Warning, "claim-mode-peer", "the store cannot be reached");
    mode = ClaimMode::Peer;
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, claim] : writer.pending())
        numbers.push_back(number);
    if (q->requiredMirrors) {
        for (const EntryId &member : q->requiredMirrors())
            mirror(member, numbers);
    }
    const std::weak_ptr<bool> guard = alive;
    for (const std::uint64_t number : numbers) {
        if (!guard.expired())
            checkMirrored(number, now);
    }
}

void ClaimLog::Private::onReachable(Time /*now*/)
{
    leavePeerMode();
}

void ClaimLog::Private::leavePeerMode()
{
    const auto &pending = writer.pending();
    if (mode == ClaimMode::Store || writer.isFailing()
        || std::any_of(pending.begin(), pending.end(),
                       [](const auto &item) { return item.second.granted; }))
        return;
    log(LogLevel::Info, "claim-mode-store", "the store answers, and all claims are in the log");
    mode = ClaimMode::Store;
    messages.clear();
}

void ClaimLog::Private::mirror(const EntryId &to, const std::vector<std::uint64_t> &numbers)
{
    ClaimMessage message;
    std::vector<std::uint64_t> sent;
    const auto flush = [&] {
        if (sent.empty())
            return;
        message.sequence = ++lastMessage;
        if (q->sendMirror && q->sendMirror(to, message)) {
            for (const std::uint64_t number : sent)
                writer.pending().at(number).sentTo.insert(to);
            messages[message.sequence] = {to, sent};
        }
        sent.clear();
        message.claims.clear();
    };
    for (const std::uint64_t number : numbers) {
        const auto pending = writer.pending().find(number);
        if (pending == writer.pending().end())
            continue;
        const auto entry = entries.find(pending->second.id);
        const bool finished = entry != entries.end() && entry->second.state != State::Writing
                              && entry->second.state != State::Running;
        message.claims.push_back({pending->second.id, finished});
        sent.push_back(number);
        if (sent.size() == MaxClaimsPerMessage)
            flush();
    }
    flush();
}

void ClaimLog::Private::checkMirrored(std::uint64_t number, Time now)
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
    settle(RequestId(claim.id), number, true, now);
}

void ClaimLog::acknowledged(const EntryId &from, std::uint64_t sequence, Time now)
{
    const auto found = d_->messages.find(sequence);
    if (found == d_->messages.end() || found->second.first != from)
        return;
    const std::vector<std::uint64_t> numbers = std::move(found->second.second);
    d_->messages.erase(found);
    const std::weak_ptr<bool> guard = d_->alive;
    for (const std::uint64_t number : numbers) {
        if (guard.expired())
            return;
        const auto pending = d_->writer.pending().find(number);
        if (pending == d_->writer.pending().end())
            continue;
        pending->second.acknowledgedBy.insert(from);
        d_->checkMirrored(number, now);
    }
}

// Acknowledgements from before do not count any more: the peer may be a new run without the claims.
// Claims granted meanwhile are sent, too, so that the peer knows all of them.
void ClaimLog::peerLinked(const EntryId &entry, Time /*now*/)
{
    auto &messages = d_->messages;
    for (auto it = messages.begin(); it != messages.end();)
        it = it->second.first == entry ? messages.erase(it) : std::next(it);
    std::vector<std::uint64_t> numbers;
    for (auto &[number, claim] : d_->writer.pending()) {
        claim.acknowledgedBy.erase(entry);
        claim.sentTo.erase(entry);
        numbers.push_back(number);
    }
    if (d_->mode == ClaimMode::Peer)
        d_->mirror(entry, numbers);
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
        d_->mirror(member, unsent);
    }
    const std::weak_ptr<bool> guard = d_->alive;
    for (const std::uint64_t number : numbers) {
        if (!guard.expired())
            d_->checkMirrored(number, now);
    }
}

bool ClaimLog::mirrored(const EntryRun &from, const ClaimMessage &message, Time now)
{
    if (d_->closedRuns.count(from) != 0)
        return false;
    for (const Claim &claim : message.claims)
        d_->mirrored[from][claim.id] = now;
    return true;
}

} // namespace monsoonledge
