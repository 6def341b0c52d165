// Endpoints of one failure domain: their slots, their health, and the selection of an endpoint for
// each request.
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
    /// A status sample shows that the requests of a dead member, or lost requests, have ended only
    /// if it was taken at least this long after the proof of death or the loss.
    Duration sampleSettleTime = milliseconds(500);
    double maxErrorRate = 0.5; // error rate at which an endpoint is ejected
    int minResults = 10; // results needed before the error rate can eject an endpoint
    double maxEjectedFraction =
            1.0 / 3; // largest fraction of the endpoints that may be ejected at once
    Duration probeInterval = seconds(2); // time between two probes of an ejected endpoint
    double smoothing = 0.1; // weight of a new sample in the moving averages
};

// [2] Endpoint

struct Endpoint
{
    HostInfo host;
    int rotation = 0; // slotRotation() of the host
    bool leaving = false; // according to the host list
    bool reportedLeaving = false; // according to the endpoint, which knows before the host list
    bool listed = true; // false: no longer in the host list; kept while requests may run on it
    int running = 0; // requests of this process in progress
    int ownSlots = 0; // slots of the units of this process, unverified ones excluded
    int lostRequests = 0; // requests with an unknown outcome that may still run on it
    Time lastLostAt{}; // when the last such request was given up
    double errorRate = 0; // moving average, 0 to 1
    double latencyMs = 0; // moving average over answered requests; 0: none yet
    int resultCount = 0; // results since it was first listed or readmitted
    bool ejected = false;
    Time nextProbe{};

    /// Returns the number of slots that this process may use now. It is 0 while a lost request may
    /// still run: a status sample gives only the number of requests of a process, so it can show
    /// the end of the lost one only while no other request of this process is running.
    int freeSlots() const
    {
        return !acceptsRequests() || lostRequests > 0 ? 0 : ownSlots - running;
    }
    bool acceptsRequests() const { return listed && !leaving && !reportedLeaving; }
    bool needsSample = false; // a new status sample may make more slots usable
};

/// What keeps a request from an endpoint now.
enum class EndpointObstacle {
    None,
    Tried, // an attempt of the request was already sent there
    Leaving, // by the host list or by its own report
    LostRequest, // a request whose outcome is not known may still run there
    NoFreeSlot, // of the slots of this process
    Ejected, // and the request is no probe
};
/// Name in answers, such as "noFreeSlot".
const char *endpointObstacleName(EndpointObstacle obstacle);

/// Which endpoint a new request would get now, and why.
struct EndpointExplanation
{
    std::optional<HostId> endpoint;
    int endpoints = 0; // listed for the service
    int candidates = 0; // that could take the request
    std::map<EndpointObstacle, int> obstacles; // of the others, by what keeps the request from them
};

// [3] Endpoint table

class EndpointTable
{
public:
    EndpointTable(RoutingSettings settings, DomainId domain, EntryRun self, std::uint64_t seed);

    /// Updates the endpoints from the host list. A listing that failed is ignored, and the last one
    /// stays in effect.
    void applyHosts(const HostListing &listing, Time now);
    /// Sets the share units that this process may use.
    void setUnits(UnitMask units);
    /// Marks units taken over from a dead incarnation. Their slots on each endpoint stay unusable
    /// until a sample of the endpoint shows no request of that incarnation. The sample must be
    /// taken at least RoutingSettings::sampleSettleTime after `deathProvenAt`, the time of the
    /// proof of death.
    void addUnverifiedUnits(const EntryRun &dead, UnitMask units, Time deathProvenAt);
    /// Returns whether no endpoint needs such a sample for the unit any more. A unit must not be
    /// released before.
    bool isUnitVerified(int unit) const;
    void applyStatus(const HostId &host, const EndpointStatus &status, Time now);

    /// Chooses an endpoint with a free slot: the better of two random candidates. An ejected
    /// endpoint is chosen only for an idempotent request, which serves as a probe.
    std::optional<HostId> chooseEndpoint(const ServiceId &service, bool idempotent,
                                         const std::set<HostId> &exclude, Time now);
    /// Which endpoint chooseEndpoint() would choose for a new request. Asking has no effect on
    /// later choices.
    EndpointExplanation explainChoice(const ServiceId &service, bool idempotent, Time now) const;
    void recordStart(const HostId &host, Time now);
    void recordResult(const HostId &host, RunStatus status, int httpStatus, Duration latency,
                      Time now);
    /// Stops new requests to an endpoint that has itself announced that it is leaving.
    void markLeaving(const HostId &host);

    const Endpoint *find(const HostId &host) const;
    const std::map<HostId, Endpoint> &endpoints() const { return endpoints_; }
    /// Returns the slots of this process, free or busy, on the usable endpoints of the service.
    int usableSlots(const ServiceId &service) const;
    /// Returns the number of requests of this process in progress on all endpoints.
    int running() const;
    /// Returns whether, on every endpoint, the running and lost requests of this process need no
    /// more slots than the verified ones of `units`.
    bool runningRequestsFit(UnitMask units) const;

private:
    struct UnverifiedUnits
    {
        EntryRun run;
        UnitMask units = 0;
        Time deathProvenAt{};
        std::set<HostId> pending; // endpoints that still need a sample
    };

    /// Returns those of `units` that need no sample of the endpoint any more.
    UnitMask verifiedUnits(const Endpoint &endpoint, UnitMask units) const;
    void updateSlots(Endpoint &endpoint);
    void updateHealth(Endpoint &endpoint, bool failed, Time now);
    static EndpointObstacle obstacleOn(const Endpoint &endpoint, bool idempotent,
                                       const std::set<HostId> &exclude, Time now);
    std::optional<HostId> chooseWith(Random &random, const ServiceId &service, bool idempotent,
                                     const std::set<HostId> &exclude, Time now) const;
    double loadScore(const Endpoint &endpoint) const;
    void indexServices();

    RoutingSettings settings_;
    DomainId domain_;
    EntryRun self_;
    Random random_;
    UnitMask units_ = 0;
    std::map<HostId, Endpoint> endpoints_;
    std::map<ServiceId, std::vector<HostId>> hostsByService_; // listed endpoints only
    std::vector<UnverifiedUnits> unverifiedUnits_;
};

} // namespace monsoonledge
