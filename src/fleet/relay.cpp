#include "fleet/relay.h"

#include <algorithm>
#include <tuple>

namespace monsoonledge {

namespace {

constexpr Duration PeerTimeout = milliseconds(400);
constexpr Duration PeerPause = seconds(2); // in which a peer that failed is skipped
constexpr Duration MinTimeLeft = milliseconds(20); // no attempt is made with less
constexpr Duration ProofLifetime =
        seconds(2); // of an answer that shows that a peer reaches the store
constexpr int MaxAttempts = 2; // peers for each request
constexpr int MaxInFlight = 64; // requests
// Attempts in a row that reached no process with contact to the store. After them the store is
// considered down for all hosts: requests are not forwarded, except for one in each interval.
constexpr int MaxFailuresInARow = 6;
constexpr Duration StoreDownRetryInterval = milliseconds(500);

/// True if the answer is final for the caller.
bool isDefinite(RelayRequest::Kind request, RelayAnswer::Kind answer)
{
    switch (answer) {
    case RelayAnswer::Kind::Stored:
        return request == RelayRequest::Kind::Submit || request == RelayRequest::Kind::Cancel;
    case RelayAnswer::Kind::Overloaded:
        return request == RelayRequest::Kind::Submit;
    case RelayAnswer::Kind::NoSuchJob:
        return request == RelayRequest::Kind::Cancel || request == RelayRequest::Kind::State;
    case RelayAnswer::Kind::State:
        return request == RelayRequest::Kind::State;
    case RelayAnswer::Kind::Reachable:
        return request == RelayRequest::Kind::Probe;
    default:
        return false;
    }
}

/// True if the peer's answer shows that it has not stored anything and will not.
bool excludesStoring(RelayAnswer::Kind answer)
{
    return answer == RelayAnswer::Kind::NotStored || answer == RelayAnswer::Kind::NotReachable;
}

const char *answerName(RelayAnswer::Kind kind)
{
    switch (kind) {
    case RelayAnswer::Kind::Stored:
        return "stored";
    case RelayAnswer::Kind::NotStored:
        return "not_stored";
    case RelayAnswer::Kind::NoSuchJob:
        return "no_such_job";
    case RelayAnswer::Kind::State:
        return "state";
    case RelayAnswer::Kind::NotReachable:
        return "not_reachable";
    case RelayAnswer::Kind::Overloaded:
        return "overloaded";
    default:
        return "unknown";
    }
}

} // namespace

// Order of the peers

void RelayPeers::replace(std::vector<RelayPeer> peers)
{
    std::map<std::string, Peer> replaced;
    for (RelayPeer &peer : peers) {
        if (peer.name == self_)
            continue;
        Peer entry;
        entry.rank = stableHash(self_ + '/' + peer.name);
        const auto found = peers_.find(peer.name);
        if (found != peers_.end() && found->second.peer.address == peer.address)
            entry.failedAt = found->second.failedAt;
        entry.peer = std::move(peer);
        replaced[entry.peer.name] = entry;
    }
    peers_ = std::move(replaced);
}

std::optional<RelayPeer> RelayPeers::choose(const std::optional<RelayPeer> &tried, Time now) const
{
    const auto key = [&](const Peer &peer) {
        const bool isInTriedDomain = tried && peer.peer.domain == tried->domain;
        const bool isInOtherDomain = peer.peer.domain != domain_;
        return std::make_tuple(peer.failedAt.has_value(), isInTriedDomain, isInOtherDomain,
                               peer.rank);
    };
    const Peer *best = nullptr;
    for (const auto &[name, peer] : peers_) {
        const bool isPaused = peer.failedAt && now - *peer.failedAt < PeerPause;
        if (isPaused || (tried && tried->name == name))
            continue;
        if (!best || key(peer) < key(*best))
            best = &peer;
    }
    return best ? std::optional<RelayPeer>(best->peer) : std::nullopt;
}

bool RelayPeers::onFailed(const std::string &name, Time now)
{
    const auto found = peers_.find(name);
    if (found == peers_.end())
        return false;
    const bool isFirst = !found->second.failedAt;
    found->second.failedAt = now;
    return isFirst;
}

void RelayPeers::onSucceeded(const std::string &name)
{
    const auto found = peers_.find(name);
    if (found != peers_.end())
        found->second.failedAt.reset();
}

// Requests in flight

Relay::Relay(RelayPeers peers, RelayPort &port, LogHook log)
    : peers_(std::move(peers)), port_(port), log_(std::move(log))
{ }

bool Relay::canForward(Time now) const
{
    return !peers_.isEmpty() && lastReachedAt_ && now - *lastReachedAt_ < ProofLifetime;
}

void Relay::count(const RelayRequest &request, const std::string &outcome)
{
    if (request.kind != RelayRequest::Kind::Probe)
        ++counts_[outcome];
}

void Relay::forward(const RelayRequest &request, bool maybeStored, Time deadline, Done done,
                    Time now)
{
    const bool isProbe = request.kind == RelayRequest::Kind::Probe;
    const bool isLimited = !isProbe && failuresInARow_ >= MaxFailuresInARow;
    const bool isStoreDown = isLimited && now < nextTrialAt_;
    if (isLimited && !isStoreDown)
        nextTrialAt_ = now + StoreDownRetryInterval;
    if (inFlight_ >= MaxInFlight || isStoreDown) {
        count(request, isStoreDown ? "store_down" : "over_limit");
        done({maybeStored ? RelayAnswer::Kind::Unknown : RelayAnswer::Kind::NotStored}, now);
        return;
    }
    ++inFlight_;
    auto pending = std::make_shared<Pending>();
    pending->request = request;
    pending->deadline = deadline;
    pending->done = std::move(done);
    pending->maybeStored = maybeStored;
    attempt(pending, now);
}

void Relay::attempt(const std::shared_ptr<Pending> &pending, Time now)
{
    const Duration timeLeft = std::min<Duration>(pending->deadline - now, PeerTimeout);
    std::optional<RelayPeer> peer;
    if (pending->attempts < MaxAttempts && timeLeft >= MinTimeLeft)
        peer = peers_.choose(pending->tried, now);
    if (!peer) {
        finish(*pending,
               {pending->maybeStored ? RelayAnswer::Kind::Unknown : RelayAnswer::Kind::NotStored},
               now);
        return;
    }
    ++pending->attempts;
    pending->tried = peer;
    pending->request.timeLeft = timeLeft;
    port_.send(*peer, pending->request, timeLeft,
               [this, pending, timeLeft,
                alive = std::weak_ptr<int>(alive_)](const RelayResult &result, Time eventTime) {
                   if (!alive.expired())
                       onResult(pending, result, timeLeft, eventTime);
               });
}

void Relay::onResult(const std::shared_ptr<Pending> &pending, const RelayResult &result,
                     Duration timeout, Time now)
{
    const RelayPeer &peer = *pending->tried;
    const RelayAnswer::Kind kind = result.answer.kind;
    const bool isAnswered = result.delivery == RelayDelivery::Answered;
    if (isAnswered && isDefinite(pending->request.kind, kind)) {
        peers_.onSucceeded(peer.name);
        lastReachedAt_ = now;
        failuresInARow_ = 0;
        RelayAnswer answer = result.answer;
        if (kind == RelayAnswer::Kind::Overloaded && pending->maybeStored)
            answer.kind = RelayAnswer::Kind::Unknown; // an earlier attempt may have stored it
        finish(*pending, answer, now);
        return;
    }
    // A lost answer, and an answer that does not fit the request, leave the outcome open. So does a
    // second peer that has not stored the submission: the first one may have.
    const bool isExcluded =
            result.delivery == RelayDelivery::NotSent || (isAnswered && excludesStoring(kind));
    pending->maybeStored = pending->maybeStored || !isExcluded;
    // A caller with a short deadline does not show that the peer is slow.
    const bool isCutShort =
            timeout < PeerTimeout && (result.delivery == RelayDelivery::Lost || result.isTimedOut);
    ++failuresInARow_;
    nextTrialAt_ = now + StoreDownRetryInterval;
    if (!isCutShort)
        noteFailure(peer, isAnswered ? answerName(kind) : result.detail, now);
    attempt(pending, now);
}

void Relay::noteFailure(const RelayPeer &peer, const std::string &cause, Time now)
{
    if (!peers_.onFailed(peer.name, now))
        return;
    log_({LogLevel::Info,
          "relay-peer-failed",
          "another process has not taken a forwarded request; it is skipped for 2 s",
          {{"peer", peer.name}, {"address", peer.address.str()}, {"cause", cause}}});
}

void Relay::finish(const Pending &pending, const RelayAnswer &answer, Time now)
{
    --inFlight_;
    count(pending.request, answerName(answer.kind));
    pending.done(answer, now);
}

} // namespace monsoonledge
