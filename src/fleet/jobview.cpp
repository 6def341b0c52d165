#include "fleet/fleet.h"

#include "fleet/keys_p.h"

#include <algorithm>

namespace monsoonledge {

bool JobView::isInBacklog(const Entry &entry)
{
    return entry.hasSpec && !entry.cancelled && entry.state == JobState::Pending;
}

/// Changes an entry and updates the backlog of its queue.
template<typename Change> void JobView::updateEntry(const JobId &id, Change apply)
{
    Entry &entry = entries_[id];
    if (isInBacklog(entry))
        --backlogs_[entry.queue];
    apply(entry);
    if (isInBacklog(entry))
        ++backlogs_[entry.queue];
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
    updateEntry(id, [](Entry &entry) { entry.hasSpec = false; });
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
        submissions_.push_back({item.revision, *id});
        return true;
    }
    if (const std::optional<JobId> id = keys::parse(keys::CancelPrefix, item.key)) {
        if (!item.deleted)
            setCancelled(*id);
        return true;
    }
    if (const std::optional<JobId> id = keys::parse(keys::ProgressPrefix, item.key)) {
        if (item.deleted)
            return true;
        const std::optional<JobState> state = decodeState(item.value);
        if (state)
            setState(*id, *state);
        return state.has_value();
    }
    return false;
}

void JobView::reset(const std::vector<KeyValue> &items)
{
    entries_.clear();
    backlogs_.clear();
    submissions_.clear();
    for (const KeyValue &item : items)
        apply(item);
    // Loaded keys arrive in alphabetical order.
    std::sort(submissions_.begin(), submissions_.end(),
              [](const Submission &a, const Submission &b) { return a.revision < b.revision; });
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
    return static_cast<int>(
            std::count_if(submissions_.begin(), submissions_.end(), [&](const Submission &s) {
                const auto it = entries_.find(s.job);
                return s.revision > revision && it != entries_.end() && it->second.queue == queue
                       && isInBacklog(it->second);
            }));
}

void JobView::forgetSubmissions(StoreRevision upTo)
{
    while (!submissions_.empty() && submissions_.front().revision <= upTo)
        submissions_.pop_front();
}

} // namespace monsoonledge
