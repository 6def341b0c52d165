// How an entry process learns of closed failure domains: from its watch of the operator's keys.
#include "fleet/fleet.h"

namespace monsoonledge {

namespace {

// A coordinator starts nothing while its watch has been unconfirmed for this share of the limit.
// The rest of the limit is for start orders that are on their way.
constexpr double MaxUnconfirmedShare = 0.7;

} // namespace

bool FleetNode::followsEvacuations() const
{
    return !settings_.evacuationPrefix.empty() && settings_.evacuationLimit > Duration::zero()
           && ports_.decoders.evacuation;
}

/// Applies the operator's requests among the items of the watch.
void FleetNode::onEvacuationItems(const std::vector<KeyValue> &items, bool isCompleteLoad, Time now)
{
    if (!followsEvacuations())
        return;
    const std::string &prefix = settings_.evacuationPrefix;
    std::vector<EvacuationRequest> requests;
    for (const KeyValue &item : items) {
        if (item.key.compare(0, prefix.size(), prefix) != 0)
            continue;
        EvacuationRequest request = ports_.decoders.evacuation(item.key, item.value);
        request.isRemoved = item.deleted;
        request.revision = item.revision.value;
        requests.push_back(std::move(request));
    }
    const bool hasChanged = isCompleteLoad ? closedDomains_.replace(requests, now)
                                           : closedDomains_.apply(requests, now);
    if (hasChanged && coordinator_)
        coordinator_->onClosedDomainsChanged(now);
}

/// True unless a request that this process has not seen may have been stored so long ago that it
/// has to be in force.
bool FleetNode::knowsClosedDomains(Time now) const
{
    if (!followsEvacuations())
        return true;
    const auto longest =
            std::chrono::duration_cast<Duration>(settings_.evacuationLimit * MaxUnconfirmedShare);
    return configWatch_->isLoaded() && now - configWatch_->confirmedAt() < longest;
}

// The coordinator's part

void Coordinator::onClosedDomainsChanged(Time now)
{
    if (!scheduler_)
        return;
    scheduler_->setClosedDomains(hooks_.closedDomains(), now);
    schedulePass();
}

/// To be called before anything is started.
void Coordinator::updateStartsPaused(Time now)
{
    const bool arePaused = !hooks_.knowsClosedDomains(now);
    if (scheduler_->areStartsPaused() == arePaused)
        return;
    scheduler_->setStartsPaused(arePaused);
    if (arePaused)
        ports_.log({LogLevel::Warning,
                    "starts-paused",
                    "the store has not confirmed the closed domains in time; nothing is started",
                    {}});
    else
        ports_.log({LogLevel::Info,
                    "starts-resumed",
                    "the store has confirmed the closed domains; tasks are started again",
                    {}});
}

} // namespace monsoonledge
