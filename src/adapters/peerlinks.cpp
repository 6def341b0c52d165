// Links between entry processes. The connections themselves are in peerchannel.cpp.
//
// Sections:
//   [1] Listener, connection attempts, link states
//   [2] Hello exchange and messages
#include "adapters/peerchannel_p.h"

#include <event2/listener.h>
#include <event2/util.h>

#include <cassert>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <set>
#include <stdexcept>

namespace monsoonledge {

namespace {

constexpr int ProtocolVersion = 1;
// Limit of accepted connections without a hello; each of them has a read buffer of 16 KiB.
constexpr std::size_t MaxUnidentifiedChannels = 128;

// [1] Listener, connection attempts, link states

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

    static void onAccept(evconnlistener *listener, evutil_socket_t socket, sockaddr *from,
                         int fromLength, void *self);
    static void onAcceptError(evconnlistener *listener, void *self);
    void listen();
    void scheduleAttempt(const EntryId &entry, Peer &peer, Duration delay);
    void startAttempt(const EntryId &entry);
    void cancelAttempt(Peer &peer);
    void receivedHello(const PeerChannelPtr &channel, const PeerHello &hello, Time now);
    template<typename M> bool encodeAndSend(const EntryId &to, const M &message);

    PeerChannelContext context_;
    evconnlistener *listener_ = nullptr;
    std::optional<TimerId> acceptRetryTimer_;
    std::map<EntryId, Peer> peers_;
    std::set<PeerChannelPtr> unidentifiedChannels_; // accepted, waiting for the hello
    std::map<EntryId, Incarnation> latestIncarnations_; // kept by removePeer()
};

PeerLinks::PeerLinks(EventLoop &loop, PeerLinkSettings settings)
    : context_(loop, std::move(settings))
{
    context_.opened = [this](PeerChannel &channel) { sendHello(channel); };
    context_.received = [this](const PeerChannelPtr &channel, const std::string &bytes, Time now) {
        received(channel, bytes, now);
    };
    context_.lost = [this](const PeerChannelPtr &channel, Time now) { lost(channel, now); };
    // libevent writes without MSG_NOSIGNAL. With SIGPIPE ignored, a write to a closed connection
    // returns an error.
    std::signal(SIGPIPE, SIG_IGN);
    listen();
}

PeerLinks::~PeerLinks()
{
    if (acceptRetryTimer_)
        context_.loop.cancel(*acceptRetryTimer_);
    evconnlistener_free(listener_);
    while (!peers_.empty())
        removePeer(peers_.begin()->first);
    for (const PeerChannelPtr &channel : unidentifiedChannels_)
        channel->close();
}

void PeerLinks::listen()
{
    SocketAddress address(context_.settings.listen);
    errno = EINVAL;
    if (address.length != 0)
        listener_ = evconnlistener_new_bind(
                context_.loop.base(), onAccept, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, SOMAXCONN,
                address.get(), static_cast<int>(address.length));
    if (listener_ == nullptr)
        throw std::runtime_error("cannot listen for peers on " + context_.settings.listen.str()
                                 + ": " + std::strerror(errno));
    evconnlistener_set_error_cb(listener_, onAcceptError);
}

void PeerLinks::onAcceptError(evconnlistener * /*listener*/, void *self)
{
    // Out of file descriptors: the event loop would spin, as the pending connection keeps the
    // socket readable. The socket keeps listening, so that connections are not refused in the
    // meantime.
    auto *links = static_cast<PeerLinks *>(self);
    evconnlistener_disable(links->listener_);
    links->acceptRetryTimer_ =
            links->context_.loop.after(links->context_.settings.reconnectDelay, [links](Time) {
                links->acceptRetryTimer_.reset();
                evconnlistener_enable(links->listener_);
            });
}

void PeerLinks::onAccept(evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*from*/,
                         int /*fromLength*/, void *self)
{
    auto *links = static_cast<PeerLinks *>(self);
    if (links->unidentifiedChannels_.size() >= MaxUnidentifiedChannels) {
        evutil_closesocket(socket);
        return;
    }
    const auto channel =
            std::make_shared<PeerChannel>(links->context_, PeerChannelKind::Acceptor, EntryId());
    links->unidentifiedChannels_.insert(channel);
    channel->accept(socket);
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
    unidentifiedChannels_.erase(channel);
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
    unidentifiedChannels_.erase(channel);
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
