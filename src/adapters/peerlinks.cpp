// Links between entry processes. The connections themselves are in peerchannel.cpp.
//
// Sections:
//   [1] Connection attempts, link states
//   [2] Hello exchange and messages
#include "adapters/peerlistener_p.h"

#include <cassert>
#include <stdexcept>

namespace monsoonledge {

namespace {

constexpr int ProtocolVersion = 1;
constexpr std::size_t MaxUnidentifiedChannels = 128; // accepted, without a hello

// [1] Connection attempts, link states

class PeerLinks : public PeerPort
{
public:
    PeerLinks(EventLoop &loop, PeerLinkSettings settings);
    ~PeerLinks() override;
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    void addPeer(const EntryId &entry, const Address &address) override;
    void removePeer(const EntryId &entry) override;
    bool send(const EntryId &to, const Heartbeat &m) override { return encodeAndSend(to, m); }
    bool send(const EntryId &to, const ForwardMessage &m) override { return encodeAndSend(to, m); }
    bool send(const EntryId &to, const AnswerMessage &m) override { return encodeAndSend(to, m); }
    bool send(const EntryId &to, const ClaimMessage &m) override { return encodeAndSend(to, m); }
    bool send(const EntryId &to, const ClaimAckMessage &m) override { return encodeAndSend(to, m); }
    bool send(const EntryId &to, const SheetMessage &m) override { return encodeAndSend(to, m); }
    bool send(const EntryId &to, const SheetRequestMessage &m) override
    {
        return encodeAndSend(to, m);
    }

private:
    void sendHello(PeerChannel &channel);
    void received(const PeerChannelPtr &channel, const std::string &bytes, Time now);
    void lost(const PeerChannelPtr &channel, Time now);

    struct Peer
    {
        Address address;
        PeerChannelPtr attempt; // connection attempt or probe in progress
        PeerChannelPtr link; // established channel, null while the link is down
        std::optional<TimerId> retryTimer; // starts the next attempt
    };

    void scheduleAttempt(const EntryId &entry, Peer &peer, Duration delay);
    void startAttempt(const EntryId &entry);
    void cancelAttempt(Peer &peer);
    void receivedHello(const PeerChannelPtr &channel, const PeerHello &hello, Time now);
    template<typename M> bool encodeAndSend(const EntryId &to, const M &message);

    PeerChannelContext context_;
    PeerListener listener_; // owns the channels that wait for the hello
    std::map<EntryId, Peer> peers_;
    std::map<EntryId, Incarnation> latestIncarnations_; // kept by removePeer()
};

PeerLinks::PeerLinks(EventLoop &loop, PeerLinkSettings settings)
    : context_(loop, std::move(settings)),
      listener_(context_, "peers", {MaxUnidentifiedChannels, context_.settings.reconnectDelay})
{
    context_.opened = [this](PeerChannel &channel) { sendHello(channel); };
    context_.received = [this](const PeerChannelPtr &channel, const std::string &bytes, Time now) {
        received(channel, bytes, now);
    };
    context_.lost = [this](const PeerChannelPtr &channel, Time now) { lost(channel, now); };
}

PeerLinks::~PeerLinks()
{
    while (!peers_.empty())
        removePeer(peers_.begin()->first);
}

void PeerLinks::addPeer(const EntryId &entry, const Address &address)
{
    assert(!entry.isEmpty() && entry != context_.settings.self.entry);
    const auto [found, added] = peers_.try_emplace(entry);
    Peer &peer = found->second;
    if (!added && peer.address == address) {
        // The refusal of a connect in progress may predate the event that made the caller call
        // again, such as a new incarnation of the peer. Only a connect that starts now tells
        // whether that incarnation listens.
        if (peer.attempt && !peer.attempt->isConnected()) {
            cancelAttempt(peer);
            scheduleAttempt(entry, peer, Duration(0));
        }
        return;
    }
    peer.address = address;
    cancelAttempt(peer);
    if (peer.link)
        peer.link->fail(LinkLoss::Closed); // lost() schedules an attempt to the new address
    else
        scheduleAttempt(entry, peer,
                        context_.settings.self.entry < entry ? Duration(0)
                                                             : context_.settings.reconnectDelay);
}

void PeerLinks::removePeer(const EntryId &entry)
{
    const auto found = peers_.find(entry);
    if (found == peers_.end())
        return;
    cancelAttempt(found->second);
    if (found->second.link)
        found->second.link->close();
    peers_.erase(found);
}

void PeerLinks::scheduleAttempt(const EntryId &entry, Peer &peer, Duration delay)
{
    assert(!peer.retryTimer && !peer.attempt);
    peer.retryTimer = context_.loop.after(delay, [this, entry](Time) { startAttempt(entry); });
}

void PeerLinks::startAttempt(const EntryId &entry)
{
    Peer &peer = peers_.at(entry);
    peer.retryTimer.reset();
    const bool connects = context_.settings.self.entry < entry;
    peer.attempt = std::make_shared<PeerChannel>(
            context_, connects ? PeerChannelKind::Connector : PeerChannelKind::Probe, entry);
    peer.attempt->connect(peer.address);
}

void PeerLinks::cancelAttempt(Peer &peer)
{
    if (peer.retryTimer)
        context_.loop.cancel(*peer.retryTimer);
    peer.retryTimer.reset();
    if (peer.attempt)
        peer.attempt->close();
    peer.attempt.reset();
}

void PeerLinks::lost(const PeerChannelPtr &channel, Time now)
{
    const LinkLoss loss = channel->loss();
    channel->close();
    listener_.release(channel);
    const auto found = peers_.find(channel->peer());
    if (found == peers_.end())
        return;
    const EntryId entry = found->first;
    Peer &peer = found->second;
    if (peer.link == channel)
        peer.link.reset();
    else if (peer.attempt == channel)
        peer.attempt.reset();
    else
        return;
    scheduleAttempt(entry, peer, context_.settings.reconnectDelay);
    // The link is already reported as down: a probe adds information only if it is refused.
    if (channel->kind() != PeerChannelKind::Probe || loss == LinkLoss::Refused)
        linkDown.emit(entry, loss, now);
}

// [2] Hello exchange and messages

void PeerLinks::sendHello(PeerChannel &channel)
{
    channel.write(encodePeerMessage(
            PeerHello{context_.settings.self, context_.settings.domain, ProtocolVersion}));
}

void PeerLinks::receivedHello(const PeerChannelPtr &channel, const PeerHello &hello, Time now)
{
    const EntryId entry = hello.run.entry;
    const auto found = peers_.find(entry);
    const bool connector = channel->kind() == PeerChannelKind::Connector;
    const bool expected =
            found != peers_.end()
            && (connector ? channel->peer() == entry : entry < context_.settings.self.entry);
    if (hello.protocol != ProtocolVersion || !expected
        || hello.run.incarnation < latestIncarnations_[entry]) {
        channel->reject();
        return;
    }
    latestIncarnations_[entry] = hello.run.incarnation;
    listener_.release(channel);
    Peer &peer = found->second;
    const PeerChannelPtr replaced = std::move(peer.link);
    if (connector)
        peer.attempt.reset(); // the channel becomes the link
    cancelAttempt(peer);
    peer.link = channel;
    channel->establish(entry, now);
    if (!connector)
        sendHello(*channel);
    if (replaced) {
        replaced->close();
        linkDown.emit(entry, replaced->loss(), now);
    }
    if (channel->isUsable()) // a handler of linkDown may have removed the peer
        linkUp.emit(entry, hello.run.incarnation, now);
}

void PeerLinks::received(const PeerChannelPtr &channel, const std::string &bytes, Time now)
{
    const EntryId entry = channel->peer();
    bool valid = false; // whether the message is well-formed and of a type allowed at this point
    const auto relay = [&](auto &signal) {
        return [&valid, &signal, &entry, now](const auto &message) {
            valid = true;
            signal.emit(entry, message, now);
        };
    };
    PeerMessageHandlers handlers;
    if (channel->isEstablished()) {
        handlers.heartbeat = relay(heartbeatReceived);
        handlers.forward = relay(forwardReceived);
        handlers.answer = relay(answerReceived);
        handlers.claim = relay(claimReceived);
        handlers.claimAck = relay(claimAckReceived);
        handlers.sheet = relay(sheetReceived);
        handlers.sheetRequest = relay(sheetRequested);
    } else {
        handlers.hello = [&](const PeerHello &hello) {
            valid = true;
            receivedHello(channel, hello, now);
        };
    }
    try {
        decodePeerMessage(bytes, handlers);
    } catch (const std::runtime_error &) {
        if (valid) // thrown by the receiver of the message, not by the decoder
            throw;
    }
    if (!valid)
        channel->reject();
}

template<typename M> bool PeerLinks::encodeAndSend(const EntryId &to, const M &message)
{
    const auto found = peers_.find(to);
    if (found == peers_.end() || !found->second.link || !found->second.link->isUsable())
        return false;
    try {
        return found->second.link->write(encodePeerMessage(message));
    } catch (const std::invalid_argument &) {
        // The message exceeds a limit. The peer would close the link each time it is sent.
        return false;
    }
}

} // namespace

std::unique_ptr<PeerPort> makePeerLinks(EventLoop &loop, const PeerLinkSettings &settings)
{
    return std::make_unique<PeerLinks>(loop, settings);
}

} // namespace monsoonledge
