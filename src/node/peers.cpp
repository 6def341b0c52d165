// Links to the other entry processes: heartbeats, load reports and peers from the domain record.

#include "node/node.h"
#include "node/node_p.h"

namespace monsoonledge {

namespace {

// Maximum number of heartbeats to a peer that wait for their acknowledgement. An acknowledgement of
// an older one is ignored.
constexpr std::size_t MaxUnacknowledgedHeartbeats = 16;

} // namespace

void Node::connectPeers()
{
    PeerPort &port = ports_.peers;
    port.linkUp.connect([this](const EntryId &entry, Incarnation incarnation, Time now) {
        onPeerUp(entry, incarnation, now);
    });
    port.linkDown.connect([this](const EntryId &entry, LinkLoss loss, Time now) {
        onPeerDown(entry, loss, now);
    });
    port.heartbeatReceived.connect([this](const EntryId &entry, const Heartbeat &message,
                                          Time now) { onHeartbeat(entry, message, now); });
    port.forwardReceived.connect([this](const EntryId &entry, const ForwardMessage &message,
                                        Time now) { onForward(entry, message, now); });
    port.answerReceived.connect([this](const EntryId &entry, const AnswerMessage &message,
                                       Time now) { onAnswer(entry, message, now); });
    port.claimReceived.connect([this](const EntryId &entry, const ClaimMessage &message, Time now) {
        Peer &peer = peers_[entry];
        if (claims_.receiveMirroredClaims({entry, peer.lastHeartbeat.incarnation}, message, now))
            ports_.peers.send(entry, ClaimAckMessage{message.sequence});
    });
    port.claimAckReceived.connect(
            [this](const EntryId &entry, const ClaimAckMessage &message, Time now) {
                claims_.receiveAcknowledgement(entry, message.sequence, now);
            });
    port.sheetReceived.connect([this](const EntryId &entry, const SheetMessage &message, Time now) {
        adoptSheet({message.revision, message.author, message.text}, entry.str().c_str(), now);
    });
    port.sheetRequested.connect([this](const EntryId &entry, const SheetRequestMessage &, Time) {
        if (sheetVersion_.revision.value > 0) {
            ports_.peers.send(entry, SheetMessage{sheetVersion_.revision, sheetVersion_.author,
                                                  sheetVersion_.text});
        }
    });
}

void Node::addPeersFromRecord(Time now)
{
    for (const Member &member : membership_.record().members) {
        if (member.run.entry == self_.entry)
            continue;
        Peer &peer = peers_[member.run.entry];
        if (peer.address == member.address && peer.recordedIncarnation == member.run.incarnation)
            continue;
        if (peer.address != member.address) {
            if (peer.address.port != 0)
                ports_.peers.removePeer(member.run.entry);
            peer.domain = settings_.domain;
            peer.address = member.address;
            peer.up = false;
            peer.lastHeardAt = now;
        }
        peer.recordedIncarnation = member.run.incarnation;
        // Adding a peer again cancels a connection attempt in progress. Its refusal would count as
        // proof that the new incarnation is dead, although it concerned the previous one.
        ports_.peers.addPeer(member.run.entry, member.address);
    }
}

void Node::onPeerUp(const EntryId &entry, Incarnation incarnation, Time now)
{
    Peer &peer = peers_[entry];
    peer.up = true;
    peer.hasHeartbeat = false;
    peer.lastHeardAt = now;
    peer.lastHeartbeat = Heartbeat();
    peer.lastHeartbeat.entry = entry;
    peer.lastHeartbeat.incarnation = incarnation;
    peer.forwardsSinceHeartbeat = 0;
    peer.unacknowledgedSentAt.clear();
    log(LogLevel::Info, "peer-up", "the link to an entry process is up", {{"peer", entry.str()}});
    if (peer.domain == settings_.domain) {
        membership_.peerUp(entry, incarnation, now);
        // Claims are sent before any heartbeat. Messages arrive in order, so once the peer receives
        // the acknowledgement of a heartbeat that it sent on this link, it has all the claims.
        claims_.peerLinked(entry, now);
    }
    sendHeartbeat(entry, peer, now);
}

void Node::onPeerDown(const EntryId &entry, LinkLoss loss, Time now)
{
    Peer &peer = peers_[entry];
    if (peer.up) {
        peer.up = false;
        log(LogLevel::Warning, "peer-down",
            "the link to an entry process is down; requests forwarded to it are retried or end as "
            "unknown",
            {{"peer", entry.str()},
             {"cause", loss == LinkLoss::Refused  ? "refused"
                       : loss == LinkLoss::Closed ? "closed"
                                                  : "timed-out"}});
        handleLostForwards(entry, now);
    }
    if (peer.domain == settings_.domain)
        membership_.peerLost(entry, loss, now);
}

void Node::onHeartbeat(const EntryId &entry, const Heartbeat &message, Time now)
{
    Peer &peer = peers_[entry];
    const bool firstOnLink = !peer.hasHeartbeat;
    const bool unitsChanged = peer.lastHeartbeat.units != message.units || !peer.hasHeartbeat;
    // While the peer was silent, claims may have been granted without its acknowledgement. As after
    // a new link, they are sent before the heartbeat that acknowledges this one.
    if (now >= peer.lastHeardAt + settings_.timing.mirrorDropAfter)
        claims_.peerLinked(entry, now);
    peer.hasHeartbeat = true;
    peer.lastHeartbeat = message;
    peer.lastHeardAt = now;
    peer.lastSequenceReceived = message.sequence;
    peer.forwardsSinceHeartbeat = 0;
    const auto acknowledged = peer.unacknowledgedSentAt.find(message.acknowledged);
    if (acknowledged != peer.unacknowledgedSentAt.end()) {
        peer.lastAcknowledgedSentAt = acknowledged->second;
        peer.unacknowledgedSentAt.erase(peer.unacknowledgedSentAt.begin(), std::next(acknowledged));
    }
    // The first heartbeat on a link is acknowledged at once. Until then a member of the domain does
    // not know whether it has all claims of this process. If this process died before, the member
    // would answer "unknown" for request ids of its units.
    if (firstOnLink && peer.domain == settings_.domain)
        sendHeartbeat(entry, peer, now);
    if (message.sheetRevision > sheetVersion_.revision)
        ports_.peers.send(entry, SheetRequestMessage());
    else if (message.sheetRevision < sheetVersion_.revision)
        ports_.peers.send(entry, SheetMessage{sheetVersion_.revision, sheetVersion_.author,
                                              sheetVersion_.text});
    if (unitsChanged)
        retryWaitingForHome(now);
}

void Node::sendHeartbeat(const EntryId &entry, Peer &peer, Time now)
{
    const bool local = peer.domain == settings_.domain;
    peer.nextHeartbeat = now
                         + (local ? settings_.timing.heartbeatInterval
                                  : settings_.timing.remoteHeartbeatInterval);
    Heartbeat message;
    message.domain = settings_.domain;
    message.entry = self_.entry;
    message.incarnation = self_.incarnation;
    message.sequence = ++peer.heartbeatsSent;
    message.acknowledged = peer.lastSequenceReceived;
    message.sheetRevision = sheetVersion_.revision;
    message.storeReachable = membership_.storeReachable();
    message.draining = draining_;
    message.load = loadReport();
    for (int unit = 0; unit < UnitCount; ++unit) {
        const UnitMask bit = UnitMask(1) << unit;
        if ((membership_.usableUnits() & bit) != 0 && claims_.isReady(unit))
            message.units |= bit;
    }
    peer.unacknowledgedSentAt[message.sequence] = now;
    if (peer.unacknowledgedSentAt.size() > MaxUnacknowledgedHeartbeats)
        peer.unacknowledgedSentAt.erase(peer.unacknowledgedSentAt.begin());
    ports_.peers.send(entry, message);
}

void Node::sendHeartbeats(Time now)
{
    for (auto &item : peers_) {
        if (item.second.up)
            sendHeartbeat(item.first, item.second, now);
    }
}

LoadReport Node::loadReport() const
{
    LoadReport load;
    load.running = endpoints_.running();
    load.queued = admission_.queued();
    for (const ServiceId &service : admission_.services())
        load.ownSlots += endpoints_.usableSlots(service);
    for (const Service &service : sheet_.services) {
        for (const RequestClass &definition : service.classes) {
            load.predictedWait =
                    std::max(load.predictedWait, admission_.predictedWait(definition.id));
        }
    }
    return load;
}

} // namespace monsoonledge
