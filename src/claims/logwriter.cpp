#include "claims/logwriter_p.h"

#include <algorithm>
#include <stdexcept>
#include <unordered_set>

namespace monsoonledge {

namespace {

constexpr Duration RetryDelay = milliseconds(100); // after a failed store call
constexpr Duration ProbeInterval = milliseconds(500); // between store calls while the store is down

} // namespace

LogWriter::LogWriter(const ClaimSettings &settings, StorePort &store, TimerPort &timers)
    : settings_(settings), store_(store), timers_(timers)
{
    currentSegment_.run = settings.self;
}

StoreDone LogWriter::guarded(void (LogWriter::*handler)(const StoreValue &, Time))
{
    return [this, handler, guard = std::weak_ptr<bool>(alive_)](const StoreValue &value, Time now) {
        if (!guard.expired())
            (this->*handler)(value, now);
    };
}

void LogWriter::callAfter(Duration delay, void (LogWriter::*step)(Time))
{
    timers_.after(delay, [this, step, guard = std::weak_ptr<bool>(alive_)](Time now) {
        if (!guard.expired())
            (this->*step)(now);
    });
}

std::uint64_t LogWriter::add(PendingClaim claim, Time now)
{
    ++pendingPerUnit_[claim.unit];
    pending_.emplace(++lastNumber_, std::move(claim));
    scheduleWrite(now);
    return lastNumber_;
}

void LogWriter::erase(std::map<std::uint64_t, PendingClaim>::iterator at)
{
    --pendingPerUnit_[at->second.unit];
    pending_.erase(at);
}

void LogWriter::drop(std::uint64_t number)
{
    const auto found = pending_.find(number);
    if (found != pending_.end())
        erase(found);
}

void LogWriter::addOwnership(UnitOwnership ownership, Time now)
{
    ownerships_.push_back({std::move(ownership), now, lastNumber_, false});
    ownershipsChanged_ = true;
    scheduleWrite(now);
}

LogWriter::TrackedOwnership *LogWriter::latestOwnership(int unit)
{
    const auto found = std::find_if(
            ownerships_.rbegin(), ownerships_.rend(),
            [&](const TrackedOwnership &tracked) { return tracked.ownership.unit == unit; });
    return found == ownerships_.rend() ? nullptr : &*found;
}

void LogWriter::markLeft(int unit, Time now)
{
    TrackedOwnership *tracked = latestOwnership(unit);
    if (tracked == nullptr || tracked->ownership.left)
        return;
    tracked->ownership.left = true;
    tracked->written = false;
    tracked->afterClaim = lastNumber_;
    ownershipsChanged_ = true;
    scheduleWrite(now);
}

bool LogWriter::isUnitWritten(int unit) const
{
    return pendingPerUnit_[unit] == 0
           && std::none_of(ownerships_.begin(), ownerships_.end(),
                           [&](const TrackedOwnership &tracked) {
                               return tracked.ownership.unit == unit && !tracked.written;
                           });
}

bool LogWriter::hasUnwrittenChanges() const
{
    return !pending_.empty() || ownershipsChanged_;
}

void LogWriter::scheduleWrite(Time now)
{
    if (busy_ || writeScheduled_ || closed_ || !hasUnwrittenChanges())
        return;
    const Time next = lastWrite_ + settings_.writeInterval;
    if (now >= next) {
        write(now);
        return;
    }
    writeScheduled_ = true;
    callAfter(next - now, &LogWriter::writeOrProbe);
}

void LogWriter::writeOrProbe(Time now)
{
    writeScheduled_ = false;
    if (closed_)
        return;
    if (hasUnwrittenChanges())
        write(now);
    else if (failingSince_)
        readBack(now); // shows whether the store responds again
    else
        busy_ = false;
}

void LogWriter::write(Time now)
{
    busy_ = true;
    lastWrite_ = now;
    if (!failingSince_)
        failingSince_ = now;
    if (!storeCheckScheduled_) {
        storeCheckScheduled_ = true;
        callAfter(settings_.storeDownAfter, &LogWriter::checkStoreDown);
    }
    if (currentSegment_.full) {
        oldSegments_.push_back({segmentNumber_, version_, std::move(currentSegment_.claims), now});
        currentSegment_ = Segment();
        currentSegment_.run = settings_.self;
        ++segmentNumber_;
        version_ = Version();
    }
    inFlightSegment_ = currentSegment_;
    batch_.clear();
    const auto capacity = static_cast<std::size_t>(settings_.claimsPerSegment);
    auto next = pending_.begin();
    for (; next != pending_.end() && inFlightSegment_.claims.size() < capacity; ++next) {
        batch_.push_back(next->first);
        inFlightSegment_.claims.push_back(next->second.id);
    }
    inFlightSegment_.full = inFlightSegment_.claims.size() >= capacity;
    inFlightSegment_.units.clear();
    for (const TrackedOwnership &tracked : ownerships_) {
        if (next == pending_.end() || next->first > tracked.afterClaim)
            inFlightSegment_.units.push_back(tracked.ownership);
    }
    store_.compareAndSwap(segmentKey(settings_.domain, settings_.self, segmentNumber_), version_,
                          encodeSegment(inFlightSegment_), guarded(&LogWriter::onWritten));
}

void LogWriter::onWritten(const StoreValue &value, Time now)
{
    switch (value.status) {
    case StoreStatus::Ok:
        version_ = value.version;
        confirmStored(inFlightSegment_, true, now);
        break;
    case StoreStatus::Refused:
        retry(&LogWriter::writeOrProbe);
        break;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
    case StoreStatus::Unknown:
        readBack(now);
        break;
    }
}

void LogWriter::readBack(Time /*now*/)
{
    busy_ = true;
    store_.get(segmentKey(settings_.domain, settings_.self, segmentNumber_),
               guarded(&LogWriter::onReadBack));
}

void LogWriter::onReadBack(const StoreValue &value, Time now)
{
    if (value.status == StoreStatus::NotFound) {
        // If the segment was stored before, another process has closed the log and removed it.
        if (version_.value != 0)
            handleClosedLog(now);
        else if (hasUnwrittenChanges())
            retry(&LogWriter::writeOrProbe);
        else
            confirmStored(currentSegment_, false, now);
        return;
    }
    if (value.status != StoreStatus::Ok) {
        retry(&LogWriter::readBack);
        return;
    }
    Segment content;
    try {
        content = decodeSegment(value.value);
    } catch (const std::runtime_error &) {
        handleClosedLog(now); // this run does not write such a text, so another process has
        return;
    }
    if (content.closed || content.run != settings_.self) {
        handleClosedLog(now);
    } else if (value.version > version_) {
        version_ = value.version;
        confirmStored(content, false, now);
    } else {
        // Nothing was written, or the store was restored from a backup. In the second case the next
        // write stores the missing content again.
        ownershipsChanged_ = ownershipsChanged_ || value.version < version_;
        version_ = value.version;
        if (hasUnwrittenChanges())
            retry(&LogWriter::writeOrProbe);
        else
            confirmStored(currentSegment_, false, now);
    }
}

void LogWriter::confirmStored(Segment content, bool wholeBatch, Time now)
{
    currentSegment_ = std::move(content);
    busy_ = false;
    storeDown_ = false;
    failingSince_.reset();
    ownershipsChanged_ = false;
    for (TrackedOwnership &tracked : ownerships_) {
        tracked.written = std::find(currentSegment_.units.begin(), currentSegment_.units.end(),
                                    tracked.ownership)
                          != currentSegment_.units.end();
        ownershipsChanged_ = ownershipsChanged_ || !tracked.written;
    }
    ownershipsChanged_ = ownershipsChanged_ || currentSegment_.units.size() > ownerships_.size();
    std::unordered_set<RequestId> stored;
    if (!wholeBatch)
        stored.insert(currentSegment_.claims.begin(), currentSegment_.claims.end());
    std::vector<std::pair<std::uint64_t, PendingClaim>> done;
    for (const std::uint64_t number : batch_) {
        const auto found = pending_.find(number);
        if (found == pending_.end() || (!wholeBatch && stored.count(found->second.id) == 0))
            continue;
        done.emplace_back(number, found->second);
        erase(found);
    }
    batch_.clear();
    const std::weak_ptr<bool> guard = alive_;
    if (!done.empty())
        recorded(done, now);
    if (guard.expired())
        return;
    storeReachable(now);
    if (!guard.expired())
        scheduleWrite(now);
}

void LogWriter::retry(void (LogWriter::*step)(Time))
{
    callAfter(storeDown_ ? ProbeInterval : std::max(RetryDelay, settings_.writeInterval), step);
}

void LogWriter::checkStoreDown(Time now)
{
    storeCheckScheduled_ = false;
    if (!failingSince_ || closed_ || storeDown_)
        return;
    const Time limit = *failingSince_ + settings_.storeDownAfter;
    if (now < limit) {
        storeCheckScheduled_ = true;
        callAfter(limit - now, &LogWriter::checkStoreDown);
        return;
    }
    storeDown_ = true;
    storeUnreachable(now);
}

void LogWriter::handleClosedLog(Time now)
{
    closed_ = true;
    closed(now);
}

std::optional<std::pair<std::string, Version>> LogWriter::expire(
        const std::function<bool(const RequestId &)> &remembered, Time now)
{
    for (std::size_t i = ownerships_.size(); i-- > 0;) {
        TrackedOwnership &tracked = ownerships_[i];
        if (!tracked.written || now - tracked.since < settings_.foreignRetention())
            continue;
        const UnitOwnership plain{tracked.ownership.unit, EntryRun(), true, tracked.ownership.left};
        if (latestOwnership(tracked.ownership.unit) != &tracked) {
            ownerships_.erase(ownerships_.begin() + static_cast<std::ptrdiff_t>(i));
            ownershipsChanged_ = true;
        } else if (!(tracked.ownership == plain)) {
            tracked.ownership = plain;
            tracked.written = false;
            ownershipsChanged_ = true;
        }
    }
    scheduleWrite(now);
    if (oldSegments_.empty() || now - oldSegments_.front().lastWrite < settings_.retention
        || std::any_of(oldSegments_.front().claims.begin(), oldSegments_.front().claims.end(),
                       remembered))
        return std::nullopt;
    const OldSegment segment = std::move(oldSegments_.front());
    oldSegments_.pop_front();
    return std::make_pair(segmentKey(settings_.domain, settings_.self, segment.number),
                          segment.version);
}

} // namespace monsoonledge
