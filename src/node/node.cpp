#include "node/node.h"
#include "node/node_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

MembershipSettings membershipSettings(const Settings &settings, const EntryRun &self)
{
    MembershipSettings result;
    result.domain = settings.domain;
    result.self = self;
    result.host = settings.host;
    result.address = settings.peer;
    result.hostGone = settings.timing.hostGone;
    result.soleMember = std::none_of(
            settings.peers.begin(), settings.peers.end(),
            [&settings](const PeerSettings &peer) { return peer.domain == settings.domain; });
    return result;
}

ClaimSettings claimSettings(const Settings &settings, const EntryRun &self)
{
    ClaimSettings result;
    result.domain = settings.domain;
    result.self = self;
    result.writeInterval = settings.timing.claimWriteInterval;
    result.storeDownAfter = settings.timing.storeDownAfter;
    result.retention = settings.timing.claimRetention;
    result.maxRequestRunTime = EndpointTimeout;
    result.maxRememberedBytes = static_cast<std::size_t>(settings.limits.maxRememberedBytes);
    return result;
}

RoutingSettings routingSettings(const Settings &settings)
{
    RoutingSettings result;
    result.sampleSettleTime = settings.timing.takeoverSettle;
    return result;
}

AdmissionSettings admissionSettings(const Settings &settings)
{
    AdmissionSettings result;
    result.maxQueued = settings.limits.maxQueued;
    return result;
}

BatchSettings batchSettings(const Settings &settings, const EntryRun &self)
{
    BatchSettings result;
    result.domain = settings.domain;
    result.self = self;
    result.domains = settings.domains;
    result.lease = settings.timing.taskLease;
    return result;
}

// The owner of this unit is the batch leader of the failure domain.
constexpr int BatchUnit = 0;

} // namespace

Node::Node(Settings settings, Incarnation incarnation, NodePorts ports, std::uint64_t seed)
    : settings_(std::move(settings)), self_{settings_.entry, incarnation}, ports_(std::move(ports)),
      random_(seed),
      membership_(membershipSettings(settings_, self_), ports_.store, ports_.timers, ports_.log),
      claims_(claimSettings(settings_, self_), ports_.store, ports_.timers, ports_.log),
      endpoints_(routingSettings(settings_), settings_.domain, self_, random_.next()),
      admission_(admissionSettings(settings_)), retryBudget_(RetryBudgetSettings()),
      batch_(batchSettings(settings_, self_), ports_.store, ports_.workers, ports_.timers,
             ports_.log)
{ }

void Node::start(Time now)
{
    started_ = now;
    lastTick_ = now;
    connectMembership();
    connectClaims();
    connectPeers();
    for (const PeerSettings &peer : settings_.peers) {
        Peer &added = peers_[peer.entry];
        added.domain = peer.domain;
        added.address = peer.address;
        added.lastHeardAt = now;
        ports_.peers.addPeer(peer.entry, peer.address);
    }
    membership_.start(now);
    watchSheet();
    readHostList(now);
    tick(now);
}

void Node::connectMembership()
{
    membership_.unitIdle = [this](int unit) { return prepareRelease(unit); };
    membership_.unitGained.connect(
            [this](const GainedUnit &gained, Time now) { onUnitGained(gained, now); });
    membership_.unitReleased.connect([this](int unit, Time now) {
        claims_.closeUnit(unit, now);
        updateUsableUnits(now);
    });
    membership_.memberDied.connect([this](const EntryRun &run, Time now) {
        provenDeadAt_[run] = now;
        log(LogLevel::Warning, "member-died",
            "a member of the failure domain was proven dead; its share units can be taken over",
            {{"member", run.str()}});
        claims_.mirrorsChanged(now);
    });
    membership_.recordChanged.connect([this](Time now) {
        addPeersFromRecord(now);
        updateUsableUnits(now);
        claims_.mirrorsChanged(now);
    });
    membership_.expelled.connect([this](Time now) {
        log(LogLevel::Error, "expelled",
            "the domain record no longer lists this process, which must end");
        expelled.emit(now);
    });
}

void Node::connectClaims()
{
    claims_.requiredMirrors = [this] { return requiredMirrors(lastTick_); };
    claims_.sendClaimMessage = [this](const EntryId &to, const ClaimMessage &message) {
        return ports_.peers.send(to, message);
    };
    claims_.hasLeftDomain = [this](const EntryRun &run) {
        const Member *member = membership_.record().findMember(run.entry);
        return !member || member->run != run;
    };
    claims_.fenced.connect([this](Time now) {
        log(LogLevel::Error, "fenced",
            "another process closed the claim log of this process, which must end");
        expelled.emit(now);
    });
}

void Node::log(LogLevel level, const char *event, const std::string &message,
               std::vector<std::pair<std::string, std::string>> fields) const
{
    if (ports_.log)
        ports_.log({level, event, message, std::move(fields)});
}

void Node::tick(Time now)
{
    lastTick_ = now;
    expireRequests(now);
    retryWaitingForHome(now);
    updateUsableUnits(now);
    if (membership_.ownedUnits() != membership_.usableUnits())
        membership_.recheckReleases(now);
    for (auto &item : peers_) {
        if (item.second.up && now >= item.second.nextHeartbeat)
            sendHeartbeat(item.first, item.second, now);
    }
    sampleEndpoints(now);
    if (now >= nextClaimExpiryAt_) {
        nextClaimExpiryAt_ = now + seconds(1);
        claims_.expire(now);
        claims_.mirrorsChanged(now);
    }
    updateBatchLeadership(now);
    batch_.tick(now);
    dispatch(now);
    ports_.timers.after(TickInterval, [this](Time later) { tick(later); });
}

void Node::readHostList(Time)
{
    ports_.hosts.read([this](const HostListing &listing, Time now) {
        if (listing.ok) {
            hostListRead_ = true;
            endpoints_.applyHosts(listing, now);
            batch_.applyHosts(listing, now);
            membership_.hostListRead(listing, now);
            updateUsableUnits(now);
            dispatch(now);
        }
        ports_.timers.after(settings_.timing.hostListInterval,
                            [this](Time later) { readHostList(later); });
    });
}

void Node::sampleEndpoints(Time now)
{
    for (const auto &item : endpoints_.endpoints()) {
        const HostId &host = item.first;
        const Endpoint &endpoint = item.second;
        Time &next = nextSampleAt_[host];
        if (!endpoint.listed || now < next || !statusCallsInFlight_.insert(host).second)
            continue;
        const int factor = endpoint.needsSample ? 1 : SampleBackoffFactor;
        next = now + settings_.timing.statusInterval * factor;
        ports_.endpoints.status(endpoint.host.address,
                                [this, host](const EndpointStatus &status, Time later) {
                                    statusCallsInFlight_.erase(host);
                                    endpoints_.applyStatus(host, status, later);
                                    dispatch(later);
                                });
    }
    for (auto item = nextSampleAt_.begin(); item != nextSampleAt_.end();)
        item = endpoints_.find(item->first) ? std::next(item) : nextSampleAt_.erase(item);
}

void Node::updateUsableUnits(Time now)
{
    // A draining process uses the units that it still owns until its accepted requests have ended.
    endpoints_.setUnits(draining_ ? membership_.ownedUnits() : membership_.usableUnits());
    for (const ServiceId &service : admission_.services())
        admission_.setSlots(service, endpoints_.usableSlots(service));
    if (membership_.usableUnits() != announcedUnits_) {
        announcedUnits_ = membership_.usableUnits();
        sendHeartbeats(now);
    }
}

void Node::onUnitGained(const GainedUnit &gained, Time now)
{
    const bool takenOver = !gained.released && !gained.lastOwner.entry.isEmpty();
    if (takenOver) {
        const auto died = provenDeadAt_.find(gained.lastOwner);
        const Time provenAt = died == provenDeadAt_.end() ? now : died->second;
        endpoints_.addUnverifiedUnits(gained.lastOwner, UnitMask(1) << gained.unit, provenAt);
    }
    const bool claimsKnown = gained.released || knowsClaimsOf(gained.lastOwner, now);
    claims_.recover(gained.unit, gained.lastOwner, gained.released, claimsKnown, now,
                    [this](Time later) {
                        updateUsableUnits(later);
                        sendHeartbeats(later);
                        retryWaitingForHome(later);
                    });
}

bool Node::knowsClaimsOf(const EntryRun &run, Time now) const
{
    const auto peer = peers_.find(run.entry);
    if (peer == peers_.end() || peer->second.lastHeartbeat.incarnation != run.incarnation)
        return false;
    const auto died = provenDeadAt_.find(run);
    const Time provenAt = died == provenDeadAt_.end() ? now : died->second;
    return provenAt < peer->second.lastAcknowledgedSentAt + settings_.timing.mirrorDropAfter;
}

bool Node::hasLocalWork() const
{
    return std::any_of(pendingRequests_.begin(), pendingRequests_.end(), [](const auto &item) {
        const Stage stage = item.second.stage;
        return stage == Stage::Queued || stage == Stage::Running || stage == Stage::Claiming;
    });
}

void Node::updateBatchLeadership(Time now)
{
    const bool ownsBatchUnit = (membership_.usableUnits() & (UnitMask(1) << BatchUnit)) != 0;
    if (ownsBatchUnit && !batch_.leading())
        batch_.becomeLeader(now);
    else if (!ownsBatchUnit && batch_.leading())
        batch_.resign(now);
}

bool Node::prepareRelease(int unit)
{
    claims_.closeUnit(unit, lastTick_);
    // Requests of a dead former owner may still run in slots that are not verified. The next owner
    // would not know of them and use these slots.
    if (!claims_.unitIdle(unit) || !endpoints_.isUnitVerified(unit))
        return false;
    if (unit == BatchUnit && (batch_.leading() || !batch_.hasNoCallsInFlight()))
        return false;
    return draining_ ? !hasLocalWork() : endpoints_.runningRequestsFit(membership_.usableUnits());
}

std::vector<EntryId> Node::requiredMirrors(Time now) const
{
    std::vector<EntryId> required;
    for (const auto &item : peers_) {
        const Peer &peer = item.second;
        if (peer.domain != settings_.domain)
            continue;
        const Member *member = membership_.record().findMember(item.first);
        const bool unresponsive = now >= peer.lastHeardAt + settings_.timing.mirrorDropAfter;
        // The record may be outdated: a linked process is required even if the record still lists
        // a dead incarnation of it.
        const bool expected = member && provenDeadAt_.count(member->run) == 0;
        if ((peer.up || expected) && !unresponsive)
            required.push_back(item.first);
    }
    return required;
}

RequestId Node::issueId(Time now)
{
    return claims_.issueId(now);
}

bool Node::ready() const
{
    return !draining_ && hostListRead_ && membership_.usableUnits() != 0;
}

void Node::drain(Time now)
{
    if (draining_)
        return;
    draining_ = true;
    log(LogLevel::Info, "drain-started", "planned stop: new requests are forwarded or refused",
        {{"pending", std::to_string(pendingRequests_.size())}});
    membership_.drain(now);
    updateUsableUnits(now);
    sendHeartbeats(now);
}

bool Node::drained() const
{
    return draining_ && pendingRequests_.empty() && membership_.drained();
}

std::vector<PeerStatus> Node::peerStatus() const
{
    std::vector<PeerStatus> result;
    for (const auto &item : peers_) {
        const Peer &peer = item.second;
        result.push_back({item.first, peer.domain, peer.up, peer.lastHeartbeat.incarnation,
                          peer.lastHeartbeat.sheetRevision, peer.lastHeartbeat.units});
    }
    return result;
}

} // namespace monsoonledge
