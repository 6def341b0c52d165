// Listener for the links between processes. Private to the adapters.
#pragma once

#include "adapters/peerchannel_p.h"

#include <event2/listener.h>
#include <event2/util.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace monsoonledge {

/// Accepts connections at the address of the context and owns their channels until they are
/// released. Connections over the limit are closed.
class PeerListener
{
public:
    struct Limits
    {
        std::size_t maxChannels; // each of them has a read buffer of 16 KiB
        // After which accepting is tried again if there are no file descriptors.
        Duration acceptRetryDelay;
    };

    /// Throws std::runtime_error, naming the address and `purpose`, such as "peers", if the address
    /// cannot be bound. Ignores SIGPIPE in the whole process.
    PeerListener(PeerChannelContext &context, const std::string &purpose, Limits limits);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    /// Gives up the ownership of a channel, if this object has it.
    void release(const PeerChannelPtr &channel) { channels_.erase(channel); }

private:
    struct Free
    {
        void operator()(evconnlistener *listener) const { evconnlistener_free(listener); }
    };

    static void onAccept(evconnlistener *listener, evutil_socket_t socket, sockaddr *from,
                         int fromLength, void *self);
    static void onAcceptError(evconnlistener *listener, void *self);

    PeerChannelContext &context_;
    Limits limits_;
    std::unique_ptr<evconnlistener, Free> listener_;
    std::optional<TimerId> acceptRetryTimer_;
    std::set<PeerChannelPtr> channels_;
};

} // namespace monsoonledge
