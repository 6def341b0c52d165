// Recovery of gained units, release of units, and removal of ids and segments that are older than
// the retention period.
#include "claims/claims_p.h"

#include <algorithm>
#include <cstdlib>

namespace monsoonledge {

void ClaimLog::recover(int unit, const EntryRun &formerOwner, bool released, bool claimsKnown,
                       Time now, std::function<void(Time now)> ready)
{
    Private *d = d_.get();
    if (d->fenced)
        return;
    d->closingUnits &= ~(1U << unit);
    // This run remembers its own claims, so nothing has to be read for a unit that it released and
    // gained again.
    if (formerOwner.entry.isEmpty() || formerOwner == d->settings.self) {
        d->readyUnits |= 1U << unit;
        d->writer.addOwnership({unit, EntryRun(), true, false}, now);
        d->defer(std::move(ready));
        return;
    }
    if (!released)
        d->closedRuns.insert(formerOwner);
    ++d->unfinishedRecoveries[unit];
    d->queuedRecoveries.push_back({unit, formerOwner, released, claimsKnown, std::move(ready)});
    d->defer([d](Time /*at*/) { d->startRecovery(); });
}

void ClaimLog::Private::startRecovery()
{
    if (reader.isBusy() || queuedRecoveries.empty() || fenced)
        return;
    // The log of a former owner is read once for all of its units that wait for recovery.
    std::vector<Recovery> batch;
    std::deque<Recovery> others;
    UnitMask units = 0;
    const EntryRun formerOwner = queuedRecoveries.front().formerOwner;
    const bool released = queuedRecoveries.front().released;
    for (Recovery &recovery : queuedRecoveries) {
        const bool same = recovery.formerOwner == formerOwner && recovery.released == released
                          && ((units >> recovery.unit) & 1U) == 0;
        if (same)
            units |= 1U << recovery.unit;
        if (same)
            batch.push_back(std::move(recovery));
        else
            others.push_back(std::move(recovery));
    }
    queuedRecoveries = std::move(others);
    reader.read(formerOwner, !released, units,
                [this, batch = std::move(batch)](const LogReader::Result &result, Time now) {
                    finishRecovery(batch, result, now);
                });
}

void ClaimLog::Private::finishRecovery(const std::vector<Recovery> &batch,
                                       const LogReader::Result &result, Time now)
{
    if (fenced)
        return;
    const auto addUnknown = [&](const RequestId &id, int unit) {
        RememberedClaim claim;
        claim.state = State::Unknown;
        claim.unit = unit;
        claim.endedAt = now + settings.maxRequestRunTime;
        const bool added = rememberedClaims.emplace(id, std::move(claim)).second;
        if (added)
            formerOwnerClaims.emplace_back(now + settings.maxRequestRunTime, id);
        return added;
    };
    for (const RequestId &id : result.claims)
        addUnknown(id, homeUnit(id));
    const EntryRun formerOwner = batch.front().formerOwner;
    const bool dead = !batch.front().released;
    formerRuns[formerOwner] = {now, dead || formerRuns[formerOwner].second};
    for (const Recovery &recovery : batch) {
        const UnitMask bit = 1U << recovery.unit;
        // A mirrored claim may be missing in the logs that a later owner reads, so it is written to
        // the log of this run.
        for (const auto &[id, receivedAt] : mirroredClaims[formerOwner]) {
            if (homeUnit(id) == recovery.unit && addUnknown(id, recovery.unit))
                writer.add({id, recovery.unit, true, {}, {}}, now);
        }
        const bool known = recovery.claimsKnown && (result.incomplete & bit) == 0;
        if (!known)
            incompleteRecoveries[recovery.unit] = {now + settings.foreignRetention(), lastIssued};
        writer.addOwnership({recovery.unit, formerOwner, known, false}, now);
        --unfinishedRecoveries[recovery.unit];
        if ((closingUnits & bit) != 0)
            writer.markLeft(recovery.unit, now);
        else
            readyUnits |= bit;
    }
    log(LogLevel::Info, "units-recovered",
        "the claim log of " + formerOwner.str() + " was read; its units are recovered");
    const std::weak_ptr<bool> guard = alive;
    for (const Recovery &recovery : batch) {
        if (guard.expired())
            return;
        if (((readyUnits >> recovery.unit) & 1U) != 0 && recovery.ready)
            recovery.ready(now);
    }
    if (!guard.expired())
        startRecovery();
}

void ClaimLog::closeUnit(int unit, Time now)
{
    const UnitMask bit = 1U << unit;
    d_->readyUnits &= ~bit;
    d_->closingUnits |= bit;
    if (d_->unfinishedRecoveries[unit] == 0)
        d_->writer.markLeft(unit, now);
}

bool ClaimLog::unitIdle(int unit) const
{
    return d_->activeClaims[unit] == 0 && d_->unfinishedRecoveries[unit] == 0
           && d_->writer.isUnitWritten(unit);
}

void ClaimLog::expire(Time now)
{
    Private *d = d_.get();
    if (!d->startedAt)
        d->startedAt = now;
    d->forgetExpired(d->endedClaims, now);
    d->forgetExpired(d->formerOwnerClaims, now);
    while (!d->rememberedAnswers.empty()) {
        const auto found = d->rememberedClaims.find(d->rememberedAnswers.front());
        if (found != d->rememberedClaims.end() && found->second.answerKnown)
            break;
        d->rememberedAnswers.pop_front();
    }
    // Claims granted in peer mode that have been forgotten since need not be written any more.
    std::vector<std::uint64_t> forgotten;
    for (const auto &[number, claim] : d->writer.pending()) {
        if (claim.granted && d->rememberedClaims.count(claim.id) == 0)
            forgotten.push_back(number);
    }
    for (const std::uint64_t number : forgotten)
        d->writer.drop(number);
    // The claims that kept this run in peer mode may have been dropped or withdrawn rather than
    // written, so the end of peer mode is checked here, too.
    d->tryLeavePeerMode();
    d->forgetMirroredClaims(now);
    d->removeExpiredSegments(now);
}

void ClaimLog::Private::forgetExpired(std::deque<std::pair<Time, RequestId>> &list, Time now)
{
    while (!list.empty() && now - list.front().first >= settings.retention) {
        const auto [endedAt, id] = list.front();
        list.pop_front();
        const auto found = rememberedClaims.find(id);
        if (found == rememberedClaims.end() || found->second.endedAt != endedAt
            || found->second.state == State::Recording || found->second.state == State::Running)
            continue;
        if (found->second.answerKnown)
            rememberedBytes -= found->second.answer.body.size();
        rememberedClaims.erase(found);
    }
}

void ClaimLog::Private::forgetMirroredClaims(Time now)
{
    for (auto run = mirroredClaims.begin(); run != mirroredClaims.end();) {
        auto &claims = run->second;
        for (auto claim = claims.begin(); claim != claims.end();) {
            const bool old = now - claim->second >= settings.foreignRetention();
            claim = old ? claims.erase(claim) : std::next(claim);
        }
        run = claims.empty() ? mirroredClaims.erase(run) : std::next(run);
    }
}

void ClaimLog::Private::removeExpiredSegments(Time now)
{
    const auto old = writer.expire(
            [this](const RequestId &id) { return rememberedClaims.count(id) != 0; }, now);
    if (old)
        segmentsToRemove.push_back(*old);
    for (auto it = formerRuns.begin(); it != formerRuns.end();) {
        const auto &[since, dead] = it->second;
        const bool gone = dead || (q->hasLeftDomain && q->hasLeftDomain(it->first));
        if (now - since < settings.foreignRetention() || !gone) {
            ++it;
            continue;
        }
        listSegmentsForRemoval(it->first, false);
        it = formerRuns.erase(it);
    }
    if (!olderLogsListed && now - *startedAt >= 2 * settings.foreignRetention()) {
        olderLogsListed = true;
        listSegmentsForRemoval(settings.self, true);
    }
    if (segmentsToRemove.empty())
        return;
    const auto removal = segmentsToRemove.front();
    segmentsToRemove.pop_front();
    store.remove(
            removal.first, removal.second,
            [this, removal, guard = std::weak_ptr<bool>(alive)](const StoreValue &value, Time) {
                if (!guard.expired()
                    && (value.status == StoreStatus::Refused
                        || value.status == StoreStatus::Unknown))
                    segmentsToRemove.push_back(removal);
            });
}

// Collects segments of one run for removal, or those of all older runs of its entry process. The
// last segment of a former run is kept, because it marks the log as closed: without it, a process
// that was declared dead by mistake could go on writing its log. It is removed after a restart of
// the entry process, which proves that the older run has ended.
void ClaimLog::Private::listSegmentsForRemoval(const EntryRun &run, bool olderRunsOfEntry)
{
    const std::string prefix =
            olderRunsOfEntry ? "claims/" + settings.domain.str() + '/' + run.entry.str() + '/'
                             : logPrefix(settings.domain, run);
    store.list(prefix, [this, run, olderRunsOfEntry, prefix,
                        guard = std::weak_ptr<bool>(alive)](const StoreListing &listing, Time now) {
        if (guard.expired())
            return;
        if (listing.status != StoreStatus::Ok) {
            if (olderRunsOfEntry)
                olderLogsListed = false;
            else
                formerRuns.emplace(run, std::make_pair(now, true));
            return;
        }
        for (std::size_t i = 0; i < listing.keys.size(); ++i) {
            const std::string &key = listing.keys[i].first;
            const std::string rest = key.substr(prefix.size());
            const bool older = olderRunsOfEntry && rest.find('/') != std::string::npos
                               && std::strtoull(rest.c_str(), nullptr, 10) < run.incarnation.value;
            if (older || (!olderRunsOfEntry && i + 1 < listing.keys.size()))
                segmentsToRemove.push_back(listing.keys[i]);
        }
    });
}

} // namespace monsoonledge
