#include "evacuation/evacuation.h"

#include <utility>

namespace monsoonledge {

ClosedDomains::ClosedDomains(LogHook log) : log_(std::move(log)) { }

/// Logs a malformed key or value once per change of the key, as each load delivers it again.
void ClosedDomains::reportUnreadable(const EvacuationRequest &request)
{
    if (request.isReadable
        || std::exchange(unreadable_[request.key], request.revision) == request.revision)
        return;
    log_({LogLevel::Error,
          "evacuation-unreadable",
          request.domain.isEmpty() ? "the key of an evacuation names no domain; it has no effect"
                                   : "the value of an evacuation is malformed; the domain that the "
                                     "key names is closed",
          {{"key", request.key}, {"evacuated", request.domain.str()}}});
}

void ClosedDomains::open(const DomainId &domain, Time now)
{
    const auto found = requests_.find(domain);
    if (found == requests_.end())
        return;
    log_({LogLevel::Info,
          "evacuation-ended",
          "the operator has withdrawn the request; tasks may be started in the domain again",
          {{"evacuated", domain.str()},
           {"forMs", std::to_string(wholeMilliseconds(now - found->second.seenAt))}}});
    requests_.erase(found);
    domains_.erase(domain);
}

void ClosedDomains::close(const EvacuationRequest &request, Time now)
{
    reportUnreadable(request);
    if (request.domain.isEmpty())
        return;
    const auto [found, isNew] = requests_.try_emplace(request.domain);
    found->second.revision = request.revision;
    if (!isNew)
        return;
    found->second.seenAt = now;
    domains_.insert(request.domain);
    log_({LogLevel::Info,
          "evacuation-requested",
          "the domain is closed: no task is started there, and long runs are moved off",
          {{"evacuated", request.domain.str()}, {"revision", std::to_string(request.revision)}}});
}

bool ClosedDomains::replace(const std::vector<EvacuationRequest> &requests, Time now)
{
    const std::set<DomainId> before = domains_;
    std::set<DomainId> wanted;
    for (const EvacuationRequest &request : requests)
        wanted.insert(request.domain);
    for (const DomainId &domain : before) {
        if (wanted.count(domain) == 0)
            open(domain, now);
    }
    for (const EvacuationRequest &request : requests)
        close(request, now);
    return domains_ != before;
}

bool ClosedDomains::apply(const std::vector<EvacuationRequest> &changes, Time now)
{
    const std::set<DomainId> before = domains_;
    for (const EvacuationRequest &change : changes) {
        const auto known = requests_.find(change.domain);
        if (known != requests_.end() && change.revision < known->second.revision)
            continue;
        if (change.isRemoved)
            open(change.domain, now);
        else
            close(change, now);
    }
    return domains_ != before;
}

} // namespace monsoonledge
