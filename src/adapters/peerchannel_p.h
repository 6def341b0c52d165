// One TCP connection of the peer links with a websocket on it, private to the adapters.
#pragma once

#include "adapters/adapters.h"

#include <sys/socket.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;

namespace monsoonledge {

/// An address for the socket functions.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0; // 0: the text is no IP number

    explicit SocketAddress(const Address &address);
    sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
};

/// What a failed connect() says about the peer, by its errno. Only a refusal proves that no process
/// listens: an unreachable host or network may come back with the same process.
LinkLoss connectLoss(int error);

enum class PeerChannelKind {
    Connector, // connected by this process, carries a link after the hello exchange
    Acceptor, // connected by the peer, carries a link after the hello exchange
    Probe, // plain connect that finds out whether the peer's process listens
};

class PeerChannel;
using PeerChannelPtr = std::shared_ptr<PeerChannel>;

/// What all channels of one process share. Outlives them.
struct PeerChannelContext
{
    struct Websockets; // the websocketpp endpoints, which create its connections

    EventLoop &loop;
    PeerLinkSettings settings;
    std::unique_ptr<Websockets> websockets;
    /// The websocket handshake of a Connector is complete. The hook must not emit signals.
    std::function<void(PeerChannel &)> opened;
    std::function<void(const PeerChannelPtr &, const std::string &bytes, Time now)> received;
    /// The channel has failed, see PeerChannel::loss(). The hook closes it.
    std::function<void(const PeerChannelPtr &, Time now)> lost;

    PeerChannelContext(EventLoop &eventLoop, PeerLinkSettings linkSettings);
    ~PeerChannelContext();
};

/// One TCP connection from its start until it is closed. Callbacks of websocketpp only change flags
/// and buffers: websocketpp holds a lock during them, and write() must not call hooks.
class PeerChannel : public std::enable_shared_from_this<PeerChannel>
{
public:
    /// `peerId` is empty for an Acceptor.
    PeerChannel(PeerChannelContext &context, PeerChannelKind kind, EntryId peerId);
    ~PeerChannel();
    PeerChannel(const PeerChannel &) = delete;
    PeerChannel &operator=(const PeerChannel &) = delete;

    /// Starts to connect (Connector, Probe).
    void connect(const Address &address);
    /// Takes over a connected socket (Acceptor).
    void accept(int socket);
    /// False if the channel has failed or too many bytes are pending; nothing was sent then.
    bool write(const std::string &bytes);
    /// Marks the channel as failed; the hook `lost` follows on the next pass of the loop.
    void fail(LinkLoss loss);
    /// Fails because of an invalid message; what arrived after it is dropped.
    void reject();
    /// From now on the channel carries the link to `peerId`.
    void establish(const EntryId &peerId, Time now);
    /// Closes at once. No hook is called from then on.
    void close();

    PeerChannelKind kind() const { return kind_; }
    const EntryId &peer() const { return peer_; }
    bool isEstablished() const { return established_; }
    /// The TCP connection exists, so that the channel can no longer fail as Refused.
    bool isConnected() const { return connected_; }
    bool isUsable() const { return buffer_ != nullptr && !loss_; }
    LinkLoss loss() const { return loss_.value_or(LinkLoss::Closed); }

private:
    struct Websocket;

    static void onRead(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);
    void onConnected();
    void openBuffer(int socket);
    void attach();
    std::size_t pendingBytes() const;
    void setDeadline(Duration delay);
    void onDeadline(Time now);

    PeerChannelContext &context_;
    PeerChannelKind kind_;
    EntryId peer_; // empty for an accepted connection until its hello
    Address address_; // of the peer, for Connector and Probe
    bufferevent *buffer_ = nullptr;
    std::unique_ptr<Websocket> websocket_;
    std::deque<std::string> inbox_; // received messages that are not yet delivered
    std::optional<LinkLoss> loss_;
    std::optional<TimerId> deadline_;
    std::optional<TimerId> teardown_;
    bool connected_ = false;
    bool established_ = false;
    Time lastReceived_{};
};

} // namespace monsoonledge
