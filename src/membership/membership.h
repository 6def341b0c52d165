// The domain record: which entry processes serve a failure domain, and which of them owns each of
// the domain's share units.
//
// A share unit stands for a sixteenth of the slots of every endpoint in the domain and of the
// request ids homed there. A unit has at most one owner. It changes owner by release or by takeover
// from a member that is proven dead, never because time has passed (see docs/design.md, section 5).
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

/// The unit that owns slot `slot` of an endpoint with `slots` slots. An endpoint has fewer slots
/// than there are units, or more; its rotation decides which units have none, or one more, so that
/// over many endpoints every unit has about the same number.
int unitOfSlot(int slot, int slots, int rotation);
/// The rotation of an endpoint, from 0 to UnitCount - 1; the same in every process.
int slotRotation(const HostId &host);
/// How many of an endpoint's slots belong to the units of the mask.
int slotsOfUnits(UnitMask units, int slots, int rotation);
/// The unit that is the home of a request id within its failure domain.
int unitOfRequest(const RequestId &id);
/// The failure domain that is the home of a request id: the one that the id names in the form
/// "<domain>~rest", or else by rendezvous hash over the configured domains.
DomainId homeDomain(const RequestId &id, const std::vector<DomainId> &configured);

enum class MemberState { Active, Draining };

struct Member
{
    EntryRun run;
    HostId host;
    Address address; // peer interface
    MemberState state = MemberState::Active;

    friend bool operator==(const Member &a, const Member &b)
    {
        return a.run == b.run && a.host == b.host && a.address == b.address && a.state == b.state;
    }
};

struct UnitRecord
{
    std::optional<EntryRun> owner; // none: free
    EntryRun lastOwner; // the owner before; empty entry: never owned
    bool released = true; // lastOwner released it; false: it was taken over

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
    UnitMask unitsOf(const EntryRun &run) const;

    friend bool operator==(const DomainRecord &a, const DomainRecord &b)
    {
        return a.members == b.members && a.units == b.units;
    }
};

/// How many units each active member should own: 16 divided by their number, rounded so that the
/// sum is 16; members with smaller entry ids get the remainder.
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
    Address address; // own peer interface
    bool soleMember = false; // no other entry process of this domain is configured
    Duration hostGone = seconds(30);
    Duration retryDelay = milliseconds(200); // after a conflict or a failed store call
};

/// A unit that this process has come to own.
struct GainedUnit
{
    int unit = 0;
    EntryRun formerOwner; // empty entry: the unit was never owned
    bool released = true; // false: taken over from a dead member
};

// [3] Membership

class Membership
{
public:
    Membership(MembershipSettings settings, StorePort &store, TimerPort &timers, LogHook log);

    /// Registers this process in the record and keeps the record watched from now on.
    void start(Time now);

    /// Registers a new run after `expelled`. All state of the former run is dropped.
    void restart(Incarnation incarnation, Time now);

    /// Inputs. A peer that refuses connections is dead if it is a member at that address; a peer
    /// that is up with a newer incarnation proves the older one dead. The caller keeps its links at
    /// the addresses of the record. A member counts as refusing after two reports, because the
    /// attempt behind the first one may have begun before the member opened its listener: a process
    /// that was suspended can find such a report queued behind a newer record.
    void peerUp(const EntryId &entry, Incarnation incarnation, Time now);
    void peerLost(const EntryId &entry, LinkLoss loss, Time now);
    void hostsRead(const HostListing &listing, Time now);
    /// An operator attests that this run of a member has ended.
    void attestDead(const EntryRun &run, Time now);
    /// Starts the release of all own units; the process takes none from now on.
    void drain(Time now);
    /// Tells that `unitIdle` may have changed its answer.
    void recheckReleases(Time now);

    /// Hook: whether nothing uses the unit any more, so that it may be set free. The unit is no
    /// longer in usableUnits() when this is asked.
    std::function<bool(int unit)> unitIdle;

    /// Units owned and not being released.
    UnitMask usableUnits() const { return owned_ & ~releasing_; }
    /// Units owned, including those being released.
    UnitMask ownedUnits() const { return owned_; }
    /// The owner of a unit according to the last record read, or none.
    std::optional<EntryRun> unitOwner(int unit) const;
    const DomainRecord &record() const { return record_; }
    bool storeReachable() const { return storeReachable_; }
    /// True when drain() has been called and all units and the own member entry are gone from the
    /// record, or the store cannot be reached.
    bool drained() const;

    sigc::signal<void(const GainedUnit &, Time)> unitGained;
    sigc::signal<void(int unit, Time)> unitReleased;
    /// A member was proven dead. Emitted once per run.
    sigc::signal<void(const EntryRun &, Time)> memberDied;
    sigc::signal<void(Time)> recordChanged;
    /// The own run was removed from the record although it did not leave: other members own its
    /// units. The process must stop dispatching to endpoints. It takes part again after restart().
    sigc::signal<void(Time)> expelled;

private:
    std::string key() const;
    /// Wraps a member function as a callback that does nothing after the object's destruction.
    StoreDone guarded(void (Membership::*handler)(const StoreValue &, Time));
    void later(void (Membership::*action)(Time));
    void read(Time now);
    void onRead(const StoreValue &value, Time now);
    void watch(Time now);
    void onWatched(const StoreValue &value, Time now);
    void onWritten(const StoreValue &value, Time now);
    void onFailure();
    bool adoptText(const std::string &text, Version version, Time now);
    void adopt(DomainRecord record, Version version, Time now);
    void expel(Time now);

    void evaluate();
    bool planSelf(DomainRecord &next);
    void planDead(DomainRecord &next) const;
    void planReleases(DomainRecord &next);
    void planShare(DomainRecord &next);
    bool isDead(const Member &member) const;
    void declareDead(const EntryRun &run, const char *proof, Time now);
    void reportDeath(const EntryRun &run, Time now);
    void log(LogLevel level, const char *event, const std::string &message,
             std::vector<std::pair<std::string, std::string>> fields = {}) const;

    MembershipSettings settings_;
    StorePort &store_;
    TimerPort &timers_;
    LogHook log_;
    DomainRecord record_;
    DomainRecord written_; // content of the write that is in flight
    Version version_;
    Version versionAtRead_; // version_ when the last read was issued
    bool haveRecord_ = false;
    bool storeReachable_ = false;
    bool draining_ = false;
    bool registered_ = false; // the own run was seen in the record
    bool expelled_ = false;
    bool busy_ = false; // a read or write is in flight, or a retry is scheduled
    bool watching_ = false;
    UnitMask owned_ = 0;
    UnitMask releasing_ = 0;
    UnitMask releaseWritten_ = 0; // units of releasing_ that a write has set free, perhaps lost
    std::set<EntryRun> dead_;
    std::set<EntryRun> deadReported_;
    std::set<EntryRun> refusedOnce_;
    std::map<EntryId, Incarnation> newestSeen_;
    std::map<HostId, Time> goneSince_;
    Time lastListing_{};
    std::map<EntryId, bool> linked_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
