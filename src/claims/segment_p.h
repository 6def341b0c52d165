// The stored form of a claim log segment: claims, and ownership records of the units of its run.
#pragma once

#include "base/base.h"
#include "membership/membership.h"

#include <string>
#include <vector>

namespace monsoonledge {

/// Records that a run has recovered one of its units, and from which former owner. Claims of former
/// owners are not copied into the log of the new owner; a reader follows `from` to their logs. If
/// the log of a unit's owner has no record of the unit, the owner did not complete its recovery.
/// The same is true if the owner died while it owned the unit and its last record is marked as
/// left.
struct UnitOwnership
{
    int unit = 0;
    EntryRun from; // former owner; empty entry: no log of a former owner has to be read
    bool known = true; // false: claims of former owners may be missing
    bool left = false; // the run has released the unit, or was releasing it

    friend bool operator==(const UnitOwnership &a, const UnitOwnership &b)
    {
        return a.unit == b.unit && a.from == b.from && a.known == b.known && a.left == b.left;
    }
};

struct Segment
{
    EntryRun run; // the run that writes this log
    bool full = false; // the log continues in the segment with the next number
    bool closed = false; // a new owner of a unit closed the log; the run must not write any more
    std::string closedBy; // the run that closed the log, as "entry/incarnation"
    std::vector<RequestId> claims;
    std::vector<UnitOwnership> units; // all current ownership records of the run
};

std::string encodeSegment(const Segment &segment);
/// Throws std::runtime_error if the text is not a segment.
Segment decodeSegment(const std::string &text);

/// The common prefix of the keys of all segments of a run; the segment number follows it.
std::string logPrefix(const DomainId &domain, const EntryRun &run);
std::string segmentKey(const DomainId &domain, const EntryRun &run, std::uint64_t number);
/// The segment number at the end of a key, or -1 if the key does not end in one.
std::int64_t segmentNumber(const std::string &key);

} // namespace monsoonledge
