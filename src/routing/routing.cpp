#include "routing/routing.h"

#include <algorithm>
#include <cassert>

namespace monsoonledge {

namespace {

// Random draws before a scan over all endpoints of the service. If one endpoint in eight is usable,
// two thirds of the choices need no scan.
constexpr int MaxRandomDraws = 8;

// Time after its last lost request for which an endpoint that has left the host list is kept.
constexpr Duration LostRequestRetention = minutes(10);

} // namespace

EndpointTable::EndpointTable(RoutingSettings settings, DomainId domain, EntryRun self,
                             std::uint64_t seed)
    : settings_(settings), domain_(std::move(domain)), self_(std::move(self)), random_(seed)
{ }

void EndpointTable::applyHosts(const HostListing &listing, Time now)
{
    if (!listing.ok)
        return;
    for (auto &item : endpoints_)
        item.second.listed = false;
    for (const HostInfo &host : listing.hosts) {
        if (host.kind != HostKind::Worker || host.domain != domain_ || host.slots <= 0)
            continue;
        auto found = endpoints_.find(host.id);
        // A host id that appears with a new address is a new machine, on which no request of this
        // process runs, so its state starts empty.
        if (found != endpoints_.end() && found->second.host.address != host.address
            && found->second.running == 0) {
            endpoints_.erase(found);
            found = endpoints_.end();
        }
        if (found == endpoints_.end()) {
            found = endpoints_.emplace(host.id, Endpoint()).first;
            found->second.rotation = slotRotation(host.id);
            for (UnverifiedUnits &entry : unverifiedUnits_)
                entry.pending.insert(host.id);
        }
        Endpoint &endpoint = found->second;
        endpoint.host = host;
        endpoint.listed = true;
        endpoint.leaving = host.state == HostState::Leaving;
        updateSlots(endpoint);
    }
    for (auto item = endpoints_.begin(); item != endpoints_.end();) {
        const Endpoint &endpoint = item->second;
        // A lost request may still run on the host when it is listed again.
        const bool mayRun =
                endpoint.running > 0
                || (endpoint.lostRequests > 0 && now < endpoint.lastLostAt + LostRequestRetention);
        const bool unused = !endpoint.listed && !mayRun;
        if (unused) {
            for (UnverifiedUnits &entry : unverifiedUnits_)
                entry.pending.erase(item->first);
        }
        item = unused ? endpoints_.erase(item) : std::next(item);
    }
    indexServices();
}

void EndpointTable::indexServices()
{
    hostsByService_.clear();
    for (const auto &item : endpoints_) {
        if (item.second.listed)
            hostsByService_[item.second.host.service].push_back(item.first);
    }
}

void EndpointTable::setUnits(UnitMask units)
{
    units_ = units;
    for (auto &item : endpoints_)
        updateSlots(item.second);
}

void EndpointTable::addUnverifiedUnits(const EntryRun &dead, UnitMask units, Time deathProvenAt)
{
    UnverifiedUnits entry;
    entry.run = dead;
    entry.units = units;
    entry.deathProvenAt = deathProvenAt;
    for (const auto &item : endpoints_)
        entry.pending.insert(item.first);
    unverifiedUnits_.push_back(std::move(entry));
    setUnits(units_);
}

bool EndpointTable::isUnitVerified(int unit) const
{
    return std::none_of(unverifiedUnits_.begin(), unverifiedUnits_.end(),
                        [unit](const UnverifiedUnits &entry) {
                            return ((entry.units >> unit) & 1U) != 0 && !entry.pending.empty();
                        });
}

UnitMask EndpointTable::verifiedUnits(const Endpoint &endpoint, UnitMask units) const
{
    for (const UnverifiedUnits &entry : unverifiedUnits_) {
        if (entry.pending.count(endpoint.host.id) > 0)
            units &= ~entry.units;
    }
    return units;
}

void EndpointTable::updateSlots(Endpoint &endpoint)
{
    const UnitMask usable = verifiedUnits(endpoint, units_);
    endpoint.ownSlots = slotCountOfUnits(usable, endpoint.host.slots, endpoint.rotation);
    endpoint.needsSample = usable != units_ || endpoint.lostRequests > 0 || endpoint.ejected;
}

void EndpointTable::applyStatus(const HostId &host, const EndpointStatus &status, Time now)
{
    const auto found = endpoints_.find(host);
    if (found == endpoints_.end() || !status.ok)
        return;
    Endpoint &endpoint = found->second;
    const Time sampled = now - status.sampleAge;
    const auto runningOf = [&status](const EntryRun &run) {
        const auto entry = status.runningByEntry.find(run.str());
        return entry == status.runningByEntry.end() ? 0 : entry->second;
    };
    for (UnverifiedUnits &entry : unverifiedUnits_) {
        if (sampled >= entry.deathProvenAt + settings_.sampleSettleTime
            && runningOf(entry.run) == 0)
            entry.pending.erase(host);
    }
    unverifiedUnits_.erase(
            std::remove_if(unverifiedUnits_.begin(), unverifiedUnits_.end(),
                           [](const UnverifiedUnits &entry) { return entry.pending.empty(); }),
            unverifiedUnits_.end());
    const bool lossesEnded = endpoint.running == 0 && runningOf(self_) == 0
                             && sampled >= endpoint.lastLostAt + settings_.sampleSettleTime;
    if (endpoint.lostRequests > 0 && lossesEnded)
        endpoint.lostRequests = 0;
    endpoint.reportedLeaving = status.leaving;
    updateSlots(endpoint);
}

const char *endpointObstacleName(EndpointObstacle obstacle)
{
    switch (obstacle) {
    case EndpointObstacle::Tried:
        return "tried";
    case EndpointObstacle::Leaving:
        return "leaving";
    case EndpointObstacle::LostRequest:
        return "lostRequest";
    case EndpointObstacle::NoFreeSlot:
        return "noFreeSlot";
    case EndpointObstacle::Ejected:
        return "ejected";
    case EndpointObstacle::None:
        break;
    }
    return "none";
}

EndpointObstacle EndpointTable::obstacleOn(const Endpoint &endpoint, bool idempotent,
                                           const std::set<HostId> &exclude, Time now)
{
    if (exclude.count(endpoint.host.id) > 0)
        return EndpointObstacle::Tried;
    if (!endpoint.acceptsRequests())
        return EndpointObstacle::Leaving;
    if (endpoint.lostRequests > 0)
        return EndpointObstacle::LostRequest;
    if (endpoint.freeSlots() <= 0)
        return EndpointObstacle::NoFreeSlot;
    const bool isProbe = idempotent && now >= endpoint.nextProbe;
    return endpoint.ejected && !isProbe ? EndpointObstacle::Ejected : EndpointObstacle::None;
}

double EndpointTable::loadScore(const Endpoint &endpoint) const
{
    // The success rate is squared, and errors so weigh more than in proportion: an endpoint that
    // fails fast has a low latency and few running requests, and would otherwise be preferred.
    const double success = std::max(0.05, 1 - endpoint.errorRate);
    return (endpoint.running + 1) * std::max(1.0, endpoint.latencyMs) / (success * success);
}

std::optional<HostId> EndpointTable::chooseEndpoint(const ServiceId &service, bool idempotent,
                                                    const std::set<HostId> &exclude, Time now)
{
    return chooseWith(random_, service, idempotent, exclude, now);
}

EndpointExplanation EndpointTable::explainChoice(const ServiceId &service, bool idempotent,
                                                 Time now) const
{
    EndpointExplanation explanation;
    Random random = random_; // the next choice draws the same numbers
    explanation.endpoint = chooseWith(random, service, idempotent, {}, now);
    const auto indexed = hostsByService_.find(service);
    if (indexed == hostsByService_.end())
        return explanation;
    explanation.endpoints = static_cast<int>(indexed->second.size());
    for (const HostId &host : indexed->second) {
        const EndpointObstacle obstacle = obstacleOn(endpoints_.at(host), idempotent, {}, now);
        if (obstacle == EndpointObstacle::None)
            ++explanation.candidates;
        else
            ++explanation.obstacles[obstacle];
    }
    return explanation;
}

std::optional<HostId> EndpointTable::chooseWith(Random &random, const ServiceId &service,
                                                bool idempotent, const std::set<HostId> &exclude,
                                                Time now) const
{
    const auto indexed = hostsByService_.find(service);
    if (indexed == hostsByService_.end())
        return std::nullopt;
    const std::vector<HostId> &hosts = indexed->second;
    const Endpoint *best = nullptr;
    int candidates = 0;
    const auto consider = [&](const Endpoint &endpoint) {
        if (&endpoint == best
            || obstacleOn(endpoint, idempotent, exclude, now) != EndpointObstacle::None)
            return;
        ++candidates;
        if (!best || loadScore(endpoint) < loadScore(*best))
            best = &endpoint;
    };
    for (int draw = 0; draw < MaxRandomDraws && candidates < 2; ++draw)
        consider(endpoints_.at(hosts[random.below(hosts.size())]));
    for (std::size_t i = 0; i < hosts.size() && !best; ++i)
        consider(endpoints_.at(hosts[i]));
    if (!best)
        return std::nullopt;
    return best->host.id;
}

void EndpointTable::recordStart(const HostId &host, Time now)
{
    Endpoint &endpoint = endpoints_.at(host);
    assert(endpoint.freeSlots() > 0);
    ++endpoint.running;
    if (endpoint.ejected)
        endpoint.nextProbe = now + settings_.probeInterval;
}

void EndpointTable::recordResult(const HostId &host, RunStatus status, int httpStatus,
                                 Duration latency, Time now)
{
    Endpoint &endpoint = endpoints_.at(host);
    assert(endpoint.running > 0);
    --endpoint.running;
    if (status == RunStatus::Unknown) {
        ++endpoint.lostRequests;
        endpoint.lastLostAt = now;
    }
    if (status == RunStatus::Answered) {
        const double sample = toMilliseconds(latency);
        const double weight = endpoint.latencyMs > 0 ? settings_.smoothing : 1;
        endpoint.latencyMs += weight * (sample - endpoint.latencyMs);
    }
    updateHealth(endpoint, status != RunStatus::Answered || httpStatus >= 500, now);
    updateSlots(endpoint);
}

void EndpointTable::updateHealth(Endpoint &endpoint, bool failed, Time now)
{
    ++endpoint.resultCount;
    if (endpoint.ejected) {
        if (!failed) {
            endpoint.ejected = false;
            endpoint.errorRate = 0;
            endpoint.resultCount = 0;
        }
        return;
    }
    endpoint.errorRate += settings_.smoothing * ((failed ? 1.0 : 0.0) - endpoint.errorRate);
    if (endpoint.resultCount < settings_.minResults || endpoint.errorRate < settings_.maxErrorRate)
        return;
    const auto ejected = std::count_if(endpoints_.begin(), endpoints_.end(),
                                       [](const auto &item) { return item.second.ejected; });
    const double limit = settings_.maxEjectedFraction * static_cast<double>(endpoints_.size());
    if (static_cast<double>(ejected + 1) > limit)
        return;
    endpoint.ejected = true;
    endpoint.nextProbe = now + settings_.probeInterval;
}

void EndpointTable::markLeaving(const HostId &host)
{
    const auto found = endpoints_.find(host);
    if (found != endpoints_.end())
        found->second.reportedLeaving = true;
}

const Endpoint *EndpointTable::find(const HostId &host) const
{
    const auto found = endpoints_.find(host);
    return found == endpoints_.end() ? nullptr : &found->second;
}

int EndpointTable::usableSlots(const ServiceId &service) const
{
    const auto indexed = hostsByService_.find(service);
    if (indexed == hostsByService_.end())
        return 0;
    int slots = 0;
    for (const HostId &host : indexed->second) {
        const Endpoint &endpoint = endpoints_.at(host);
        if (endpoint.acceptsRequests() && !endpoint.ejected && endpoint.lostRequests == 0)
            slots += endpoint.ownSlots;
    }
    return slots;
}

int EndpointTable::running() const
{
    int running = 0;
    for (const auto &item : endpoints_)
        running += item.second.running;
    return running;
}

bool EndpointTable::runningRequestsFit(UnitMask units) const
{
    return std::all_of(endpoints_.begin(), endpoints_.end(), [this, units](const auto &item) {
        const Endpoint &endpoint = item.second;
        // Requests of a dead member may still occupy the unverified slots, so these cannot hold
        // requests of this process.
        const UnitMask verified = verifiedUnits(endpoint, units);
        return endpoint.running + endpoint.lostRequests
               <= slotCountOfUnits(verified, endpoint.host.slots, endpoint.rotation);
    });
}

} // namespace monsoonledge
