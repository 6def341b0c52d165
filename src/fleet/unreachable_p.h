// The coordinator's record of unreachable workers: until when leases that any coordinator has
// granted to them may last. A successor that does not reach such a worker either waits until then,
// and not for the longest lease from its own election on. Private to src/fleet.
//
// A coordinator grants no lease to a worker that the stored record may list: it writes the record
// without the worker first. So a listed time holds however often the coordinator changes.
//
// The times in a record are on the steady clock of the process that wrote it. Every process notes
// when it receives a version of the record. That is later than the version was written, so it gives
// an upper bound of the listed times on the clock of the receiver.
#pragma once

#include "fleet/fleet.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace monsoonledge {

struct UnreachableWorker
{
    WorkerIncarnation incarnation; // whose leases are meant
    Address address; // where it was last registered; without an IP address: not known
    Time leaseExpiry{}; // all leases granted to it have expired by then
};

/// The record as it is stored. Times are on the steady clock of the writer.
struct UnreachableWorkers
{
    FencingToken writer; // of the coordinator that wrote it
    Time writtenAt{};
    std::map<WorkerId, UnreachableWorker> workers;
};

std::string encodeUnreachableWorkers(const UnreachableWorkers &record);
/// Returns nothing if the bytes are malformed.
std::optional<UnreachableWorkers> decodeUnreachableWorkers(const std::string &bytes);

/// The latest version of the record that this process has received.
class UnreachableView
{
public:
    /// `receivedAt`: when the answer with the item arrived, or later. Older versions are ignored.
    /// Returns false if the value is malformed; it then counts as a record without workers.
    bool receive(const KeyValue &item, Time receivedAt);
    /// Revision of the latest version; 0: none was received.
    StoreRevision revision() const { return revision_; }
    /// The listed workers, with times on the clock of this process.
    std::map<WorkerId, UnreachableWorker> workers() const;

private:
    StoreRevision revision_;
    UnreachableWorkers record_;
    Duration clockOffset_{}; // upper bound of the difference of this clock and the writer's
};

/// Writes the record for one coordinator, one transaction at a time.
class UnreachableWriter
{
public:
    /// Sends a transaction that requires the coordinator record.
    using Commit = std::function<void(const Transaction &, KeyValueCallback done, Time sentAt)>;

    UnreachableWriter(FencingToken writer, Commit commit);

    /// Call it once, before the coordinator grants leases.
    void start(const UnreachableView &stored);
    /// True if the stored record may list the worker, which may then get no lease.
    bool mayList(const WorkerId &id) const
    {
        return mayBeListed_.count(id) > 0 || (isWriting_ && written_.workers.count(id) > 0);
    }
    /// Replaces the workers that are to be listed, with times on the clock of this process, and
    /// writes the record if that is due. `isUrgent`: a worker that may be listed waits for a lease.
    void update(std::map<WorkerId, UnreachableWorker> unreachable, bool isUrgent, Time now);

private:
    bool isComplete(const std::map<WorkerId, UnreachableWorker> &unreachable) const;
    void write(std::map<WorkerId, UnreachableWorker> unreachable, Time now);
    void onAnswer(const KeyValueResult &result, Time now);
    void onStored(StoreRevision revision);

    FencingToken writer_;
    Commit commit_;
    StoreRevision revision_; // of the stored record, which each write requires
    std::map<WorkerId, UnreachableWorker> stored_; // as the last confirmed version lists them
    std::set<WorkerId> mayBeListed_; // also by versions whose writes were not answered
    UnreachableWorkers written_; // by the last write
    bool isWriting_ = false; // the last write is not answered yet
    std::optional<Time> incompleteSince_; // a worker is to be listed and is not
    Time notBefore_{}; // of the next write
};

} // namespace monsoonledge
