// Forwarding of requests to other entry processes.

#include "node/node.h"
#include "node/node_p.h"

namespace monsoonledge {

EntryId Node::choosePeer(const PendingRequest &pending, Duration localWait, Time now)
{
    if (localWait <= MinForwardGain)
        return EntryId();
    EntryId best;
    Duration bestCost = localWait - MinForwardGain;
    for (const auto &item : peers_) {
        const Peer &peer = item.second;
        if (!peer.up || !peer.hasHeartbeat || peer.lastHeartbeat.draining
            || peer.lastHeartbeat.load.ownSlots == 0)
            continue;
        const Duration hopLatency =
                peer.domain == settings_.domain ? LocalHopLatency : RemoteHopLatency;
        // The peer's last report does not include the requests forwarded to it since then.
        const Duration serviceTime = admission_.serviceTime(pending.request.requestClass);
        const Duration forwardedWait =
                serviceTime * peer.forwardsSinceHeartbeat / peer.lastHeartbeat.load.ownSlots;
        const Duration agePenalty =
                std::min<Duration>((now - peer.lastHeardAt) / 10, MaxReportAgeCost);
        const Duration cost =
                2 * hopLatency + peer.lastHeartbeat.load.predictedWait + forwardedWait + agePenalty;
        if (cost < bestCost) {
            bestCost = cost;
            best = item.first;
        }
    }
    return best;
}

EntryId Node::findHomePeer(const DomainId &domain, int unit) const
{
    const UnitMask bit = UnitMask(1) << unit;
    for (const auto &item : peers_) {
        const Peer &peer = item.second;
        if (peer.up && peer.hasHeartbeat && peer.domain == domain
            && (peer.lastHeartbeat.units & bit) != 0)
            return item.first;
    }
    return EntryId();
}

bool Node::forward(RequestToken token, const EntryId &entry, bool asHome, Time now)
{
    PendingRequest &pending = pendingRequests_.at(token);
    ForwardMessage message;
    message.correlation = token;
    message.asHome = asHome;
    message.request = pending.request;
    message.request.remaining = pending.deadline - now;
    if (message.request.remaining <= Duration::zero() || !ports_.peers.send(entry, message))
        return false;
    pending.stage = Stage::Forwarded;
    pending.forwardedTo = entry;
    ++peers_[entry].forwardsSinceHeartbeat;
    ++classCounts_[pending.request.requestClass].forwarded;
    return true;
}

void Node::onForward(const EntryId &from, const ForwardMessage &message, Time now)
{
    const RequestToken token = nextToken_++;
    PendingRequest &pending = pendingRequests_[token];
    pending.request = message.request;
    pending.fromPeer = true;
    pending.arrived = now;
    const Duration remaining = std::min(message.request.remaining, settings_.limits.maxDeadline);
    pending.deadline = now + remaining;
    const std::uint64_t correlation = message.correlation;
    // A restarted sender uses the same correlation numbers again, so it must not receive the answer
    // to a request of its earlier incarnation.
    const Incarnation sender = peers_[from].lastHeartbeat.incarnation;
    pending.respond = [this, from, sender, correlation](const Answer &answer, Time) {
        if (peers_[from].lastHeartbeat.incarnation == sender)
            ports_.peers.send(from, AnswerMessage{correlation, answer});
    };
    deadlines_.emplace(pending.deadline, token);
    if (!admission_.hasClass(message.request.requestClass)) {
        RequestClass definition;
        definition.id = message.request.requestClass;
        definition.service = message.request.service;
        definition.idempotent = message.request.idempotent;
        admission_.addOrUpdateClass(definition);
    }
    if (message.asHome)
        submitToHome(token, now);
    else
        submitIdempotent(token, now);
}

void Node::onAnswer(const EntryId &from, const AnswerMessage &message, Time now)
{
    const auto found = pendingRequests_.find(message.correlation);
    // The request has ended, or has been retried or forwarded to another process since.
    if (found == pendingRequests_.end() || found->second.stage != Stage::Forwarded
        || found->second.forwardedTo != from)
        return;
    PendingRequest &pending = found->second;
    const Answer &answer = message.answer;
    if (answer.attemptNotRun && answer.reason == NotHomeReason) {
        pending.stage = Stage::WaitingForHome;
        return;
    }
    const bool refused = answer.outcome == Outcome::NotRun && pending.request.idempotent;
    if (refused && !draining_) {
        pending.fromPeer = true;
        enqueue(message.correlation, now);
        return;
    }
    complete(message.correlation, answer, now);
}

void Node::handleLostForwards(const EntryId &entry, Time now)
{
    std::vector<RequestToken> lostTokens;
    for (const auto &item : pendingRequests_) {
        if (item.second.stage == Stage::Forwarded && item.second.forwardedTo == entry)
            lostTokens.push_back(item.first);
    }
    for (const RequestToken token : lostTokens) {
        PendingRequest &pending = pendingRequests_.at(token);
        const Request &request = pending.request;
        const bool mayRetry = request.idempotent && pending.deadline > now
                              && retryBudget_.tryTakeRetry(request.requestClass, request.caller);
        if (mayRetry) {
            submitIdempotent(token, now);
            continue;
        }
        complete(token,
                 refusalAnswer(Outcome::Unknown, 504, "peer-lost",
                               "the link to the process that runs the request was lost"),
                 now);
    }
}

} // namespace monsoonledge
