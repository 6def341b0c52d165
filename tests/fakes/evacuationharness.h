// A scheduler with workers in two failure domains that can be closed.
#pragma once

#include "fakes/schedulerharness.h"

#include <set>
#include <string>

namespace monsoonledge {

class EvacuationHarness : public SchedulerHarness
{
public:
    /// Worker i is in the domain "z0" if i is even, otherwise in "z1". The arguments are those of
    /// SchedulerHarness.
    template<typename... Args> explicit EvacuationHarness(Args... args) : SchedulerHarness(args...)
    {
        for (std::size_t i = 0; i < entries.size(); ++i)
            entries[i].domain = DomainId(i % 2 == 0 ? "z0" : "z1");
        scheduler.setWorkers(entries, now);
    }

    void closeDomains(const std::set<std::string> &names)
    {
        std::set<DomainId> domains;
        for (const std::string &name : names)
            domains.insert(DomainId(name));
        scheduler.setClosedDomains(domains, now);
    }

    void passTime(Duration time)
    {
        now += time;
        reportWorkers();
    }
};

} // namespace monsoonledge
