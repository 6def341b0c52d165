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
    work_ = {{run, units}};
    mustClose_ = close;
    first_ = true;
    list(Time());
}

void LogReader::next(Time now)
{
    work_.pop_front();
    first_ = false;
    mustClose_ = false;
    if (!work_.empty()) {
        list(now);
        return;
    }
    const Done done = std::exchange(done_, nullptr);
    done(result_, now);
}

void LogReader::retry()
{
    timers_.after(RetryDelay, [this, guard = std::weak_ptr<bool>(alive_)](Time now) {
        if (!guard.expired())
            list(now);
    });
}

// Begins the present run, or begins it again when its log changed in between.
void LogReader::list(Time /*now*/)
{
    store_.list(logPrefix(settings_.domain, work_.front().first),
                [this, guard = std::weak_ptr<bool>(alive_)](const StoreListing &l, Time now) {
                    if (!guard.expired())
                        onListed(l, now);
                });
}

void LogReader::onListed(const StoreListing &listing, Time now)
{
    if (listing.status != StoreStatus::Ok) {
        retry();
        return;
    }
    keys_.clear();
    notes_.clear();
    last_ = true;
    for (const auto &[key, version] : listing.keys) {
        if (segmentNumber(key) >= 0)
            keys_.push_back(key);
    }
    if (!keys_.empty()) {
        readSegment(now);
    } else if (mustClose_) {
        Segment empty;
        empty.run = work_.front().first;
        close(segmentKey(settings_.domain, empty.run, 0), Version(), empty);
    } else {
        finishRun(now);
    }
}

void LogReader::close(const std::string &key, Version version, const Segment &last)
{
    Segment closed = last;
    closed.closed = true;
    closed.closedBy = settings_.self.str();
    store_.compareAndSwap(
            key, version, encodeSegment(closed),
            [this, guard = std::weak_ptr<bool>(alive_)](const StoreValue &value, Time now) {
                if (guard.expired())
                    return;
                // Whatever the answer, the log is listed and its last segment checked again.
                if (value.status == StoreStatus::Ok || value.status == StoreStatus::Conflict)
                    list(now);
                else
                    retry();
            });
}

// Segments are read from the last to the first, because the last one holds the notes.
void LogReader::readSegment(Time /*now*/)
{
    store_.get(keys_.back(),
               [this, guard = std::weak_ptr<bool>(alive_)](const StoreValue &value, Time now) {
                   if (!guard.expired())
                       onSegment(value, now);
               });
}

void LogReader::onSegment(const StoreValue &value, Time now)
{
    const auto &[run, units] = work_.front();
    if ((value.status == StoreStatus::NotFound && last_) || value.status == StoreStatus::Refused
        || value.status == StoreStatus::Unknown) {
        retry();
        return;
    }
    const std::string key = keys_.back();
    if (value.status == StoreStatus::Ok) { // else removed after its retention period
        Segment segment;
        try {
            segment = decodeSegment(value.value);
        } catch (const std::runtime_error &error) {
            if (log_)
                log_({LogLevel::Error, "claim-log-unreadable", error.what(), {{"key", key}}});
            result_.incomplete |= units;
            segment.run = run;
            segment.closed = !last_ || !mustClose_;
        }
        if (last_ && mustClose_ && !segment.closed) {
            if (segment.full) {
                Segment following;
                following.run = run;
                following.units = segment.units;
                const auto number = static_cast<std::uint64_t>(segmentNumber(key)) + 1;
                close(segmentKey(settings_.domain, run, number), Version(), following);
            } else {
                close(key, value.version, segment);
            }
            return;
        }
        if (last_)
            notes_ = segment.units;
        for (const RequestId &id : segment.claims) {
            if (((units >> homeUnit(id)) & 1U) != 0)
                result_.claims.push_back(id);
        }
    }
    last_ = false;
    keys_.pop_back();
    if (keys_.empty())
        finishRun(now);
    else
        readSegment(now);
}

void LogReader::addWork(const EntryRun &run, UnitMask units)
{
    // One reading of a log serves all units whose notes name its run.
    const auto waiting = std::find_if(std::next(work_.begin()), work_.end(),
                                      [&run](const auto &item) { return item.first == run; });
    if (waiting != work_.end())
        waiting->second |= units;
    else
        work_.emplace_back(run, units);
}

void LogReader::finishRun(Time now)
{
    const UnitMask units = work_.front().second;
    for (int unit = 0; unit < UnitCount; ++unit) {
        const UnitMask bit = 1U << unit;
        if ((units & bit) == 0)
            continue;
        const UnitNote *latest = nullptr;
        for (const UnitNote &note : notes_) {
            if (note.unit != unit)
                continue;
            latest = &note;
            if (!note.known)
                result_.incomplete |= bit;
            if (note.from.entry.isEmpty() || note.from == settings_.self
                || (visited_[note.from] & bit) != 0)
                continue;
            visited_[note.from] |= bit;
            addWork(note.from, bit);
        }
        // A dead owner may have gained the unit and not read the logs of the owners before it.
        if (latest == nullptr || (first_ && mustClose_ && latest->left))
            result_.incomplete |= bit;
    }
    next(now);
}

} // namespace monsoonledge
