// Helpers for tests of links over loopback: an event loop that runs until a condition holds, and a
// peer on a plain socket.
#pragma once

#include "adapters/adapters.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <string>

namespace monsoonledge {

struct LoopFixture
{
    EventLoop loop;

    /// Runs the loop until the condition holds or `limit` has passed. Returns the condition.
    bool runUntil(const std::function<bool()> &condition, Duration limit = seconds(5))
    {
        const Time end = loop.now() + limit;
        while (!condition() && loop.now() < end)
            runFor(milliseconds(2));
        return condition();
    }
    void runFor(Duration duration)
    {
        loop.after(duration, [this](Time) { loop.stop(); });
        loop.run();
    }
};

/// A peer on a plain socket, which can violate the protocol at any point.
struct RawPeer
{
    const int descriptor;

    explicit RawPeer(std::uint16_t port) : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in address = loopback(port);
        REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                == 0);
    }
    ~RawPeer() { ::close(descriptor); }
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    static sockaddr_in loopback(std::uint16_t port)
    {
        return {AF_INET, htons(port), {htonl(INADDR_LOOPBACK)}, {}};
    }
    void write(const std::string &bytes)
    {
        // Errors are ignored: tests use isClosed() to check for a closed connection.
        (void)::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void handshake()
    {
        write("GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n\r\n");
    }
    /// Sends a frame with a mask of zeros. Opcodes: 1 is text, 2 is binary.
    void frame(const std::string &payload, char opcode = 2)
    {
        const auto size = static_cast<unsigned>(payload.size());
        std::string head{static_cast<char>(0x80 | opcode), static_cast<char>(0x80 | 126),
                         static_cast<char>(size >> 8U), static_cast<char>(size & 255U)};
        if (size < 126)
            head = {static_cast<char>(0x80 | opcode), static_cast<char>(0x80 | size)};
        write(head + std::string(4, '\0') + payload);
    }
    void hello(const char *name, std::uint64_t incarnation, int protocol = 1)
    {
        handshake();
        frame(encodePeerMessage(PeerHello{
                {EntryId(name), Incarnation{incarnation}}, DomainId("izabal"), protocol}));
    }
    bool isClosed()
    {
        char bytes[4096];
        while (true) {
            const ssize_t size = recv(descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
            if (size <= 0)
                return size == 0 || errno == ECONNRESET;
        }
    }
};

} // namespace monsoonledge
