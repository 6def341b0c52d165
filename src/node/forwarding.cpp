// Forwarding of requests to other entry processes.

#include "node/node.h"
#include "node/node_p.h"

namespace monsoonledge {

EntryId Node::choosePeer(const Pending &pending, Duration localWait, Time now)
{
    if (localWait <= ForwardMargin)
        return EntryId();
    EntryId best;
    Duration bestCost = localWait - ForwardMargin;
    for (const auto &item : peers_) {
        const Peer &peer = item.second;
        if (!peer.up || !peer.heard || peer.last.draining || peer.last.load.ownSlots == 0)
            continue;
        const Duration hop = peer.domain == settings_.domain ? LocalHop : RemoteHop;
        // The peer's last report does not include the requests forwarded to it since then.
        const Duration service = admission_.serviceTime(pending.request.requestClass);
        const Duration added = service * peer.outstanding / peer.last.load.ownSlots;
        const Duration age = std::min<Duration>((now - peer.lastHeard) / 10, MaxReportAgeCost);
        const Duration cost = 2 * hop + peer.last.load.predictedWait + added + age;
        if (cost < bestCost) {
            bestCost = cost;
            best = item.first;
        }
    }
    return best;
}

EntryId Node::homePeer(const DomainId &domain, int unit) const
{
    const UnitMask bit = UnitMask(1) << unit;
    for (const auto &item : peers_) {
        const Peer &peer = item.second;
        if (peer.up && peer.heard && peer.domain == domain && (peer.last.units & bit) != 0)
            return item.first;
    }
    return EntryId();
}

bool Node::forward(Token token, const EntryId &entry, bool asHome, Time now)
{
    Pending &pending = pending_.at(token);
    ForwardMessage message;
    message.correlation = token;
    message.asHome = asHome;
    message.request = pending.request;
    message.request.remaining = pending.deadline - now;
    if (message.request.remaining <= Duration::zero() || !ports_.peers.send(entry, message))
        return false;
    pending.stage = Stage::Forwarded;
    pending.forwardedTo = entry;
    ++peers_[entry].outstanding;
    ++counts_[pending.request.requestClass].forwarded;
    return true;
}

void Node::forwardReceived(const EntryId &from, const ForwardMessage &message, Time now)
{
    const Token token = nextToken_++;
    Pending &pending = pending_[token];
    pending.request = message.request;
    pending.fromPeer = true;
    pending.arrived = now;
    const Duration remaining = std::min(message.request.remaining, settings_.limits.maxDeadline);
    pending.deadline = now + remaining;
    const std::uint64_t correlation = message.correlation;
    // A restarted sender uses the same correlation numbers again, so it must not receive the answer
    // to a request of its earlier incarnation.
    const Incarnation sender = peers_[from].last.incarnation;
    pending.respond = [this, from, sender, correlation](const Answer &answer, Time) {
        if (peers_[from].last.incarnation == sender)
            ports_.peers.send(from, AnswerMessage{correlation, answer});
    };
    deadlines_.emplace(pending.deadline, token);
    if (!admission_.knows(message.request.requestClass)) {
        RequestClass definition;
        definition.id = message.request.requestClass;
        definition.service = message.request.service;
        definition.idempotent = message.request.idempotent;
        admission_.ensureClass(definition);
    }
    if (message.asHome)
        submitToHome(token, now);
    else
        submitIdempotent(token, now);
}

void Node::answerReceived(const EntryId &from, const AnswerMessage &message, Time now)
{
    const auto found = pending_.find(message.correlation);
    // The request has ended, or has been retried or forwarded to another process since.
    if (found == pending_.end() || found->second.stage != Stage::Forwarded
        || found->second.forwardedTo != from)
        return;
    Pending &pending = found->second;
    const Answer &answer = message.answer;
    if (answer.attemptNotRun && answer.reason == NotHomeReason) {
        pending.stage = Stage::HomeWait;
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

void Node::forwardLost(const EntryId &entry, Time now)
{
    std::vector<Token> lost;
    for (const auto &item : pending_) {
        if (item.second.stage == Stage::Forwarded && item.second.forwardedTo == entry)
            lost.push_back(item.first);
    }
    for (const Token token : lost) {
        Pending &pending = pending_.at(token);
        const Request &request = pending.request;
        const bool again = request.idempotent && pending.deadline > now
                           && retries_.tryRetry(request.requestClass, request.caller);
        if (again) {
            submitIdempotent(token, now);
            continue;
        }
        complete(token,
                 refusal(Outcome::Unknown, 504, "peer-lost",
                         "the link to the process that runs the request was lost"),
                 now);
    }
}

} // namespace monsoonledge
