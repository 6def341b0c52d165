// Links between entry processes: websocketpp without its own transport loop, joined to libevent
// bufferevents, so that everything runs in one loop on one thread.
//
// Sections:
//   [1] Sockets
//   [2] Channel: one TCP connection
//   [3] PeerLinks: listener, connection attempts, link states
//   [4] Hello exchange and messages
#include "adapters/adapters.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <deque>
#include <optional>
#include <set>
#include <stdexcept>

namespace monsoonledge {

namespace {

constexpr int ProtocolVersion = 1;
// A sheet of 1 MiB and the other fields of its message.
constexpr std::size_t MaxMessageBytes = MaxStoreValueBytes + 64 * 1024;
// An accepted connection may be anyone's until its hello has been checked.
constexpr std::size_t MaxHelloBytes = 4096;
// Accepted connections without a hello; each holds a read buffer of 16 KiB.
constexpr std::size_t MaxUnidentified = 128;

/// One configuration for both roles, so that both have the same connection type. It comes from
/// core_client because core's random numbers are constant, and clients mask frames with them.
struct LinkConfig : websocketpp::config::core_client
{
    static const bool drop_on_protocol_error = true; // NOLINT(readability-identifier-naming)
};
using WsServer = websocketpp::server<LinkConfig>;
using WsClient = websocketpp::client<LinkConfig>;
using WsConnection = WsServer::connection_type;

// [1] Sockets

struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0; // 0: the text is no IP number

    explicit SocketAddress(const Address &address)
    {
        auto *v4 = reinterpret_cast<sockaddr_in *>(&storage);
        auto *v6 = reinterpret_cast<sockaddr_in6 *>(&storage);
        if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(address.port);
            length = sizeof *v4;
        } else if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
            v6->sin6_family = AF_INET6;
            v6->sin6_port = htons(address.port);
            length = sizeof *v6;
        }
    }
    sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
};

void disableNagle(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// [2] Channel: one TCP connection

class PeerLinks;

enum class ChannelKind {
    Connector, // connected by this process, carries a link after the hello exchange
    Acceptor, // connected by the peer, carries a link after the hello exchange
    Probe, // plain connect that finds out whether the peer's process listens
};

/// One TCP connection from its start until it is closed. Callbacks of websocketpp only change flags
/// and buffers: websocketpp holds a lock during them, and send() must not emit signals.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    Channel(PeerLinks &links, ChannelKind kind, EntryId peerId);
    ~Channel() { close(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Starts to connect (Connector, Probe).
    void connect(const Address &address);
    /// Takes over a connected socket (Acceptor).
    void accept(evutil_socket_t socket);
    /// False if the channel has failed or too many bytes are pending; nothing was sent then.
    bool write(const std::string &bytes);
    /// Marks the channel as failed; PeerLinks::lost() follows on the next pass of the loop.
    void fail(LinkLoss loss);
    /// Fails because of an invalid message; what arrived after it is dropped.
    void reject();
    /// From now on the channel carries the link to `peerId`.
    void establish(const EntryId &peerId, Time now);
    void close();

    ChannelKind kind() const { return kind_; }
    const EntryId &peer() const { return peer_; }
    bool isEstablished() const { return established_; }
    bool isUsable() const { return buffer_ != nullptr && !loss_; }
    LinkLoss loss() const { return loss_.value_or(LinkLoss::Closed); }

private:
    static void onRead(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);
    void onConnected();
    void openBuffer(evutil_socket_t socket);
    void attach(const WsServer::connection_ptr &connection);
    std::size_t pendingBytes() const;
    void setDeadline(Duration delay);
    void onDeadline(Time now);

    PeerLinks &links_;
    ChannelKind kind_;
    EntryId peer_; // empty for an accepted connection until its hello
    Address address_; // of the peer, for Connector and Probe
    bufferevent *buffer_ = nullptr;
    WsServer::connection_ptr connection_;
    std::deque<std::string> inbox_; // received messages that are not yet delivered
    std::optional<LinkLoss> loss_;
    std::optional<TimerId> deadline_;
    std::optional<TimerId> teardown_;
    bool connected_ = false; // TCP connection exists
    bool established_ = false;
    Time lastReceived_{};
};

// [3] PeerLinks: listener, connection attempts, link states

class PeerLinks : public PeerPort
{
public:
    PeerLinks(EventLoop &loop, PeerLinkSettings settings);
    ~PeerLinks() override;
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    void addPeer(const EntryId &entry, const Address &address) override;
    void removePeer(const EntryId &entry) override;
    bool send(const EntryId &to, const Heartbeat &m) override { return transmit(to, m); }
    bool send(const EntryId &to, const ForwardMessage &m) override { return transmit(to, m); }
    bool send(const EntryId &to, const AnswerMessage &m) override { return transmit(to, m); }
    bool send(const EntryId &to, const ClaimMessage &m) override { return transmit(to, m); }
    bool send(const EntryId &to, const ClaimAckMessage &m) override { return transmit(to, m); }
    bool send(const EntryId &to, const SheetMessage &m) override { return transmit(to, m); }
    bool send(const EntryId &to, const SheetRequestMessage &m) override { return transmit(to, m); }

    EventLoop &loop() { return loop_; }
    const PeerLinkSettings &settings() const { return settings_; }
    WsServer &server() { return server_; }
    WsClient &client() { return client_; }
    void sendHello(Channel &channel);
    void received(const std::shared_ptr<Channel> &channel, const std::string &bytes, Time now);
    void lost(const std::shared_ptr<Channel> &channel, Time now);

private:
    struct Peer
    {
        Address address;
        std::shared_ptr<Channel> attempt; // connection attempt or probe
        std::shared_ptr<Channel> link; // carries messages
        std::optional<TimerId> retry; // starts the next attempt
    };

    static void onAccept(evconnlistener *listener, evutil_socket_t socket, sockaddr *from,
                         int fromLength, void *self);
    static void onAcceptError(evconnlistener *listener, void *self);
    void listen();
    void scheduleAttempt(const EntryId &entry, Peer &peer, Duration delay);
    void startAttempt(const EntryId &entry);
    void cancelAttempt(Peer &peer);
    void receivedHello(const std::shared_ptr<Channel> &channel, const PeerHello &hello, Time now);
    template<typename M> bool transmit(const EntryId &to, const M &message);

    EventLoop &loop_;
    PeerLinkSettings settings_;
    WsServer server_;
    WsClient client_;
    evconnlistener *listener_ = nullptr;
    std::optional<TimerId> acceptAgain_;
    std::map<EntryId, Peer> peers_;
    std::set<std::shared_ptr<Channel>> unidentified_; // accepted, no hello yet
    std::map<EntryId, Incarnation> latest_; // newest incarnation seen; outlives removePeer
};

Channel::Channel(PeerLinks &links, ChannelKind kind, EntryId peerId)
    : links_(links), kind_(kind), peer_(std::move(peerId))
{ }

void Channel::openBuffer(evutil_socket_t socket)
{
    buffer_ = bufferevent_socket_new(links_.loop().base(), socket, BEV_OPT_CLOSE_ON_FREE);
    if (buffer_ == nullptr)
        throw std::bad_alloc();
    bufferevent_setcb(buffer_, onRead, nullptr, onEvent, this);
}

void Channel::connect(const Address &address)
{
    address_ = address;
    openBuffer(-1);
    setDeadline(links_.settings().connectTimeout);
    SocketAddress target(address);
    // Failures without a refusal, such as an address that is no IP number, count as no answer.
    if (target.length == 0
        || bufferevent_socket_connect(buffer_, target.get(), static_cast<int>(target.length)) != 0)
        fail(LinkLoss::TimedOut);
}

void Channel::accept(evutil_socket_t socket)
{
    openBuffer(socket);
    connected_ = true;
    disableNagle(socket);
    setDeadline(links_.settings().silence);
    attach(links_.server().get_connection());
    connection_->set_max_message_size(MaxHelloBytes);
    connection_->start();
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

void Channel::onConnected()
{
    connected_ = true;
    if (kind_ == ChannelKind::Probe) {
        fail(LinkLoss::Closed);
        return;
    }
    disableNagle(bufferevent_getfd(buffer_));
    setDeadline(links_.settings().silence);
    const bool v6 = address_.ip.find(':') != std::string::npos;
    const std::string host = v6 ? '[' + address_.ip + ']' : address_.ip;
    const std::string uri = "ws://" + host + ':' + std::to_string(address_.port) + "/peer";
    std::error_code error;
    attach(links_.client().get_connection(uri, error));
    if (!connection_) {
        fail(LinkLoss::Closed);
        return;
    }
    connection_->set_max_message_size(MaxMessageBytes);
    connection_->set_open_handler([this](const auto &) { links_.sendHello(*this); });
    links_.client().connect(connection_);
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

void Channel::attach(const WsServer::connection_ptr &connection)
{
    connection_ = connection;
    if (!connection_)
        return;
    connection_->set_write_handler([this](const auto &, const char *data, std::size_t size) {
        if (buffer_ != nullptr) {
            bufferevent_write(buffer_, data, size);
            // Also bounds the replies to a flood of pings.
            if (pendingBytes() > links_.settings().maxPendingBytes)
                fail(LinkLoss::Closed);
        }
        return std::error_code();
    });
    connection_->set_message_handler([this](const auto &, const WsServer::message_ptr &message) {
        if (loss_)
            return;
        if (message->get_opcode() == websocketpp::frame::opcode::binary)
            inbox_.push_back(std::move(message->get_raw_payload()));
        else
            fail(LinkLoss::Closed);
    });
    connection_->set_shutdown_handler([this](const auto &) {
        fail(LinkLoss::Closed);
        return std::error_code();
    });
}

bool Channel::write(const std::string &bytes)
{
    if (!isUsable() || !connection_)
        return false;
    if (pendingBytes() + bytes.size() > links_.settings().maxPendingBytes) {
        fail(LinkLoss::Closed);
        return false;
    }
    if (connection_->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary)) {
        fail(LinkLoss::Closed);
        return false;
    }
    return true;
}

void Channel::fail(LinkLoss loss)
{
    if (loss_ || buffer_ == nullptr)
        return;
    loss_ = loss;
    teardown_ = links_.loop().after(Duration(0), [this](Time now) {
        teardown_.reset();
        links_.lost(shared_from_this(), now);
    });
}

void Channel::reject()
{
    fail(LinkLoss::Closed);
    inbox_.clear();
}

std::size_t Channel::pendingBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(buffer_));
}

void Channel::establish(const EntryId &peerId, Time now)
{
    peer_ = peerId;
    established_ = true;
    lastReceived_ = now;
    connection_->set_max_message_size(MaxMessageBytes);
    setDeadline(links_.settings().silence);
}

void Channel::setDeadline(Duration delay)
{
    if (deadline_)
        links_.loop().cancel(*deadline_);
    deadline_ = links_.loop().after(delay, [this](Time now) { onDeadline(now); });
}

void Channel::onDeadline(Time now)
{
    deadline_.reset();
    // Before the hello exchange the deadline is fixed, so that a slow sender cannot extend it.
    const Duration silent = now - lastReceived_;
    if (established_ && silent < links_.settings().silence)
        setDeadline(links_.settings().silence - silent);
    else
        fail(LinkLoss::TimedOut);
}

void Channel::onRead(bufferevent *buffer, void *self)
{
    const std::shared_ptr<Channel> channel = static_cast<Channel *>(self)->shared_from_this();
    if (!channel->isUsable() || !channel->connection_)
        return;
    const Time now = channel->links_.loop().now();
    channel->lastReceived_ = now;
    std::array<char, 16 * 1024> bytes; // NOLINT: filled by bufferevent_read
    while (channel->isUsable()) {
        const std::size_t size = bufferevent_read(buffer, bytes.data(), bytes.size());
        if (size == 0)
            return;
        if (channel->connection_->read_all(bytes.data(), size) < size)
            channel->fail(LinkLoss::Closed);
        // Messages that arrived before a failure are still delivered.
        while (channel->buffer_ != nullptr && !channel->inbox_.empty()) {
            const std::string message = std::move(channel->inbox_.front());
            channel->inbox_.pop_front();
            channel->links_.received(channel, message, now);
        }
    }
}

void Channel::onEvent(bufferevent * /*buffer*/, short what, void *self)
{
    const int error = EVUTIL_SOCKET_ERROR();
    const std::shared_ptr<Channel> channel = static_cast<Channel *>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0)
        channel->onConnected();
    else if (channel->connected_)
        channel->fail(LinkLoss::Closed);
    else // only a refused connect proves that the peer's process is dead
        channel->fail(error == ECONNREFUSED ? LinkLoss::Refused
                      : error == ECONNRESET ? LinkLoss::Closed
                                            : LinkLoss::TimedOut);
}

void Channel::close()
{
    if (buffer_ == nullptr)
        return;
    if (deadline_)
        links_.loop().cancel(*deadline_);
    if (teardown_)
        links_.loop().cancel(*teardown_);
    if (!loss_ && established_) {
        // Hands the last messages to the kernel as far as it takes them at once, so that answers
        // sent just before the end of the process are not lost.
        evbuffer *output = bufferevent_get_output(buffer_);
        evbuffer_unfreeze(output, 1);
        while (pendingBytes() > 0 && evbuffer_write(output, bufferevent_getfd(buffer_)) > 0) { }
    }
    bufferevent_free(buffer_);
    buffer_ = nullptr;
    inbox_.clear();
    if (!connection_)
        return;
    connection_->set_open_handler(nullptr);
    connection_->set_message_handler(nullptr);
    connection_->set_shutdown_handler(nullptr);
    connection_->set_write_handler(
            [](const auto &, const char *, std::size_t) { return std::error_code(); });
    // A waiting read holds a reference to its own connection; the end of the stream releases it.
    connection_->eof();
    connection_.reset();
}

PeerLinks::PeerLinks(EventLoop &loop, PeerLinkSettings settings)
    : loop_(loop), settings_(std::move(settings))
{
    server_.clear_access_channels(websocketpp::log::alevel::all);
    server_.clear_error_channels(websocketpp::log::elevel::all);
    client_.clear_access_channels(websocketpp::log::alevel::all);
    client_.clear_error_channels(websocketpp::log::elevel::all);
    listen();
}

PeerLinks::~PeerLinks()
{
    if (acceptAgain_)
        loop_.cancel(*acceptAgain_);
    evconnlistener_free(listener_);
    while (!peers_.empty())
        removePeer(peers_.begin()->first);
    for (const std::shared_ptr<Channel> &channel : unidentified_)
        channel->close();
}

void PeerLinks::listen()
{
    SocketAddress address(settings_.listen);
    errno = EINVAL;
    if (address.length != 0)
        listener_ = evconnlistener_new_bind(
                loop_.base(), onAccept, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, SOMAXCONN,
                address.get(), static_cast<int>(address.length));
    if (listener_ == nullptr)
        throw std::runtime_error("cannot listen for peers on " + settings_.listen.str() + ": "
                                 + std::strerror(errno));
    evconnlistener_set_error_cb(listener_, onAcceptError);
}

void PeerLinks::onAcceptError(evconnlistener * /*listener*/, void *self)
{
    // Out of file descriptors: the waiting connection would make the loop spin. The socket goes on
    // listening, so that connections are not refused meanwhile.
    auto *links = static_cast<PeerLinks *>(self);
    evconnlistener_disable(links->listener_);
    links->acceptAgain_ = links->loop_.after(links->settings_.reconnectDelay, [links](Time) {
        links->acceptAgain_.reset();
        evconnlistener_enable(links->listener_);
    });
}

void PeerLinks::onAccept(evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*from*/,
                         int /*fromLength*/, void *self)
{
    auto *links = static_cast<PeerLinks *>(self);
    if (links->unidentified_.size() >= MaxUnidentified) {
        evutil_closesocket(socket);
        return;
    }
    const auto channel = std::make_shared<Channel>(*links, ChannelKind::Acceptor, EntryId());
    links->unidentified_.insert(channel);
    channel->accept(socket);
}

void PeerLinks::addPeer(const EntryId &entry, const Address &address)
{
    assert(!entry.isEmpty() && entry != settings_.self.entry);
    const auto [found, added] = peers_.try_emplace(entry);
    Peer &peer = found->second;
    if (!added && peer.address == address)
        return;
    peer.address = address;
    cancelAttempt(peer);
    if (peer.link)
        peer.link->fail(LinkLoss::Closed); // the next attempt goes to the new address
    else
        scheduleAttempt(entry, peer,
                        settings_.self.entry < entry ? Duration(0) : settings_.reconnectDelay);
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
    assert(!peer.retry && !peer.attempt);
    peer.retry = loop_.after(delay, [this, entry](Time) { startAttempt(entry); });
}

void PeerLinks::startAttempt(const EntryId &entry)
{
    Peer &peer = peers_.at(entry);
    peer.retry.reset();
    const bool connects = settings_.self.entry < entry;
    peer.attempt = std::make_shared<Channel>(
            *this, connects ? ChannelKind::Connector : ChannelKind::Probe, entry);
    peer.attempt->connect(peer.address);
}

void PeerLinks::cancelAttempt(Peer &peer)
{
    if (peer.retry)
        loop_.cancel(*peer.retry);
    peer.retry.reset();
    if (peer.attempt)
        peer.attempt->close();
    peer.attempt.reset();
}

void PeerLinks::lost(const std::shared_ptr<Channel> &channel, Time now)
{
    const LinkLoss loss = channel->loss();
    channel->close();
    unidentified_.erase(channel);
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
    scheduleAttempt(entry, peer, settings_.reconnectDelay);
    // A probe that does not get through says nothing new: the link was already reported as down.
    if (channel->kind() != ChannelKind::Probe || loss == LinkLoss::Refused)
        linkDown.emit(entry, loss, now);
}

// [4] Hello exchange and messages

void PeerLinks::sendHello(Channel &channel)
{
    channel.write(encodePeerMessage(PeerHello{settings_.self, settings_.domain, ProtocolVersion}));
}

void PeerLinks::receivedHello(const std::shared_ptr<Channel> &channel, const PeerHello &hello,
                              Time now)
{
    const EntryId entry = hello.run.entry;
    const auto found = peers_.find(entry);
    const bool connector = channel->kind() == ChannelKind::Connector;
    const bool expected = found != peers_.end()
                          && (connector ? channel->peer() == entry : entry < settings_.self.entry);
    if (hello.protocol != ProtocolVersion || !expected || hello.run.incarnation < latest_[entry]) {
        channel->reject();
        return;
    }
    latest_[entry] = hello.run.incarnation;
    unidentified_.erase(channel);
    Peer &peer = found->second;
    const std::shared_ptr<Channel> replaced = std::move(peer.link);
    if (connector)
        peer.attempt.reset(); // it becomes the link
    cancelAttempt(peer);
    peer.link = channel;
    channel->establish(entry, now);
    if (!connector)
        sendHello(*channel);
    if (replaced) {
        replaced->close();
        linkDown.emit(entry, LinkLoss::Closed, now);
    }
    if (channel->isUsable()) // a handler of linkDown may have removed the peer
        linkUp.emit(entry, hello.run.incarnation, now);
}

void PeerLinks::received(const std::shared_ptr<Channel> &channel, const std::string &bytes,
                         Time now)
{
    const EntryId entry = channel->peer();
    bool valid = false; // a message of a type that is expected now
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
        if (valid) // thrown by a handler, not by the decoder
            throw;
    }
    if (!valid)
        channel->reject();
}

template<typename M> bool PeerLinks::transmit(const EntryId &to, const M &message)
{
    const auto found = peers_.find(to);
    if (found == peers_.end() || !found->second.link || !found->second.link->isUsable())
        return false;
    try {
        return found->second.link->write(encodePeerMessage(message));
    } catch (const std::invalid_argument &) {
        // The peer would close the link on a message over the limits, with every repetition.
        return false;
    }
}

} // namespace

std::unique_ptr<PeerPort> makePeerLinks(EventLoop &loop, const PeerLinkSettings &settings)
{
    return std::make_unique<PeerLinks>(loop, settings);
}

} // namespace monsoonledge
