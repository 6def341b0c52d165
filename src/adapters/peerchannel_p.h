// One TCP connection of the peer links, carrying a websocket. Private to the adapters.
#pragma once

#include "adapters/adapters.h"

#include <sys/socket.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;

namespace monsoonledge {

/// An address in the form that the socket functions take.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0; // 0 if the text is not an IP address

    explicit SocketAddress(const Address &address);
    sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
};

/// Maps the errno of a failed connect() to a reason. Only a refusal proves that no process listens:
/// an unreachable host or network may become reachable again with the same process running.
LinkLoss lossFromConnectError(int error);

enum class PeerChannelKind {
    Connector, // opened by this process; carries a link after the hello exchange
    Acceptor, // opened by the peer; carries a link after the hello exchange
    Probe, // TCP connect only, to find out whether the peer's process listens
};

class PeerChannel;
using PeerChannelPtr = std::shared_ptr<PeerChannel>;

/// State shared by all channels of one process. It must outlive them.
struct PeerChannelContext
{
    struct Websockets; // websocketpp's client and server objects, which create connections

    EventLoop &loop;
    PeerLinkSettings settings;
    std::unique_ptr<Websockets> websockets;
    /// Called when the websocket handshake of a Connector is complete. Must not emit signals,
    /// because websocketpp holds a lock during the call.
    std::function<void(PeerChannel &)> opened;
    /// Called for each message.
    std::function<void(const PeerChannelPtr &, const std::string &bytes, Time now)> received;
    /// Called after the channel has failed; PeerChannel::loss() is the reason. Must close the
    /// channel.
    std::function<void(const PeerChannelPtr &, Time now)> lost;

    PeerChannelContext(EventLoop &eventLoop, PeerLinkSettings linkSettings);
    ~PeerChannelContext();
};

/// One TCP connection, from the connect or accept until it is closed. The callbacks of websocketpp
/// only change flags and buffers, because websocketpp holds a lock while it calls them, and because
/// write() must not call the hooks of the context.
class PeerChannel : public std::enable_shared_from_this<PeerChannel>
{
public:
    /// `peerId` is empty for an Acceptor.
    PeerChannel(PeerChannelContext &context, PeerChannelKind kind, EntryId peerId);
    ~PeerChannel();
    PeerChannel(const PeerChannel &) = delete;
    PeerChannel &operator=(const PeerChannel &) = delete;

    /// Starts to connect. For a Connector or a Probe.
    void connect(const Address &address);
    /// Takes ownership of a connected socket. For an Acceptor.
    void accept(int socket);
    /// Returns false, without sending anything, if the channel has failed or if more than
    /// maxPendingBytes would be pending. The latter also makes the channel fail.
    bool write(const std::string &bytes);
    /// Marks the channel as failed. The `lost` hook is called in the next pass of the event loop.
    void fail(LinkLoss loss);
    /// Makes the channel fail because of an invalid message, and drops the messages received after
    /// it.
    void reject();
    /// Makes the channel carry the link to `peerId`, after a valid hello.
    void establish(const EntryId &peerId, Time now);
    /// Closes the connection immediately. No hook is called afterwards.
    void close();

    PeerChannelKind kind() const { return kind_; }
    const EntryId &peer() const { return peer_; }
    bool isEstablished() const { return established_; }
    /// Returns true once the TCP connection has been set up. The channel can then no longer fail as
    /// Refused.
    bool isConnected() const { return connected_; }
    bool isUsable() const { return buffer_ != nullptr && !loss_; }
    LinkLoss loss() const { return loss_.value_or(LinkLoss::Closed); }

private:
    struct Websocket;

    static void onRead(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);
    void onConnected();
    void openBuffer(int socket);
    void installWebsocketHandlers();
    std::size_t pendingBytes() const;
    void setDeadline(Duration delay);
    void onDeadline(Time now);

    PeerChannelContext &context_;
    PeerChannelKind kind_;
    EntryId peer_; // empty for an Acceptor until its hello is received
    Address address_; // of the peer, for Connector and Probe
    bufferevent *buffer_ = nullptr;
    std::unique_ptr<Websocket> websocket_;
    std::deque<std::string> receivedMessages_; // received but not yet delivered
    std::optional<LinkLoss> loss_;
    std::optional<TimerId> deadlineTimer_;
    std::optional<TimerId> lossTimer_;
    bool connected_ = false;
    bool established_ = false;
    Time lastReceived_{};
};

} // namespace monsoonledge
