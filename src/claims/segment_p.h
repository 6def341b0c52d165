// One segment of a claim log as it is stored, and what it says about the units of its run.
#pragma once

#include "base/base.h"
#include "membership/membership.h"

#include <string>
#include <vector>

namespace monsoonledge {

/// Where a run got the knowledge about one of its units from. Claims of former owners are not
/// copied into the log of the new owner; a reader follows `from`. A unit without a note in the log
/// of its owner was never completely recovered there, and neither was one whose last note is marked
/// as left although its owner died with it.
struct UnitNote
{
    int unit = 0;
    EntryRun from; // empty entry: nothing before this run has to be read
    bool known = true; // false: claims of former owners may be missing
    bool left = false; // the run gave the unit up again

    friend bool operator==(const UnitNote &a, const UnitNote &b)
    {
        return a.unit == b.unit && a.from == b.from && a.known == b.known && a.left == b.left;
    }
};

struct Segment
{
    EntryRun run; // whose log this is
    bool full = false; // the run goes on with the next number
    bool closed = false; // by a new owner of a unit; the run must not write any more
    std::string closedBy;
    std::vector<RequestId> claims;
    std::vector<UnitNote> units; // all current notes of the run
};

std::string encodeSegment(const Segment &segment);
/// Throws std::runtime_error if the text is not a segment.
Segment decodeSegment(const std::string &text);

/// Prefix of the keys of all segments of a run; the number follows.
std::string logPrefix(const DomainId &domain, const EntryRun &run);
std::string segmentKey(const DomainId &domain, const EntryRun &run, std::uint64_t number);
/// The number at the end of a segment key, or -1 if there is none.
std::int64_t segmentNumber(const std::string &key);

} // namespace monsoonledge
