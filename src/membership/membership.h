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
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonledge {

// [1] Record

constexpr int UnitCount = 16;

/// A set of share units; bit u stands for unit u.
using UnitMask = std::uint32_t;

/// The unit that owns slot `slot` of an endpoint with `slots` slots.
int unitOfSlot(int slot, int slots);
/// How many of an endpoint's slots belong to the units of the mask.
int slotsOfUnits(UnitMask units, int slots);
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
};

struct UnitRecord
{
    std::optional<EntryRun> owner; // none: free
    EntryRun lastOwner; // the owner before; empty entry: never owned
    bool released = true; // lastOwner released it; false: it was taken over
};

struct DomainRecord
{
    std::vector<Member> members;
    std::array<UnitRecord, UnitCount> units;

    const Member *findMember(const EntryId &entry) const;
    UnitMask unitsOf(const EntryRun &run) const;
};

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

    /// Inputs. A peer that refuses connections is dead if it is a member at that address; a peer
    /// that is up with a newer incarnation proves the older one dead.
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
    UnitMask usableUnits() const;
    /// Units owned, including those being released.
    UnitMask ownedUnits() const;
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
    /// The record no longer lists this run although it did not leave: it was declared dead.
    sigc::signal<void(Time)> expelled;

private:
    struct Private;

    MembershipSettings settings_;
    StorePort &store_;
    TimerPort &timers_;
    LogHook log_;
    DomainRecord record_;
    Version version_;
    bool storeReachable_ = false;
    bool draining_ = false;
    bool registered_ = false;
    bool writing_ = false;
    UnitMask releasing_ = 0;
    std::set<EntryRun> dead_;
    std::set<EntryRun> deadReported_;
    std::map<HostId, Time> goneSince_;
    std::map<EntryId, bool> linked_;
};

} // namespace monsoonledge
