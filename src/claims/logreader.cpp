#include "claims/logreader_p.h"

#include <algorithm>
#include <stdexcept>

namespace monsoonledge {

namespace {

constexpr Duration RetryDelay = milliseconds(200);

} // namespace

LogReader::LogReader(const ClaimSettings &settings, StorePort &store, TimerPort &timers,
                     LogHook log)
    : settings_(settings), store_(store), timers_(timers), log_(std::move(log))
{ }

void LogReader::read(const EntryRun &run, bool close, UnitMask units, Done done)
{
    done_ = std::move(done);
    result_ = Result();
    visited_ = {{run, units}};
    runsToRead_ = {{run, units}};
    mustClose_ = close;
    readingFirstRun_ = true;
    listSegments(Time());
}

void LogReader::startNextRun(Time now)
{
    runsToRead_.pop_front();
    readingFirstRun_ = false;
    mustClose_ = false;
    if (!runsToRead_.empty()) {
        listSegments(now);
        return;
    }
    const Done done = std::exchange(done_, nullptr);
    done(result_, now);
}

void LogReader::retry()
{
    timers_.after(RetryDelay, [this, guard = std::weak_ptr<bool>(alive_)](Time now) {
        if (!guard.expired())
            listSegments(now);
    });
}

// Starts reading the log of the current run, or starts again after a failed call or a change of the
// log.
void LogReader::listSegments(Time /*now*/)
{
    store_.list(logPrefix(settings_.domain, runsToRead_.front().first),
                [this, guard = std::weak_ptr<bool>(alive_)](const StoreListing &listing, Time now) {
                    if (!guard.expired())
                        onListed(listing, now);
                });
}

void LogReader::onListed(const StoreListing &listing, Time now)
{
    if (listing.status != StoreStatus::Ok) {
        retry();
        return;
    }
    unreadKeys_.clear();
    ownerships_.clear();
    atLastSegment_ = true;
    for (const auto &[key, version] : listing.keys) {
        if (segmentNumber(key) >= 0)
            unreadKeys_.push_back(key);
    }
    if (!unreadKeys_.empty()) {
        readSegment(now);
    } else if (mustClose_) {
        Segment empty;
        empty.run = runsToRead_.front().first;
        closeLog(segmentKey(settings_.domain, empty.run, 0), Version(), empty);
    } else {
        finishRun(now);
    }
}

void LogReader::closeLog(const std::string &key, Version version, const Segment &last)
{
    Segment closed = last;
    closed.closed = true;
    closed.closedBy = settings_.self.str();
    store_.compareAndSwap(
            key, version, encodeSegment(closed),
            [this, guard = std::weak_ptr<bool>(alive_)](const StoreValue &value, Time now) {
                if (guard.expired())
                    return;
                // After any result the log is listed again and its last segment is checked.
                if (value.status == StoreStatus::Ok || value.status == StoreStatus::Conflict)
                    listSegments(now);
                else
                    retry();
            });
}

// Segments are read from the last to the first, because the last one holds the current ownership
// records of the run, and shows whether the log is closed.
void LogReader::readSegment(Time /*now*/)
{
    store_.get(unreadKeys_.back(),
               [this, guard = std::weak_ptr<bool>(alive_)](const StoreValue &value, Time now) {
                   if (!guard.expired())
                       onSegment(value, now);
               });
}

void LogReader::onSegment(const StoreValue &value, Time now)
{
    const auto &[run, units] = runsToRead_.front();
    if ((value.status == StoreStatus::NotFound && atLastSegment_)
        || value.status == StoreStatus::Refused || value.status == StoreStatus::Unknown) {
        retry();
        return;
    }
    const std::string key = unreadKeys_.back();
    // A segment that is not found was removed by its owner after the retention period.
    if (value.status == StoreStatus::Ok) {
        Segment segment;
        try {
            segment = decodeSegment(value.value);
        } catch (const std::runtime_error &error) {
            if (log_)
                log_({LogLevel::Error, "claim-log-unreadable", error.what(), {{"key", key}}});
            result_.incomplete |= units;
            segment.run = run;
            segment.closed = !atLastSegment_ || !mustClose_;
        }
        if (atLastSegment_ && mustClose_ && !segment.closed) {
            if (segment.full) {
                Segment following;
                following.run = run;
                following.units = segment.units;
                const auto number = static_cast<std::uint64_t>(segmentNumber(key)) + 1;
                closeLog(segmentKey(settings_.domain, run, number), Version(), following);
            } else {
                closeLog(key, value.version, segment);
            }
            return;
        }
        if (atLastSegment_)
            ownerships_ = segment.units;
        for (const RequestId &id : segment.claims) {
            if (((units >> homeUnit(id)) & 1U) != 0)
                result_.claims.push_back(id);
        }
    }
    atLastSegment_ = false;
    unreadKeys_.pop_back();
    if (unreadKeys_.empty())
        finishRun(now);
    else
        readSegment(now);
}

void LogReader::queueRun(const EntryRun &run, UnitMask units)
{
    // A log is read once for all units whose ownership records name its run.
    const auto waiting = std::find_if(std::next(runsToRead_.begin()), runsToRead_.end(),
                                      [&run](const auto &item) { return item.first == run; });
    if (waiting != runsToRead_.end())
        waiting->second |= units;
    else
        runsToRead_.emplace_back(run, units);
}

void LogReader::finishRun(Time now)
{
    const UnitMask units = runsToRead_.front().second;
    for (int unit = 0; unit < UnitCount; ++unit) {
        const UnitMask bit = 1U << unit;
        if ((units & bit) == 0)
            continue;
        const UnitOwnership *latest = nullptr;
        for (const UnitOwnership &ownership : ownerships_) {
            if (ownership.unit != unit)
                continue;
            latest = &ownership;
            if (!ownership.known)
                result_.incomplete |= bit;
            if (ownership.from.entry.isEmpty() || ownership.from == settings_.self
                || (visited_[ownership.from] & bit) != 0)
                continue;
            visited_[ownership.from] |= bit;
            queueRun(ownership.from, bit);
        }
        // Without a record, or with a last one that is marked as left, a dead owner may have gained
        // the unit (again) without having read the logs of the owners before it.
        if (latest == nullptr || (readingFirstRun_ && mustClose_ && latest->left))
            result_.incomplete |= bit;
    }
    startNextRun(now);
}

} // namespace monsoonledge
