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
    result.maxRequestRunTime = RunLimit;
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
      admission_(admissionSettings(settings_)), retries_(RetryBudgetSettings()),
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
        Peer &entry = peers_[peer.entry];
        entry.domain = peer.domain;
        entry.address = peer.address;
        entry.lastHeard = now;
        ports_.peers.addPeer(peer.entry, peer.address);
    }
    membership_.start(now);
    watchSheet();
    readHosts(now);
    tick(now);
}

void Node::connectMembership()
{
    membership_.unitIdle = [this](int unit) { return mayFreeUnit(unit); };
    membership_.unitGained.connect(
            [this](const GainedUnit &gained, Time now) { gainUnit(gained, now); });
    membership_.unitReleased.connect([this](int unit, Time now) {
        claims_.closeUnit(unit, now);
        syncUnits(now);
    });
    membership_.memberDied.connect([this](const EntryRun &run, Time now) {
        diedAt_[run] = now;
        log(LogLevel::Warning, "member-died", "a member of the failure domain was proven dead",
            {{"member", run.str()}});
        claims_.mirrorsChanged(now);
    });
    membership_.recordChanged.connect([this](Time now) {
        addRecordMembers(now);
        syncUnits(now);
        claims_.mirrorsChanged(now);
    });
    membership_.expelled.connect([this](Time now) {
        log(LogLevel::Error, "expelled", "the domain record no longer lists this process");
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
        log(LogLevel::Error, "fenced", "another process closed the claim log of this process");
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
    retryHomeWaits(now);
    syncUnits(now);
    if (membership_.ownedUnits() != membership_.usableUnits())
        membership_.recheckReleases(now);
    for (auto &item : peers_) {
        if (item.second.up && now >= item.second.nextHeartbeat)
            sendHeartbeat(item.first, item.second, now);
    }
    sampleEndpoints(now);
    if (now >= nextExpire_) {
        nextExpire_ = now + seconds(1);
        claims_.expire(now);
        claims_.mirrorsChanged(now);
    }
    syncBatchLeader(now);
    batch_.tick(now);
    dispatch(now);
    ports_.timers.after(TickInterval, [this](Time later) { tick(later); });
}

void Node::readHosts(Time)
{
    ports_.hosts.read([this](const HostListing &listing, Time now) {
        if (listing.ok) {
            hostsRead_ = true;
            endpoints_.applyHosts(listing, now);
            batch_.applyHosts(listing, now);
            membership_.hostListRead(listing, now);
            syncUnits(now);
            dispatch(now);
        }
        ports_.timers.after(settings_.timing.hostListInterval,
                            [this](Time later) { readHosts(later); });
    });
}

void Node::sampleEndpoints(Time now)
{
    for (const auto &item : endpoints_.endpoints()) {
        const HostId &host = item.first;
        const Endpoint &endpoint = item.second;
        Time &next = nextSample_[host];
        if (!endpoint.listed || now < next || !sampling_.insert(host).second)
            continue;
        const int factor = endpoint.needsSample ? 1 : SampleBackoff;
        next = now + settings_.timing.statusInterval * factor;
        ports_.endpoints.status(endpoint.host.address,
                                [this, host](const EndpointStatus &status, Time later) {
                                    sampling_.erase(host);
                                    endpoints_.applyStatus(host, status, later);
                                    dispatch(later);
                                });
    }
    for (auto item = nextSample_.begin(); item != nextSample_.end();)
        item = endpoints_.find(item->first) ? std::next(item) : nextSample_.erase(item);
}

void Node::syncUnits(Time now)
{
    // A draining process goes on using the units that it still owns for the requests it has
    // accepted.
    endpoints_.setUnits(draining_ ? membership_.ownedUnits() : membership_.usableUnits());
    for (const ServiceId &service : admission_.services())
        admission_.setSlots(service, endpoints_.usableSlots(service));
    if (membership_.usableUnits() != announcedUnits_) {
        announcedUnits_ = membership_.usableUnits();
        announce(now);
    }
}

void Node::gainUnit(const GainedUnit &gained, Time now)
{
    const bool takenOver = !gained.released && !gained.lastOwner.entry.isEmpty();
    if (takenOver) {
        const auto died = diedAt_.find(gained.lastOwner);
        const Time provenAt = died == diedAt_.end() ? now : died->second;
        endpoints_.addUnverifiedUnits(gained.lastOwner, UnitMask(1) << gained.unit, provenAt);
    }
    const bool known = gained.released || knowsClaimsOf(gained.lastOwner, now);
    claims_.recover(gained.unit, gained.lastOwner, gained.released, known, now, [this](Time later) {
        syncUnits(later);
        announce(later);
        retryHomeWaits(later);
    });
}

bool Node::knowsClaimsOf(const EntryRun &run, Time now) const
{
    const auto peer = peers_.find(run.entry);
    if (peer == peers_.end() || peer->second.last.incarnation != run.incarnation)
        return false;
    const auto died = diedAt_.find(run);
    const Time provenAt = died == diedAt_.end() ? now : died->second;
    return provenAt < peer->second.acknowledgedSentAt + settings_.timing.mirrorDropAfter;
}

bool Node::hasLocalWork() const
{
    return std::any_of(pending_.begin(), pending_.end(), [](const auto &item) {
        const Stage stage = item.second.stage;
        return stage == Stage::Queued || stage == Stage::Running || stage == Stage::Claiming;
    });
}

void Node::syncBatchLeader(Time now)
{
    const bool own = (membership_.usableUnits() & (UnitMask(1) << BatchUnit)) != 0;
    if (own && !batch_.leading())
        batch_.becomeLeader(now);
    else if (!own && batch_.leading())
        batch_.resign(now);
}

bool Node::mayFreeUnit(int unit)
{
    claims_.closeUnit(unit, lastTick_);
    // The next owner would take slots as free on which requests of a dead owner may still run.
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
        const bool silent = now >= peer.lastHeard + settings_.timing.mirrorDropAfter;
        // The record may be old: a linked process is required although the record still names a
        // dead run of it.
        const bool expected = member && diedAt_.count(member->run) == 0;
        if ((peer.up || expected) && !silent)
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
    return !draining_ && hostsRead_ && membership_.usableUnits() != 0;
}

void Node::drain(Time now)
{
    if (draining_)
        return;
    draining_ = true;
    log(LogLevel::Info, "drain-started", "planned stop: no new work is accepted here",
        {{"pending", std::to_string(pending_.size())}});
    membership_.drain(now);
    syncUnits(now);
    announce(now);
}

bool Node::drained() const
{
    return draining_ && pending_.empty() && membership_.drained();
}

std::vector<PeerStatus> Node::peerStatus() const
{
    std::vector<PeerStatus> result;
    for (const auto &item : peers_) {
        const Peer &peer = item.second;
        result.push_back({item.first, peer.domain, peer.up, peer.last.incarnation,
                          peer.last.sheetRevision, peer.last.units});
    }
    return result;
}

} // namespace monsoonledge
