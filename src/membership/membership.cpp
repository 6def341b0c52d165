#include "membership/membership.h"

#include <algorithm>
#include <bitset>
#include <stdexcept>

namespace monsoonledge {

namespace {

int countUnits(UnitMask mask)
{
    return static_cast<int>(std::bitset<UnitCount>(mask).count());
}

bool hasUnit(UnitMask mask, int unit)
{
    return ((mask >> unit) & 1U) != 0;
}

void removeMember(DomainRecord &record, const EntryRun &run)
{
    auto &members = record.members;
    members.erase(std::remove_if(members.begin(), members.end(),
                                 [&](const Member &m) { return m.run == run; }),
                  members.end());
    for (UnitRecord &unit : record.units) {
        if (unit.owner == run)
            unit = {std::nullopt, run, false};
    }
}

} // namespace

Membership::Membership(MembershipSettings settings, StorePort &store, TimerPort &timers,
                       LogHook log)
    : settings_(std::move(settings)), store_(store), timers_(timers), log_(std::move(log))
{ }

std::string Membership::recordKey() const
{
    return "domains/" + settings_.domain.str();
}

void Membership::log(LogLevel level, const char *event, const std::string &message,
                     std::vector<std::pair<std::string, std::string>> fields) const
{
    if (log_)
        log_({level, event, message, std::move(fields)});
}

StoreDone Membership::weakCallback(void (Membership::*handler)(const StoreValue &, Time))
{
    return [this, handler, guard = std::weak_ptr<bool>(alive_)](const StoreValue &value, Time now) {
        if (!guard.expired())
            (this->*handler)(value, now);
    };
}

void Membership::scheduleRetry(void (Membership::*action)(Time))
{
    timers_.after(settings_.retryDelay,
                  [this, action, guard = std::weak_ptr<bool>(alive_)](Time now) {
                      if (!guard.expired())
                          (this->*action)(now);
                  });
}

void Membership::start(Time now)
{
    readOrWritePending_ = true;
    readRecord(now);
}

void Membership::rejoin(Incarnation incarnation, Time /*now*/)
{
    if (!expelled_ || incarnation <= settings_.self.incarnation)
        throw std::logic_error(
                "a process can rejoin its failure domain only after it was expelled, "
                "and with a newer incarnation");
    settings_.self.incarnation = incarnation;
    expelled_ = false;
    registered_ = false;
    if (!readOrWritePending_)
        reconcile();
}

void Membership::readRecord(Time /*now*/)
{
    versionAtRead_ = version_;
    store_.get(recordKey(), weakCallback(&Membership::onReadResult));
}

void Membership::onStoreFailure()
{
    if (storeReachable_)
        log(LogLevel::Warning, "store-unreachable",
            "cannot access the domain record in the store; until it responds, this process neither "
            "gains nor releases share units");
    storeReachable_ = false;
}

void Membership::onReadResult(const StoreValue &value, Time now)
{
    if (value.status != StoreStatus::Ok && value.status != StoreStatus::NotFound) {
        onStoreFailure();
        scheduleRetry(&Membership::readRecord);
        return;
    }
    // A watch may have delivered a newer record while the read was in flight: ignore the result of
    // the read. A version lower than the one known when the read was sent means that the store was
    // restored from a backup: use the result.
    if (value.version >= version_ || value.version < versionAtRead_) {
        if (value.status == StoreStatus::NotFound) {
            adoptRecord(DomainRecord(), Version(), now);
        } else if (!decodeAndAdopt(value.value, value.version, now)) {
            scheduleRetry(&Membership::readRecord);
            return;
        }
    }
    storeReachable_ = true;
    readOrWritePending_ = false;
    watchRecord(now);
    reconcile();
}

void Membership::watchRecord(Time /*now*/)
{
    if (watching_)
        return;
    watching_ = true;
    store_.watch(recordKey(), version_, weakCallback(&Membership::onWatchResult));
}

void Membership::onWatchResult(const StoreValue &value, Time now)
{
    watching_ = false;
    switch (value.status) {
    case StoreStatus::Ok:
        // A write by this process may have completed after the store sent this result, which is
        // then outdated.
        if (value.version > version_ && !decodeAndAdopt(value.value, value.version, now)) {
            scheduleRetry(&Membership::watchRecord);
            return;
        }
        if (value.version < version_) {
            scheduleRetry(&Membership::watchRecord);
            return;
        }
        storeReachable_ = true;
        break;
    case StoreStatus::Conflict:
        storeReachable_ = true;
        break;
    case StoreStatus::NotFound:
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
        // A pending read or write starts a new watch when it completes; otherwise, read again.
        if (value.status != StoreStatus::NotFound)
            onStoreFailure();
        if (!readOrWritePending_) {
            readOrWritePending_ = true;
            scheduleRetry(&Membership::readRecord);
        }
        return;
    }
    watchRecord(now);
    reconcile();
}

void Membership::onWriteResult(const StoreValue &value, Time now)
{
    if (value.status == StoreStatus::Ok) {
        readOrWritePending_ = false;
        if (value.version > version_)
            adoptRecord(pendingWrite_, value.version, now);
        watchRecord(now);
        reconcile();
        return;
    }
    if (value.status != StoreStatus::Conflict)
        onStoreFailure();
    scheduleRetry(&Membership::readRecord);
}

bool Membership::decodeAndAdopt(const std::string &text, Version version, Time now)
{
    try {
        adoptRecord(decodeDomainRecord(text), version, now);
        return true;
    } catch (const std::runtime_error &error) {
        log(LogLevel::Error, "domain-record-unreadable", error.what());
        return false;
    }
}

void Membership::adoptRecord(DomainRecord record, Version version, Time now)
{
    const EntryRun self = settings_.self;
    const bool changed = version != version_ || !haveRecord_;
    const DomainRecord before = std::exchange(record_, std::move(record));
    version_ = version;
    haveRecord_ = true;
    if (!storeReachable_)
        log(LogLevel::Info, "store-reachable", "the domain record was read from the store");
    storeReachable_ = true;
    if (!changed)
        return;

    const Member *member = record_.findMember(self.entry);
    const bool present = member != nullptr && member->run == self;
    const bool leftByDraining = draining_ && (owned_ & ~releaseSent_) == 0;
    if (!present && registered_ && !leftByDraining) {
        onExpelled(now);
    } else {
        registered_ = registered_ || present;
        const UnitMask owned = record_.unitsOf(self);
        const UnitMask gained = owned & ~owned_;
        const UnitMask lost = owned_ & ~owned;
        owned_ = owned;
        releasing_ &= owned;
        releaseSent_ &= owned;
        if (draining_)
            releasing_ = owned;
        for (int unit = 0; unit < UnitCount; ++unit) {
            if (hasUnit(lost, unit))
                unitReleased.emit(unit, now);
            if (!hasUnit(gained, unit) || !hasUnit(owned_, unit))
                continue;
            const UnitRecord &unitRecord = record_.units[unit];
            log(LogLevel::Info, unitRecord.released ? "unit-gained" : "unit-taken-over",
                "a share unit now belongs to this process",
                {{"unit", std::to_string(unit)}, {"former", unitRecord.lastOwner.str()}});
            unitGained.emit({unit, unitRecord.lastOwner, unitRecord.released}, now);
        }
    }
    // If a member is gone and its units were freed without a release, another process has proven it
    // dead.
    for (const Member &old : before.members) {
        const auto &units = record_.units;
        const bool takenOver = std::any_of(units.begin(), units.end(), [&](const UnitRecord &u) {
            return u.lastOwner == old.run && !u.released;
        });
        const Member *successor = record_.findMember(old.run.entry);
        if (takenOver && old.run != self && (successor == nullptr || successor->run != old.run))
            reportDeath(old.run, now);
    }
    std::vector<EntryRun> listedDead;
    for (const Member &current : record_.members) {
        if (isProvenDead(current))
            listedDead.push_back(current.run);
    }
    for (const EntryRun &run : listedDead)
        reportDeath(run, now);
    recordChanged.emit(now);
}

void Membership::onExpelled(Time now)
{
    if (expelled_)
        return;
    log(LogLevel::Error, "expelled",
        "this process was removed from the domain record of its failure domain; other members "
        "may own its share units");
    expelled_ = true;
    owned_ = 0;
    releasing_ = 0;
    releaseSent_ = 0;
    expelled.emit(now);
}

void Membership::peerUp(const EntryId &entry, Incarnation incarnation, Time now)
{
    linked_[entry] = true;
    Incarnation &newest = newestIncarnations_[entry];
    newest = std::max(newest, incarnation);
    const Member *member = record_.findMember(entry);
    if (member != nullptr && member->run.incarnation < newest && entry != settings_.self.entry) {
        const EntryRun run = member->run;
        declareDead(run, "a member is dead: a newer incarnation of it is connected", now);
    }
}

void Membership::peerLost(const EntryId &entry, LinkLoss loss, Time now)
{
    linked_[entry] = false;
    const Member *member = record_.findMember(entry);
    if (loss != LinkLoss::Refused || member == nullptr || entry == settings_.self.entry)
        return;
    const EntryRun run = member->run;
    if (!refusedOnce_.insert(run).second)
        declareDead(run, "a member is dead: its address refuses connections", now);
}

void Membership::hostListRead(const HostListing &listing, Time now)
{
    if (!listing.ok)
        return;
    // After a long gap between two listings, such as a suspension of this process, it is unknown
    // whether the host was missing all the time: measure its absence anew.
    if (now - lastListingAt_ > settings_.hostGone / 3)
        hostAbsentSince_.clear();
    lastListingAt_ = now;
    std::map<HostId, Time> absentSince;
    std::vector<EntryRun> newlyDead;
    for (const Member &member : record_.members) {
        const bool listed = std::any_of(listing.hosts.begin(), listing.hosts.end(),
                                        [&](const HostInfo &h) { return h.id == member.host; });
        if (listed || linked_[member.run.entry] || member.run == settings_.self)
            continue;
        const auto known = hostAbsentSince_.find(member.host);
        const Time since = known == hostAbsentSince_.end() ? now : known->second;
        absentSince[member.host] = since;
        if (now - since >= settings_.hostGone && !settings_.soleMember)
            newlyDead.push_back(member.run);
    }
    hostAbsentSince_ = std::move(absentSince);
    for (const EntryRun &run : newlyDead)
        declareDead(run, "a member is dead: its host is missing from the host list", now);
}

void Membership::attestDead(const EntryRun &run, Time now)
{
    if (run == settings_.self)
        log(LogLevel::Error, "own-death-attested",
            "an operator attested the death of this process, which is still running; ignored");
    else
        declareDead(run, "a member is dead: an operator has attested it", now);
}

void Membership::declareDead(const EntryRun &run, const char *message, Time now)
{
    if (!provenDead_.insert(run).second)
        return;
    log(LogLevel::Warning, "member-dead", message, {{"run", run.str()}});
    reportDeath(run, now);
    reconcile();
}

void Membership::reportDeath(const EntryRun &run, Time now)
{
    if (reportedDead_.insert(run).second)
        memberDied.emit(run, now);
}

bool Membership::isProvenDead(const Member &member) const
{
    if (member.run == settings_.self)
        return false;
    const auto newest = newestIncarnations_.find(member.run.entry);
    return provenDead_.count(member.run) != 0
           || (newest != newestIncarnations_.end() && member.run.incarnation < newest->second);
}

void Membership::drain(Time /*now*/)
{
    draining_ = true;
    releasing_ = owned_;
    reconcile();
}

bool Membership::drained() const
{
    if (!draining_)
        return false;
    const Member *member = record_.findMember(settings_.self.entry);
    const bool present = member != nullptr && member->run == settings_.self;
    return !storeReachable_ || (haveRecord_ && !readOrWritePending_ && !present && owned_ == 0);
}

void Membership::recheckReleases(Time /*now*/)
{
    reconcile();
}

std::optional<EntryRun> Membership::unitOwner(int unit) const
{
    return record_.units.at(static_cast<std::size_t>(unit)).owner;
}

// Computes the record that should be in the store, and writes it if it differs from the last one
// read. Does nothing while a read, write or retry is pending; its end calls this function again.
void Membership::reconcile()
{
    if (readOrWritePending_ || !haveRecord_ || expelled_)
        return;
    DomainRecord next = record_;
    planRemovals(next);
    if (!planRegistration(next))
        return;
    // The unitIdle hook may call back into this object, which must not start a second write.
    readOrWritePending_ = true;
    planReleases(next);
    planAcquisitions(next);
    const bool leave = draining_ && next.unitsOf(settings_.self) == 0;
    if (leave)
        removeMember(next, settings_.self);
    if (next == record_) {
        readOrWritePending_ = false;
        return;
    }
    pendingWrite_ = std::move(next);
    store_.compareAndSwap(recordKey(), version_, encodeDomainRecord(pendingWrite_),
                          weakCallback(&Membership::onWriteResult));
}

// Adds this process to the members, or updates its state. Returns false if the process cannot be a
// member now, because the record lists another incarnation of it that may be alive.
bool Membership::planRegistration(DomainRecord &next)
{
    const EntryRun &self = settings_.self;
    if (const Member *present = next.findMember(self.entry)) {
        if (present->run == self) {
            for (Member &member : next.members) {
                if (member.run == self && draining_)
                    member.state = MemberState::Draining;
            }
            return true;
        }
        if (self.incarnation < present->run.incarnation) {
            log(LogLevel::Error, "newer-incarnation",
                "the domain record lists a newer incarnation of this entry process; not joining",
                {{"run", present->run.str()}});
            return false;
        }
        // An older incarnation at the same address is dead, since this process listens there now.
        // At another address it may be alive.
        if (present->address != settings_.address) {
            log(LogLevel::Warning, "older-run-elsewhere",
                "the domain record lists an older incarnation of this entry process at another "
                "address; this one does not join until the older one is proven dead",
                {{"run", present->run.str()}, {"address", present->address.str()}});
            return false;
        }
        const EntryRun older = present->run;
        removeMember(next, older);
    }
    if (!draining_)
        next.members.push_back({self, settings_.host, settings_.address, MemberState::Active});
    return true;
}

// Removes the members that are proven dead, which frees their units.
void Membership::planRemovals(DomainRecord &next) const
{
    std::vector<EntryRun> dead;
    for (const Member &member : next.members) {
        if (isProvenDead(member))
            dead.push_back(member.run);
    }
    for (const EntryRun &run : dead)
        removeMember(next, run);
}

// Selects units above the fair share for release if other members lack units that are neither free
// nor being released, and frees those selected units that are idle.
void Membership::planReleases(DomainRecord &next)
{
    const std::map<EntryId, int> shares = fairShares(next);
    const auto ownShare = shares.find(settings_.self.entry);
    int excess = countUnits(usableUnits()) - (ownShare == shares.end() ? 0 : ownShare->second);
    int neededByOthers = -countUnits(releasing_);
    for (const auto &[entry, share] : shares) {
        const Member *member = next.findMember(entry);
        neededByOthers += std::max(0, share - countUnits(next.unitsOf(member->run)));
    }
    for (const UnitRecord &unit : next.units)
        neededByOthers -= unit.owner ? 0 : 1;
    for (int unit = UnitCount - 1; unit >= 0 && excess > 0 && neededByOthers > 0; --unit) {
        if (!hasUnit(usableUnits(), unit))
            continue;
        releasing_ |= 1U << unit;
        --excess;
        --neededByOthers;
    }
    for (int unit = 0; unit < UnitCount; ++unit) {
        if (hasUnit(releasing_, unit) && (!unitIdle || unitIdle(unit))) {
            next.units[unit] = {std::nullopt, settings_.self, true};
            releaseSent_ |= 1U << unit;
        }
    }
}

// Acquires free units up to the fair share, and not up to the quotient rounded up: the units above
// the fair share would have to go back to a member below its own, and would change owners forever.
void Membership::planAcquisitions(DomainRecord &next)
{
    if (draining_)
        return;
    const std::map<EntryId, int> shares = fairShares(next);
    const auto ownShare = shares.find(settings_.self.entry);
    int missing = (ownShare == shares.end() ? 0 : ownShare->second)
                  - countUnits(next.unitsOf(settings_.self));
    for (int unit = 0; unit < UnitCount && missing > 0; ++unit) {
        if (next.units[unit].owner || hasUnit(releasing_, unit))
            continue;
        next.units[unit].owner = settings_.self;
        --missing;
    }
}

} // namespace monsoonledge
