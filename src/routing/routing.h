// The endpoints of one failure domain: their slots, their health, and the choice of one for a
// request.
//
// Sections:
//   [1] Settings
//   [2] Endpoint
//   [3] Endpoint table
#pragma once

#include "base/base.h"
#include "membership/membership.h"
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
    int rotation = 0; // slotRotation() of the host
    bool leaving = false; // by the host list
    bool saidLeaving = false; // by its own answer; the list lags
    bool listed = true; // false: gone from the host list; kept while requests run on it
    int running = 0; // requests of this process on it
    int ownSlots = 0; // slots of the usable units, without those that are not yet verified
    int lost = 0; // requests without a usable answer that may still run on it
    Time lastLoss{};
    double errorRate = 0; // moving average, 0 to 1
    double latencyMs = 0; // moving average of answered requests; 0: none yet
    int samples = 0; // results since it was listed or readmitted
    bool ejected = false;
    Time nextProbe{};

    /// Slots that this process may still use now. None while a lost request may still run on it:
    /// a sample tells its end apart from the others only when no other request is running.
    int freeSlots() const { return !takesWork() || lost > 0 ? 0 : ownSlots - running; }
    bool takesWork() const { return listed && !leaving && !saidLeaving; }
    bool needsSample = false; // a fresh status sample may make more slots usable
};

// [3] Endpoint table

class EndpointTable
{
public:
    EndpointTable(RoutingSettings settings, DomainId domain, EntryRun self, std::uint64_t seed);

    /// Takes the host list over. A failed reading is ignored: the last list holds.
    void applyHosts(const HostListing &listing, Time now);
    /// The share units that this process may use.
    void setUnits(UnitMask units);
    /// Slots of these units, taken over from a dead run, count as busy on every endpoint until a
    /// sample taken after `provenAt` plus the settling time shows none of its requests.
    void addUnverified(const EntryRun &dead, UnitMask units, Time provenAt);
    /// Whether no slot of the unit is waiting for such a sample; until then it must not be
    /// released.
    bool isVerified(int unit) const;
    void applyStatus(const HostId &host, const EndpointStatus &status, Time now);

    /// Chooses an endpoint with a free own slot: the better of two random candidates. An ejected
    /// endpoint gets no request but an idempotent one as a probe.
    std::optional<HostId> choose(const ServiceId &service, bool idempotent,
                                 const std::set<HostId> &exclude, Time now);
    void started(const HostId &host, Time now);
    void finished(const HostId &host, RunStatus status, int httpStatus, Duration latency, Time now);
    void markLeaving(const HostId &host);

    const Endpoint *find(const HostId &host) const;
    const std::map<HostId, Endpoint> &endpoints() const { return endpoints_; }
    /// Own slots on endpoints of the service that may be used, free or not.
    int usableSlots(const ServiceId &service) const;
    /// Requests of this process on all endpoints.
    int running() const;
    /// Whether the running and lost requests fit the verified slots of `units` on every endpoint.
    bool fits(UnitMask units) const;

private:
    struct Unverified
    {
        EntryRun run;
        UnitMask units = 0;
        Time provenAt{};
        std::set<HostId> pending; // endpoints without a sufficient sample yet
    };

    /// The units whose slots on the endpoint are not waiting for a sample.
    UnitMask verifiedUnits(const Endpoint &endpoint, UnitMask units) const;
    void updateSlots(Endpoint &endpoint);
    void updateHealth(Endpoint &endpoint, bool failed, Time now);
    bool mayUse(const Endpoint &endpoint, bool idempotent, const std::set<HostId> &exclude,
                Time now) const;
    double score(const Endpoint &endpoint) const;
    void indexServices();

    RoutingSettings settings_;
    DomainId domain_;
    EntryRun self_;
    Random random_;
    UnitMask units_ = 0;
    std::map<HostId, Endpoint> endpoints_;
    std::map<ServiceId, std::vector<HostId>> byService_; // listed endpoints
    std::vector<Unverified> unverified_;
};

} // namespace monsoonledge
