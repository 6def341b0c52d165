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
    current_.run = settings.self;
}

StoreDone LogWriter::guarded(void (LogWriter::*handler)(const StoreValue &, Time))
{
    return [this, handler, guard = std::weak_ptr<bool>(alive_)](const StoreValue &value, Time now) {
        if (!guard.expired())
            (this->*handler)(value, now);
    };
}

void LogWriter::after(Duration delay, void (LogWriter::*step)(Time))
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
    kick(now);
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

void LogWriter::addNote(UnitNote note, Time now)
{
    notes_.push_back({std::move(note), now, lastNumber_, false});
    notesChanged_ = true;
    kick(now);
}

LogWriter::Note *LogWriter::latestNote(int unit)
{
    const auto found = std::find_if(notes_.rbegin(), notes_.rend(),
                                    [&](const Note &n) { return n.note.unit == unit; });
    return found == notes_.rend() ? nullptr : &*found;
}

void LogWriter::markLeft(int unit, Time now)
{
    Note *note = latestNote(unit);
    if (note == nullptr || note->note.left)
        return;
    note->note.left = true;
    note->written = false;
    note->after = lastNumber_;
    notesChanged_ = true;
    kick(now);
}

bool LogWriter::unitWritten(int unit) const
{
    return pendingPerUnit_[unit] == 0
           && std::none_of(notes_.begin(), notes_.end(),
                           [&](const Note &n) { return n.note.unit == unit && !n.written; });
}

bool LogWriter::hasWork() const
{
    return !pending_.empty() || notesChanged_;
}

void LogWriter::kick(Time now)
{
    if (busy_ || waiting_ || closed_ || !hasWork())
        return;
    const Time next = lastWrite_ + settings_.writeInterval;
    if (now >= next) {
        write(now);
        return;
    }
    waiting_ = true;
    after(next - now, &LogWriter::attempt);
}

void LogWriter::attempt(Time now)
{
    waiting_ = false;
    if (closed_)
        return;
    if (hasWork())
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
    if (!checking_) {
        checking_ = true;
        after(settings_.storeDownAfter, &LogWriter::checkDown);
    }
    if (current_.full) {
        old_.push_back({number_, version_, std::move(current_.claims), now});
        current_ = Segment();
        current_.run = settings_.self;
        ++number_;
        version_ = Version();
    }
    writing_ = current_;
    batch_.clear();
    const auto capacity = static_cast<std::size_t>(settings_.claimsPerSegment);
    auto next = pending_.begin();
    for (; next != pending_.end() && writing_.claims.size() < capacity; ++next) {
        batch_.push_back(next->first);
        writing_.claims.push_back(next->second.id);
    }
    writing_.full = writing_.claims.size() >= capacity;
    writing_.units.clear();
    for (const Note &note : notes_) {
        if (next == pending_.end() || next->first > note.after)
            writing_.units.push_back(note.note);
    }
    store_.compareAndSwap(segmentKey(settings_.domain, settings_.self, number_), version_,
                          encodeSegment(writing_), guarded(&LogWriter::onWritten));
}

void LogWriter::onWritten(const StoreValue &value, Time now)
{
    switch (value.status) {
    case StoreStatus::Ok:
        version_ = value.version;
        succeed(writing_, true, now);
        break;
    case StoreStatus::Refused:
        retry(&LogWriter::attempt);
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
    store_.get(segmentKey(settings_.domain, settings_.self, number_),
               guarded(&LogWriter::onReadBack));
}

void LogWriter::onReadBack(const StoreValue &value, Time now)
{
    if (value.status == StoreStatus::NotFound) {
        // If the segment was stored before, another process has closed the log and removed it.
        if (version_.value != 0)
            giveUp(now);
        else if (hasWork())
            retry(&LogWriter::attempt);
        else
            succeed(current_, false, now);
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
        giveUp(now); // this run does not write such a text, so another process has
        return;
    }
    if (content.closed || content.run != settings_.self) {
        giveUp(now);
    } else if (value.version > version_) {
        version_ = value.version;
        succeed(content, false, now);
    } else {
        // Nothing was written, or the store was restored from a backup. In the second case the next
        // write stores the missing content again.
        notesChanged_ = notesChanged_ || value.version < version_;
        version_ = value.version;
        if (hasWork())
            retry(&LogWriter::attempt);
        else
            succeed(current_, false, now);
    }
}

void LogWriter::succeed(Segment content, bool wholeBatch, Time now)
{
    current_ = std::move(content);
    busy_ = false;
    down_ = false;
    failingSince_.reset();
    notesChanged_ = false;
    for (Note &note : notes_) {
        note.written = std::find(current_.units.begin(), current_.units.end(), note.note)
                       != current_.units.end();
        notesChanged_ = notesChanged_ || !note.written;
    }
    notesChanged_ = notesChanged_ || current_.units.size() > notes_.size();
    std::unordered_set<RequestId> stored;
    if (!wholeBatch)
        stored.insert(current_.claims.begin(), current_.claims.end());
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
    reachable(now);
    if (!guard.expired())
        kick(now);
}

void LogWriter::retry(void (LogWriter::*step)(Time))
{
    after(down_ ? ProbeInterval : std::max(RetryDelay, settings_.writeInterval), step);
}

void LogWriter::checkDown(Time now)
{
    checking_ = false;
    if (!failingSince_ || closed_ || down_)
        return;
    const Time limit = *failingSince_ + settings_.storeDownAfter;
    if (now < limit) {
        checking_ = true;
        after(limit - now, &LogWriter::checkDown);
        return;
    }
    down_ = true;
    unreachable(now);
}

void LogWriter::giveUp(Time now)
{
    closed_ = true;
    closed(now);
}

std::optional<std::pair<std::string, Version>> LogWriter::expire(
        const std::function<bool(const RequestId &)> &remembered, Time now)
{
    for (std::size_t i = notes_.size(); i-- > 0;) {
        Note &note = notes_[i];
        if (!note.written || now - note.since < settings_.foreignRetention())
            continue;
        const UnitNote plain{note.note.unit, EntryRun(), true, note.note.left};
        if (latestNote(note.note.unit) != &note) {
            notes_.erase(notes_.begin() + static_cast<std::ptrdiff_t>(i));
            notesChanged_ = true;
        } else if (!(note.note == plain)) {
            note.note = plain;
            note.written = false;
            notesChanged_ = true;
        }
    }
    kick(now);
    if (old_.empty() || now - old_.front().lastWrite < settings_.retention
        || std::any_of(old_.front().claims.begin(), old_.front().claims.end(), remembered))
        return std::nullopt;
    const OldSegment segment = std::move(old_.front());
    old_.pop_front();
    return std::make_pair(segmentKey(settings_.domain, settings_.self, segment.number),
                          segment.version);
}

} // namespace monsoonledge
