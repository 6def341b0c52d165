// One TCP connection of the peer links. websocketpp processes the protocol without a transport of
// its own; a libevent bufferevent reads and writes the bytes.
#include "adapters/peerchannel_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <array>
#include <cerrno>
#include <new>

namespace monsoonledge {

namespace {

// Fits a sheet of 1 MiB and the other fields of its message.
constexpr std::size_t MaxMessageBytes = MaxStoreValueBytes + 64 * 1024;
// Accepted connections are untrusted until their hello has been checked.
constexpr std::size_t MaxHelloBytes = 4096;

/// Used for clients and servers, so that both have the same connection type. Derived from
/// core_client because the random number generator of `core` returns a constant, and clients mask
/// their frames with random numbers.
struct LinkConfig : websocketpp::config::core_client
{
    static const bool drop_on_protocol_error = true; // NOLINT(readability-identifier-naming)
};
using WsServer = websocketpp::server<LinkConfig>;
using WsClient = websocketpp::client<LinkConfig>;
using WsConnection = WsServer::connection_ptr;

void disableNagle(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

SocketAddress::SocketAddress(const Address &address)
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

LinkLoss lossFromConnectError(int error)
{
    if (error == ECONNREFUSED)
        return LinkLoss::Refused;
    return error == ECONNRESET ? LinkLoss::Closed : LinkLoss::TimedOut;
}

struct PeerChannelContext::Websockets
{
    WsServer server;
    WsClient client;
};

PeerChannelContext::PeerChannelContext(EventLoop &eventLoop, PeerLinkSettings linkSettings)
    : loop(eventLoop), settings(std::move(linkSettings)), websockets(new Websockets)
{
    websockets->server.clear_access_channels(websocketpp::log::alevel::all);
    websockets->server.clear_error_channels(websocketpp::log::elevel::all);
    websockets->client.clear_access_channels(websocketpp::log::alevel::all);
    websockets->client.clear_error_channels(websocketpp::log::elevel::all);
}

PeerChannelContext::~PeerChannelContext() = default;

struct PeerChannel::Websocket
{
    WsConnection connection;
};

PeerChannel::~PeerChannel()
{
    close();
}

PeerChannel::PeerChannel(PeerChannelContext &context, PeerChannelKind kind, EntryId peerId)
    : context_(context), kind_(kind), peer_(std::move(peerId))
{ }

void PeerChannel::openBuffer(int socket)
{
    buffer_ = bufferevent_socket_new(context_.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    if (buffer_ == nullptr)
        throw std::bad_alloc();
    bufferevent_setcb(buffer_, onRead, nullptr, onEvent, this);
}

void PeerChannel::connect(const Address &address)
{
    address_ = address;
    openBuffer(-1);
    setDeadline(context_.settings.connectTimeout);
    SocketAddress target(address);
    // Immediate failures, such as an address that is not an IP address, are reported as a timeout:
    // they are no proof of a refusal.
    if (target.length == 0
        || bufferevent_socket_connect(buffer_, target.get(), static_cast<int>(target.length)) != 0)
        fail(LinkLoss::TimedOut);
}

void PeerChannel::accept(int socket)
{
    openBuffer(socket);
    connected_ = true;
    disableNagle(socket);
    setDeadline(context_.settings.silenceTimeout);
    websocket_.reset(new Websocket{context_.websockets->server.get_connection()});
    installWebsocketHandlers();
    websocket_->connection->set_max_message_size(MaxHelloBytes);
    websocket_->connection->start();
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

void PeerChannel::onConnected()
{
    connected_ = true;
    if (kind_ == PeerChannelKind::Probe) {
        fail(LinkLoss::Closed);
        return;
    }
    disableNagle(bufferevent_getfd(buffer_));
    setDeadline(context_.settings.silenceTimeout);
    const bool v6 = address_.ip.find(':') != std::string::npos;
    const std::string host = v6 ? '[' + address_.ip + ']' : address_.ip;
    const std::string uri = "ws://" + host + ':' + std::to_string(address_.port) + "/peer";
    std::error_code error;
    const WsConnection connection = context_.websockets->client.get_connection(uri, error);
    if (!connection) {
        fail(LinkLoss::Closed);
        return;
    }
    websocket_.reset(new Websocket{connection});
    installWebsocketHandlers();
    connection->set_max_message_size(MaxMessageBytes);
    connection->set_open_handler([this](const auto &) { context_.opened(*this); });
    context_.websockets->client.connect(connection);
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

void PeerChannel::installWebsocketHandlers()
{
    const WsConnection &connection = websocket_->connection;
    connection->set_write_handler([this](const auto &, const char *data, std::size_t size) {
        if (buffer_ != nullptr) {
            bufferevent_write(buffer_, data, size);
            // Checked here, too, because a flood of pings causes replies that do not go through
            // PeerChannel::write().
            if (pendingBytes() > context_.settings.maxPendingBytes)
                fail(LinkLoss::Closed);
        }
        return std::error_code();
    });
    connection->set_message_handler([this](const auto &, const WsServer::message_ptr &message) {
        if (loss_)
            return;
        if (message->get_opcode() == websocketpp::frame::opcode::binary)
            receivedMessages_.push_back(std::move(message->get_raw_payload()));
        else
            fail(LinkLoss::Closed);
    });
    connection->set_shutdown_handler([this](const auto &) {
        fail(LinkLoss::Closed);
        return std::error_code();
    });
}

bool PeerChannel::write(const std::string &bytes)
{
    if (!isUsable() || !websocket_)
        return false;
    if (pendingBytes() + bytes.size() > context_.settings.maxPendingBytes) {
        fail(LinkLoss::Closed);
        return false;
    }
    if (websocket_->connection->send(bytes.data(), bytes.size(),
                                     websocketpp::frame::opcode::binary)) {
        fail(LinkLoss::Closed);
        return false;
    }
    return true;
}

void PeerChannel::fail(LinkLoss loss)
{
    if (loss_ || buffer_ == nullptr)
        return;
    loss_ = loss;
    lossTimer_ = context_.loop.after(Duration(0), [this](Time now) {
        lossTimer_.reset();
        context_.lost(shared_from_this(), now);
    });
}

void PeerChannel::reject()
{
    fail(LinkLoss::Closed);
    receivedMessages_.clear();
}

std::size_t PeerChannel::pendingBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(buffer_));
}

void PeerChannel::establish(const EntryId &peerId, Time now)
{
    peer_ = peerId;
    established_ = true;
    lastReceived_ = now;
    websocket_->connection->set_max_message_size(MaxMessageBytes);
    setDeadline(context_.settings.silenceTimeout);
}

void PeerChannel::setDeadline(Duration delay)
{
    if (deadlineTimer_)
        context_.loop.cancel(*deadlineTimer_);
    deadlineTimer_ = context_.loop.after(delay, [this](Time now) { onDeadline(now); });
}

void PeerChannel::onDeadline(Time now)
{
    deadlineTimer_.reset();
    // Until the hello exchange is complete, received bytes do not extend the deadline, so that a
    // slow sender cannot keep the connection open.
    const Duration silent = now - lastReceived_;
    if (established_ && silent < context_.settings.silenceTimeout)
        setDeadline(context_.settings.silenceTimeout - silent);
    else
        fail(LinkLoss::TimedOut);
}

void PeerChannel::onRead(bufferevent *buffer, void *self)
{
    const PeerChannelPtr channel = static_cast<PeerChannel *>(self)->shared_from_this();
    if (!channel->isUsable() || !channel->websocket_)
        return;
    const Time now = channel->context_.loop.now();
    channel->lastReceived_ = now;
    std::array<char, 16 * 1024> bytes; // NOLINT: filled by bufferevent_read
    while (channel->isUsable()) {
        const std::size_t size = bufferevent_read(buffer, bytes.data(), bytes.size());
        if (size == 0)
            return;
        if (channel->websocket_->connection->read_all(bytes.data(), size) < size)
            channel->fail(LinkLoss::Closed);
        // Messages received before a failure are still delivered.
        while (channel->buffer_ != nullptr && !channel->receivedMessages_.empty()) {
            const std::string message = std::move(channel->receivedMessages_.front());
            channel->receivedMessages_.pop_front();
            channel->context_.received(channel, message, now);
        }
    }
}

void PeerChannel::onEvent(bufferevent * /*buffer*/, short what, void *self)
{
    const int error = EVUTIL_SOCKET_ERROR();
    const PeerChannelPtr channel = static_cast<PeerChannel *>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0)
        channel->onConnected();
    else if (channel->connected_)
        channel->fail(LinkLoss::Closed);
    else
        channel->fail(lossFromConnectError(error));
}

void PeerChannel::close()
{
    if (buffer_ == nullptr)
        return;
    if (deadlineTimer_)
        context_.loop.cancel(*deadlineTimer_);
    if (lossTimer_)
        context_.loop.cancel(*lossTimer_);
    if (!loss_ && established_) {
        // Flushes as much pending output as the kernel accepts without blocking, so that answers
        // sent just before the process exits are not lost.
        evbuffer *output = bufferevent_get_output(buffer_);
        evbuffer_unfreeze(output, 1);
        while (pendingBytes() > 0 && evbuffer_write(output, bufferevent_getfd(buffer_)) > 0) { }
    }
    bufferevent_free(buffer_);
    buffer_ = nullptr;
    receivedMessages_.clear();
    if (!websocket_)
        return;
    const WsConnection connection = std::move(websocket_->connection);
    websocket_.reset();
    connection->set_open_handler(nullptr);
    connection->set_message_handler(nullptr);
    connection->set_shutdown_handler(nullptr);
    connection->set_write_handler(
            [](const auto &, const char *, std::size_t) { return std::error_code(); });
    // A pending read of websocketpp holds a reference to its connection. eof() ends the read, which
    // releases the reference.
    connection->eof();
}

} // namespace monsoonledge
