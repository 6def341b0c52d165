// Recovery of gained units, release of units, and removal of what is older than the retention
// period.
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
    d->closing &= ~(1U << unit);
    // This run remembers its own claims, so a unit that it released and took back needs no reading.
    if (formerOwner.entry.isEmpty() || formerOwner == d->settings.self) {
        d->ready |= 1U << unit;
        d->writer.addNote({unit, EntryRun(), true, false}, now);
        d->soon(std::move(ready));
        return;
    }
    if (!released)
        d->closedRuns.insert(formerOwner);
    ++d->recovering[unit];
    d->recoveries.push_back({unit, formerOwner, released, claimsKnown, std::move(ready)});
    d->soon([d](Time /*at*/) { d->startRecovery(); });
}

void ClaimLog::Private::startRecovery()
{
    if (reader.isBusy() || recoveries.empty() || fenced)
        return;
    // All units of one former owner are recovered by one reading of its log.
    std::vector<Recovery> batch;
    std::deque<Recovery> others;
    UnitMask units = 0;
    const EntryRun former = recoveries.front().former;
    const bool released = recoveries.front().released;
    for (Recovery &recovery : recoveries) {
        const bool same = recovery.former == former && recovery.released == released
                          && ((units >> recovery.unit) & 1U) == 0;
        if (same)
            units |= 1U << recovery.unit;
        if (same)
            batch.push_back(std::move(recovery));
        else
            others.push_back(std::move(recovery));
    }
    recoveries = std::move(others);
    reader.read(former, !released, units,
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
        Entry entry;
        entry.state = State::Unknown;
        entry.unit = unit;
        entry.endedAt = now + settings.longestRun;
        const bool added = entries.emplace(id, std::move(entry)).second;
        if (added)
            endedElsewhere.emplace_back(now + settings.longestRun, id);
        return added;
    };
    for (const RequestId &id : result.claims)
        addUnknown(id, homeUnit(id));
    const EntryRun former = batch.front().former;
    const bool dead = !batch.front().released;
    formerRuns[former] = {now, dead || formerRuns[former].second};
    for (const Recovery &recovery : batch) {
        const UnitMask bit = 1U << recovery.unit;
        // Mirrored claims are in no log that a later owner would read, so they go into the own one.
        for (const auto &[id, receivedAt] : mirrored[former]) {
            if (homeUnit(id) == recovery.unit && addUnknown(id, recovery.unit))
                writer.add({id, recovery.unit, true, {}, {}}, now);
        }
        const bool known = recovery.claimsKnown && (result.incomplete & bit) == 0;
        if (!known)
            barriers[recovery.unit] = {now + settings.foreignRetention(), issued};
        writer.addNote({recovery.unit, former, known, false}, now);
        --recovering[recovery.unit];
        if ((closing & bit) != 0)
            writer.markLeft(recovery.unit, now);
        else
            ready |= bit;
    }
    log(LogLevel::Info, "units-recovered", "the claims of " + former.str() + " were read");
    const std::weak_ptr<bool> guard = alive;
    for (const Recovery &recovery : batch) {
        if (guard.expired())
            return;
        if (((ready >> recovery.unit) & 1U) != 0 && recovery.ready)
            recovery.ready(now);
    }
    if (!guard.expired())
        startRecovery();
}

void ClaimLog::closeUnit(int unit, Time now)
{
    const UnitMask bit = 1U << unit;
    d_->ready &= ~bit;
    d_->closing |= bit;
    if (d_->recovering[unit] == 0)
        d_->writer.markLeft(unit, now);
}

bool ClaimLog::unitIdle(int unit) const
{
    return d_->active[unit] == 0 && d_->recovering[unit] == 0 && d_->writer.unitWritten(unit);
}

void ClaimLog::expire(Time now)
{
    Private *d = d_.get();
    if (!d->startedAt)
        d->startedAt = now;
    d->forget(d->ended, now);
    d->forget(d->endedElsewhere, now);
    while (!d->bodies.empty()) {
        const auto found = d->entries.find(d->bodies.front());
        if (found != d->entries.end() && found->second.answerKnown)
            break;
        d->bodies.pop_front();
    }
    // Claims of peer mode that ended so long ago need not be written any more.
    std::vector<std::uint64_t> forgotten;
    for (const auto &[number, claim] : d->writer.pending()) {
        if (claim.granted && d->entries.count(claim.id) == 0)
            forgotten.push_back(number);
    }
    for (const std::uint64_t number : forgotten)
        d->writer.drop(number);
    // What kept this run in peer mode may have been dropped or withdrawn instead of written.
    d->leavePeerMode();
    d->expireMirrored(now);
    d->cleanUp(now);
}

void ClaimLog::Private::forget(std::deque<std::pair<Time, RequestId>> &list, Time now)
{
    while (!list.empty() && now - list.front().first >= settings.retention) {
        const auto [endedAt, id] = list.front();
        list.pop_front();
        const auto found = entries.find(id);
        if (found == entries.end() || found->second.endedAt != endedAt
            || found->second.state == State::Writing || found->second.state == State::Running)
            continue;
        if (found->second.answerKnown)
            bodyBytes -= found->second.answer.body.size();
        entries.erase(found);
    }
}

void ClaimLog::Private::expireMirrored(Time now)
{
    for (auto run = mirrored.begin(); run != mirrored.end();) {
        auto &claims = run->second;
        for (auto claim = claims.begin(); claim != claims.end();) {
            const bool old = now - claim->second >= settings.foreignRetention();
            claim = old ? claims.erase(claim) : std::next(claim);
        }
        run = claims.empty() ? mirrored.erase(run) : std::next(run);
    }
}

void ClaimLog::Private::cleanUp(Time now)
{
    const auto old =
            writer.expire([this](const RequestId &id) { return entries.count(id) != 0; }, now);
    if (old)
        removals.push_back(*old);
    for (auto it = formerRuns.begin(); it != formerRuns.end();) {
        const auto &[since, dead] = it->second;
        const bool gone = dead || (q->runEnded && q->runEnded(it->first));
        if (now - since < settings.foreignRetention() || !gone) {
            ++it;
            continue;
        }
        listForRemoval(it->first, false);
        it = formerRuns.erase(it);
    }
    if (!ownLogsListed && now - *startedAt >= 2 * settings.foreignRetention()) {
        ownLogsListed = true;
        listForRemoval(settings.self, true);
    }
    if (removals.empty())
        return;
    const auto removal = removals.front();
    removals.pop_front();
    store.remove(
            removal.first, removal.second,
            [this, removal, guard = std::weak_ptr<bool>(alive)](const StoreValue &value, Time) {
                if (!guard.expired()
                    && (value.status == StoreStatus::Refused
                        || value.status == StoreStatus::Unknown))
                    removals.push_back(removal);
            });
}

// Collects segments for removal. The last segment of a dead run stays, because it is the mark that
// the log is closed; a process that was declared dead by mistake could go on with its log
// otherwise. The mark goes when the entry has been started again, which proves the older run's end.
void ClaimLog::Private::listForRemoval(const EntryRun &run, bool olderRunsOfEntry)
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
                ownLogsListed = false;
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
                removals.push_back(listing.keys[i]);
        }
    });
}

} // namespace monsoonledge
