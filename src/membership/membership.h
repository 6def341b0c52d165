// The domain record: which entry processes serve a failure domain, and which of them owns each of
// the domain's share units.
//
// A share unit stands for a sixteenth of the slots of every endpoint in the domain and of the
// request ids homed there. A unit has at most one owner. Ownership changes only when the owner
// releases the unit or is proven dead. It never expires with time (see docs/design.md, section 5).
//
// Sections:
//   [1] Record
//   [2] Settings and events
//   [3] Membership
#pragma once

#include "base/base.h"
#include "ports/ports.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonledge {

// [1] Record

constexpr int UnitCount = 16;

/// A set of share units; bit u stands for unit u.
using UnitMask = std::uint32_t;

/// The unit that slot `slot` of an endpoint with `slots` slots belongs to. If the slots cannot be
/// divided evenly among the units, the endpoint's rotation selects the units that get one slot
/// more, or none, so that over many endpoints every unit has about the same number of slots.
int unitOfSlot(int slot, int slots, int rotation);
/// The rotation of the endpoint on this host, from 0 to UnitCount - 1. It is a hash of the host id,
/// so that all processes compute the same one.
int slotRotation(const HostId &host);
/// The number of slots of an endpoint that belong to the given units.
int slotCountOfUnits(UnitMask units, int slots, int rotation);
/// The unit that is the home of a request id within its failure domain.
int homeUnit(const RequestId &id);
/// The failure domain that is the home of a request id. An id of the form "<domain>~rest" names its
/// home if that domain is configured; otherwise a rendezvous hash selects one of the configured
/// domains.
DomainId homeDomain(const RequestId &id, const std::vector<DomainId> &configured);

enum class MemberState { Active, Draining };

struct Member
{
    EntryRun run;
    HostId host;
    Address address; // where it accepts links from other entry processes
    MemberState state = MemberState::Active;

    friend bool operator==(const Member &a, const Member &b)
    {
        return a.run == b.run && a.host == b.host && a.address == b.address && a.state == b.state;
    }
};

struct UnitRecord
{
    std::optional<EntryRun> owner; // none: the unit is free
    EntryRun lastOwner; // the previous owner; empty entry: never owned
    bool released = true; // by lastOwner; false: lastOwner was removed from the record as dead

    friend bool operator==(const UnitRecord &a, const UnitRecord &b)
    {
        return a.owner == b.owner && a.lastOwner == b.lastOwner && a.released == b.released;
    }
};

struct DomainRecord
{
    std::vector<Member> members;
    std::array<UnitRecord, UnitCount> units;

    const Member *findMember(const EntryId &entry) const;
    /// The units that this incarnation owns.
    UnitMask unitsOf(const EntryRun &run) const;

    friend bool operator==(const DomainRecord &a, const DomainRecord &b)
    {
        return a.members == b.members && a.units == b.units;
    }
};

/// The number of units that each active member should own: 16 divided by the number of active
/// members. Some get one unit more so that the sum is 16: those with the smallest entry ids.
std::map<EntryId, int> fairShares(const DomainRecord &record);

std::string encodeDomainRecord(const DomainRecord &record);
/// Throws std::runtime_error if the text is not a domain record.
DomainRecord decodeDomainRecord(const std::string &text);

// [2] Settings and events

struct MembershipSettings
{
    DomainId domain;
    EntryRun self;
    HostId host;
    Address address; // where this process accepts links from other entry processes
    bool soleMember = false; // no other entry process of this domain is configured
    Duration hostGone = seconds(30); // absence from the host list that proves a member dead
    Duration retryDelay = milliseconds(200); // after a conflict or a failed store call
};

/// A unit that this process now owns.
struct GainedUnit
{
    int unit = 0;
    EntryRun lastOwner; // empty entry: the unit was never owned
    bool released = true; // false: taken over from a dead member
};

// [3] Membership

class Membership
{
public:
    Membership(MembershipSettings settings, StorePort &store, TimerPort &timers, LogHook log);

    /// Adds this process to the domain record and watches the record from then on.
    void start(Time now);

    /// Adds this process to the record again, with a newer incarnation, after `expelled`. It owns
    /// no units then; those of the former incarnation were dropped when it was expelled. Throws
    /// std::logic_error if it was not expelled or the incarnation is not newer.
    void rejoin(Incarnation incarnation, Time now);

    /// Link events. They prove a member dead in two cases: a newer incarnation of it is connected,
    /// or its address refuses connections. The caller must therefore connect to the addresses in
    /// the record.
    ///
    /// A refused connection counts from the second report on. The first attempt may have begun
    /// before the member opened its listener: a process that was suspended can receive such a
    /// report only after it has read a record that already lists the member.
    void peerUp(const EntryId &entry, Incarnation incarnation, Time now);
    void peerLost(const EntryId &entry, LinkLoss loss, Time now);
    /// Result of reading the host list. A member without a link whose host has been missing from
    /// the list for `hostGone` is proven dead, unless `soleMember` is set. The absence is measured
    /// anew after two listings that are more than a third of `hostGone` apart.
    void hostListRead(const HostListing &listing, Time now);
    /// An operator attests that this incarnation of a member has ended. Ignored if it is this one.
    void attestDead(const EntryRun &run, Time now);
    /// Starts to release all units of this process, which acquires none from then on and leaves the
    /// record once it owns no unit.
    void drain(Time now);
    /// To be called when `unitIdle` may have changed its result.
    void recheckReleases(Time now);

    /// Hook: whether no work uses the unit any more, so that it can be released. It is called only
    /// for units that are no longer in usableUnits(). Without it every unit counts as idle.
    std::function<bool(int unit)> unitIdle;

    /// Units that this process owns and is not releasing.
    UnitMask usableUnits() const { return owned_ & ~releasing_; }
    /// Units that this process owns, including those that it is releasing.
    UnitMask ownedUnits() const { return owned_; }
    /// The owner of a unit according to the last record read, or none.
    std::optional<EntryRun> unitOwner(int unit) const;
    const DomainRecord &record() const { return record_; }
    bool storeReachable() const { return storeReachable_; }
    /// True when drain() has been called and either the record no longer lists this process and its
    /// units, or the store cannot be reached.
    bool drained() const;

    sigc::signal<void(const GainedUnit &, Time)> unitGained;
    sigc::signal<void(int unit, Time)> unitReleased;
    /// A member was proven dead. Emitted once per incarnation.
    sigc::signal<void(const EntryRun &, Time)> memberDied;
    sigc::signal<void(Time)> recordChanged;
    /// This process was removed from the record although it did not leave; other members may own
    /// its units. It must stop sending requests to endpoints until it has called rejoin().
    sigc::signal<void(Time)> expelled;

private:
    std::string recordKey() const;
    /// A callback that calls the member function, or does nothing once this object is destroyed.
    StoreDone weakCallback(void (Membership::*handler)(const StoreValue &, Time));
    /// Calls the member function after the retry delay.
    void scheduleRetry(void (Membership::*action)(Time));
    void readRecord(Time now);
    void onReadResult(const StoreValue &value, Time now);
    void watchRecord(Time now);
    void onWatchResult(const StoreValue &value, Time now);
    void onWriteResult(const StoreValue &value, Time now);
    void onStoreFailure();
    bool decodeAndAdopt(const std::string &text, Version version, Time now);
    void adoptRecord(DomainRecord record, Version version, Time now);
    void onExpelled(Time now);

    void reconcile();
    bool planRegistration(DomainRecord &next);
    void planRemovals(DomainRecord &next) const;
    void planReleases(DomainRecord &next);
    void planAcquisitions(DomainRecord &next);
    bool isProvenDead(const Member &member) const;
    void declareDead(const EntryRun &run, const char *message, Time now);
    void reportDeath(const EntryRun &run, Time now);
    void log(LogLevel level, const char *event, const std::string &message,
             std::vector<std::pair<std::string, std::string>> fields = {}) const;

    MembershipSettings settings_;
    StorePort &store_;
    TimerPort &timers_;
    LogHook log_;
    DomainRecord record_;
    DomainRecord pendingWrite_; // content of the write that is in flight
    Version version_;
    Version versionAtRead_; // version_ when the last read was sent
    bool haveRecord_ = false;
    bool storeReachable_ = false;
    bool draining_ = false;
    bool registered_ = false; // the record has listed this process since start() or rejoin()
    bool expelled_ = false;
    bool readOrWritePending_ = false; // a read or write is in flight, or a retry is scheduled
    bool watching_ = false;
    UnitMask owned_ = 0;
    UnitMask releasing_ = 0;
    UnitMask releaseSent_ = 0; // those in releasing_ whose release was sent, perhaps in vain
    std::set<EntryRun> provenDead_;
    std::set<EntryRun> reportedDead_;
    std::set<EntryRun> refusedOnce_;
    std::map<EntryId, Incarnation> newestIncarnations_;
    std::map<HostId, Time> hostAbsentSince_;
    Time lastListingAt_{};
    std::map<EntryId, bool> linked_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
