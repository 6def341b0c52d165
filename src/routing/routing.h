// The endpoints of one failure domain: their slots, their health, and the choice of one for a
// request.
//
// Sections:
//   [1] Settings
//   [2] Endpoint
//   [3] Endpoint table
#pragma once

#include "base/base.h"
#include "ports/ports.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace monsoonledge {

// [1] Settings

struct RoutingSettings
{
    Duration settle = milliseconds(500); // a sample proves that a dead member's work has ended only
                                         // if it was taken this long after the proof of death
    double failureLimit = 0.5; // error rate at which an endpoint is ejected
    int minSamples = 10; // results before the error rate counts
    double maxEjected = 1.0 / 3; // most of the endpoints that may be ejected at once
    Duration probeInterval = seconds(2); // between two probes of an ejected endpoint
    double smoothing = 0.1; // weight of a new latency or error sample in the moving average
};

// [2] Endpoint

struct Endpoint
{
    HostInfo host;
    bool leaving = false; // by the host list or by its own answer
    bool listed = true; // false: gone from the host list; kept while requests run on it
    int running = 0; // requests of this process on it
    int ownSlots = 0; // slots of the usable units
    double errorRate = 0; // moving average, 0 to 1
    double latencyMs = 0; // moving average of answered requests
    int samples = 0; // results seen since it was listed or probed well
    bool ejected = false;
    Time nextProbe{};
    std::map<std::string, Time>
            unverified; // dead run -> time of the proof; its slots count as busy

    /// Slots that this process may still use now.
    int freeSlots() const;
};

// [3] Endpoint table

class EndpointTable
{
public:
    EndpointTable(RoutingSettings settings, DomainId domain, std::uint64_t seed);

    /// Takes the host list over. A failed reading is ignored: the last list holds.
    void applyHosts(const HostListing &listing, Time now);
    /// The share units that this process may use, as a bit mask.
    void setUnits(std::uint32_t units);
    /// Slots of these units, taken over from a dead run, count as busy on every endpoint until a
    /// sample taken after `provenAt` plus the settling time shows none of its requests.
    void addUnverified(const EntryRun &dead, std::uint32_t units, Time provenAt);
    void applyStatus(const HostId &host, const EndpointStatus &status, Time now);

    /// Chooses an endpoint with a free own slot: the better of two random candidates.
    /// Non-idempotent requests are never sent to an ejected endpoint.
    std::optional<HostId> choose(const ServiceId &service, bool idempotent,
                                 const std::set<HostId> &exclude, Time now);
    void started(const HostId &host, Time now);
    void finished(const HostId &host, RunStatus status, int httpStatus, Duration latency, Time now);
    void markLeaving(const HostId &host);

    const Endpoint *find(const HostId &host) const;
    const std::map<HostId, Endpoint> &endpoints() const { return endpoints_; }
    /// Own slots on endpoints of the service that may be used, free or not.
    int usableSlots(const ServiceId &service) const;
    int freeSlots(const ServiceId &service) const;
    int running() const;
    /// Whether the running requests fit the slots of `units` on every endpoint.
    bool fits(std::uint32_t units) const;

private:
    struct Unverified
    {
        EntryRun run;
        std::uint32_t units = 0;
        Time provenAt{};
        std::set<HostId> pending; // endpoints without a sufficient sample yet
    };

    void updateSlots(Endpoint &endpoint);
    bool mayUse(const Endpoint &endpoint, bool idempotent, Time now) const;
    void updateHealth(Endpoint &endpoint, bool failed, Time now);

    RoutingSettings settings_;
    DomainId domain_;
    Random random_;
    std::uint32_t units_ = 0;
    std::map<HostId, Endpoint> endpoints_;
    std::vector<Unverified> unverified_;
};

} // namespace monsoonledge
