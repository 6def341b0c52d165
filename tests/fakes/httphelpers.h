// Helpers for the HTTP tests: an event loop with a time limit, raw sockets, and functions that wait
// for the result of a call.
#pragma once

#include "adapters/adapters.h"
#include <arpa/inet.h>
#include <ctime>
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace monsoonledge {

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Returns a loopback address with a free port below the ephemeral range (32768 and up). Test
/// processes that run concurrently start at different ports.
inline Address findFreeAddress()
{
    static int port = 21000 + static_cast<int>(getpid() % 100) * 110;
    for (;;) {
        Address address{"127.0.0.1", static_cast<std::uint16_t>(port++)};
        const sockaddr_in socketAddress = toSockaddr(address);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const bool isFree =
                bind(fd, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress)
                == 0;
        close(fd);
        if (isFree)
            return address;
    }
}

struct TestLoop : EventLoop
{
    /// Runs the loop until the condition holds. Returns false if it does not hold within the limit.
    bool runUntil(const std::function<bool()> &condition, Duration limit = seconds(3))
    {
        const Time end = now() + limit;
        while (!condition()) {
            if (now() > end)
                return false;
            after(milliseconds(1), [this](Time) { stop(); });
            run();
        }
        return true;
    }
    void runFor(Duration duration)
    {
        runUntil([] { return false; }, duration);
    }
};

/// Either side of a TCP connection, for sending arbitrary bytes.
struct RawSocket
{
    explicit RawSocket(bufferevent *connection) : bev(connection)
    {
        bufferevent_setcb(
                bev,
                [](bufferevent *b, void *arg) {
                    auto *self = static_cast<RawSocket *>(arg);
                    std::string chunk(evbuffer_get_length(bufferevent_get_input(b)), 0);
                    bufferevent_read(b, chunk.data(), chunk.size());
                    self->received += chunk;
                    if (self->onData)
                        self->onData(*self);
                },
                nullptr,
                [](bufferevent *, short what, void *arg) {
                    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                        static_cast<RawSocket *>(arg)->closed = true;
                },
                this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }
    RawSocket(TestLoop &loop, const Address &address)
        : RawSocket(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in socketAddress = toSockaddr(address);
        bufferevent_socket_connect(bev, reinterpret_cast<sockaddr *>(&socketAddress),
                                   sizeof socketAddress);
    }
    ~RawSocket() { bufferevent_free(bev); }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void write(const std::string &text) const { bufferevent_write(bev, text.data(), text.size()); }

    bufferevent *bev;
    std::string received;
    bool closed = false;
    std::function<void(RawSocket &)> onData;
};

/// A TCP server that does not parse requests. It calls `onRequest` once the data received on a
/// connection contains an empty line, with the number of such requests so far.
struct RawServer
{
    RawServer(TestLoop &eventLoop, std::function<void(RawSocket &, int request)> requestHandler)
        : loop(eventLoop), onRequest(std::move(requestHandler)), address(findFreeAddress())
    {
        sockaddr_in socketAddress = toSockaddr(address);
        listener = evconnlistener_new_bind(
                loop.base(),
                [](evconnlistener *, int fd, sockaddr *, int, void *arg) {
                    auto *self = static_cast<RawServer *>(arg);
                    self->sockets.push_back(std::make_unique<RawSocket>(
                            bufferevent_socket_new(self->loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)));
                    self->sockets.back()->onData = [self](RawSocket &socket) {
                        if (socket.received.find("\r\n\r\n") == std::string::npos)
                            return;
                        socket.received.clear();
                        self->onRequest(socket, ++self->requests);
                    };
                },
                this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, 16,
                reinterpret_cast<sockaddr *>(&socketAddress), sizeof socketAddress);
        REQUIRE(listener);
    }
    ~RawServer() { evconnlistener_free(listener); }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    /// Shuts down a connection from the server's side.
    void close(const RawSocket &socket)
    {
        for (auto &s : sockets) {
            if (s.get() == &socket)
                shutdown(bufferevent_getfd(s->bev), SHUT_RDWR);
        }
    }

    TestLoop &loop;
    std::function<void(RawSocket &, int)> onRequest;
    Address address;
    evconnlistener *listener = nullptr;
    std::vector<std::unique_ptr<RawSocket>> sockets;
    int requests = 0;
};

const std::string OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends one POST and waits for its result.
inline HttpResult post(TestLoop &loop, HttpClient &client, const Address &address,
                       Duration timeout = seconds(2))
{
    HttpResult result;
    int calls = 0;
    client.send(address, "POST", "/x", {}, "body", timeout, [&](const HttpResult &r, Time) {
        result = r;
        ++calls;
    });
    CHECK(calls == 0); // the callback must not run inside send()
    REQUIRE(loop.runUntil([&] { return calls > 0; }));
    loop.runFor(milliseconds(5));
    CHECK(calls == 1);
    return result;
}

inline Request makeRequest(const std::string &id)
{
    Request request;
    request.id = RequestId(id);
    request.service = ServiceId("desk");
    request.requestClass = ClassId("desk/renewal");
    request.idempotent = false;
    return request;
}

/// Runs one request on an endpoint and waits for its result.
inline RunResult runOnEndpoint(TestLoop &loop, EndpointPort &port, const Address &address,
                               Duration timeout = seconds(2), const std::string &id = "r1")
{
    RunResult result;
    bool done = false;
    port.run(address, {EntryId("e"), Incarnation{7}}, makeRequest(id), timeout,
             [&](const RunResult &r, Time) {
                 result = r;
                 done = true;
             });
    CHECK_FALSE(done);
    REQUIRE(loop.runUntil([&] { return done; }));
    return result;
}

/// Starts one call of the store and waits for its result.
inline StoreValue callStore(TestLoop &loop, const std::function<void(StoreDone)> &call)
{
    StoreValue value;
    bool done = false;
    call([&](const StoreValue &v, Time) {
        value = v;
        done = true;
    });
    CHECK_FALSE(done);
    REQUIRE(loop.runUntil([&] { return done; }));
    return value;
}

/// Sends raw bytes to a server and returns everything that it sends until it closes the connection.
inline std::string sendRawRequest(TestLoop &loop, const Address &address, const std::string &bytes)
{
    RawSocket socket(loop, address);
    socket.write(bytes);
    CHECK(loop.runUntil([&] { return socket.closed; }));
    return socket.received;
}

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace monsoonledge
