#include "fleet/fleet.h"

#include "fleet/keys_p.h"

#include <iterator>

namespace monsoonledge {

bool JobView::isInBacklog(const Entry &entry)
{
    return entry.hasSpec && !entry.cancelled && entry.state == JobState::Pending;
}

bool JobView::isUnknownCancellation(const Entry &entry)
{
    return entry.cancelled && !entry.hasSpec;
}

/// Changes an entry, and updates the backlog of its queue and the number of cancellations without
/// a job.
template<typename Change> void JobView::updateEntry(const JobId &id, Change apply)
{
    Entry &entry = entries_[id];
    if (isInBacklog(entry))
        --backlogs_[entry.queue];
    unknownCancellations_ -= isUnknownCancellation(entry) ? 1 : 0;
    apply(entry);
    if (isInBacklog(entry))
        ++backlogs_[entry.queue];
    unknownCancellations_ += isUnknownCancellation(entry) ? 1 : 0;
}

void JobView::setSpec(const JobId &id, const QueueId &queue)
{
    updateEntry(id, [&](Entry &entry) {
        entry.hasSpec = true;
        entry.queue = queue;
    });
}

void JobView::setCancelled(const JobId &id)
{
    updateEntry(id, [](Entry &entry) { entry.cancelled = true; });
}

void JobView::setState(const JobId &id, JobState state)
{
    updateEntry(id, [state](Entry &entry) { entry.state = state; });
}

void JobView::remove(const JobId &id)
{
    updateEntry(id, [](Entry &entry) { entry = {}; });
    entries_.erase(id);
}

bool JobView::apply(const KeyValue &item)
{
    if (const std::optional<JobId> id = keys::parse(keys::SpecPrefix, item.key)) {
        if (item.deleted) {
            remove(*id);
            return true;
        }
        const std::optional<JobSpec> spec = decodeSpec(item.value);
        if (!spec)
            return false;
        setSpec(*id, spec->queue);
        submissions_[*id] = item.revision;
        return true;
    }
    if (const std::optional<JobId> id = keys::parse(keys::CancelPrefix, item.key)) {
        if (!item.deleted)
            setCancelled(*id);
        else if (!contains(*id)) // a job's entry is removed with its specification
            remove(*id);
        return true;
    }
    if (const std::optional<JobId> id = keys::parse(keys::ProgressPrefix, item.key)) {
        if (item.deleted)
            return true;
        const std::optional<JobState> state = decodeState(item.value);
        if (state)
            setState(*id, *state);
        else if (const auto it = entries_.find(*id);
                 it == entries_.end() || it->second.state == JobState::Pending)
            setState(*id, JobState::Active); // the first record is written when a run is assigned
        return state.has_value();
    }
    return false;
}

void JobView::reset(const std::vector<KeyValue> &items)
{
    entries_.clear();
    backlogs_.clear();
    submissions_.clear();
    unknownCancellations_ = 0;
    for (const KeyValue &item : items)
        apply(item);
}

bool JobView::contains(const JobId &id) const
{
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.hasSpec;
}

bool JobView::isCancelled(const JobId &id) const
{
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.cancelled;
}

std::optional<JobState> JobView::state(const JobId &id) const
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || !it->second.hasSpec)
        return std::nullopt;
    const Entry &entry = it->second;
    // A job that ended before the coordinator saw its cancellation keeps its final state.
    if (entry.cancelled && !isFinal(entry.state))
        return JobState::Cancelled;
    return entry.state;
}

int JobView::submissionsAfter(StoreRevision revision, const QueueId &queue) const
{
    int count = 0;
    for (const auto &[id, submittedAt] : submissions_) {
        const auto it = entries_.find(id);
        const bool isCounted = submittedAt > revision && it != entries_.end()
                               && it->second.queue == queue && isInBacklog(it->second);
        count += isCounted ? 1 : 0;
    }
    return count;
}

void JobView::forgetSubmissions(StoreRevision upTo)
{
    for (auto it = submissions_.begin(); it != submissions_.end();)
        it = it->second <= upTo ? submissions_.erase(it) : std::next(it);
}

} // namespace monsoonledge
