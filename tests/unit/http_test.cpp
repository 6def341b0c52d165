#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/httphelpers.h"

using namespace monsoonledge;

TEST_CASE("a request whose connection closes after it was sent fails and is never sent again")
{
    TestLoop loop;
    RawServer server(loop, [&](RawSocket &socket, int request) {
        if (request == 2)
            socket.write(OkResponse);
        else
            server.close(socket);
    });
    HttpClient client(loop, {});
    CHECK(post(loop, client, server.address).failure
          == HttpFailure::NoValidResponse); // new connection
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    CHECK(post(loop, client, server.address).failure
          == HttpFailure::NoValidResponse); // reused connection
    loop.runFor(milliseconds(50));
    CHECK(server.requests == 3);
    CHECK(server.sockets.size() == 2);
}

TEST_CASE("an incomplete or ambiguous response is an error and closes the connection")
{
    const std::vector<std::string> responses{
            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", // no last chunk
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nConnection: close\r\n\r\nno length",
            "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n"
                    + std::string(200, 'x'), // over the limit
            "HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n",
            "nonsense\r\n\r\n",
            OkResponse + OkResponse, // the second one must not answer the next request
    };
    for (const std::string &response : responses) {
        CAPTURE(response);
        TestLoop loop;
        RawServer server(loop, [&](RawSocket &socket, int request) {
            socket.write(request == 1 ? response : OkResponse);
            if (request == 1 && response != OkResponse + OkResponse)
                loop.after(milliseconds(20), [&](Time) { server.close(socket); });
        });
        HttpClient client(loop, {4, seconds(1), 100});
        CHECK(post(loop, client, server.address).failure == HttpFailure::NoValidResponse);
        CHECK(loop.runUntil([&] { return server.sockets[0]->closed; }));
        CHECK(post(loop, client, server.address).failure == HttpFailure::None);
        CHECK(server.sockets.size() == 2);
        CHECK(server.requests == 2);
    }
}

TEST_CASE("a response that arrives after the timeout is discarded and does not answer the next "
          "request")
{
    TestLoop loop;
    RawServer server(loop, [&](RawSocket &socket, int request) {
        if (request == 1)
            loop.after(milliseconds(100), [&](Time) { socket.write(OkResponse); });
        else
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
    });
    HttpClient client(loop, {1, seconds(1), 100});
    CHECK(post(loop, client, server.address, milliseconds(40)).failure == HttpFailure::TimedOut);
    CHECK(loop.runUntil([&] { return server.sockets[0]->closed; }));
    CHECK(post(loop, client, server.address).response.body == "new");
}

TEST_CASE("with a stall timeout, a response that keeps arriving is not cut off by the time limit")
{
    struct Case
    {
        Duration stallTimeout;
        int parts; // of the response that are sent, one each 20 ms
        HttpFailure failure;
    };
    constexpr int partsInResponse = 10;
    for (const Case &c : {Case{milliseconds(100), partsInResponse, HttpFailure::None},
                          Case{milliseconds(100), 3, HttpFailure::TimedOut}, // it stalls
                          Case{Duration::zero(), partsInResponse, HttpFailure::TimedOut}}) {
        TestLoop loop;
        std::function<void(RawSocket &, int)> sendPart = [&](RawSocket &socket, int part) {
            socket.write("x");
            if (part < c.parts)
                loop.after(milliseconds(20), [&, part](Time) { sendPart(socket, part + 1); });
        };
        RawServer server(loop, [&](RawSocket &socket, int) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(partsInResponse)
                         + "\r\n\r\n");
            sendPart(socket, 1);
        });
        HttpClientSettings settings;
        settings.stallTimeout = c.stallTimeout;
        HttpClient client(loop, settings);
        CHECK(post(loop, client, server.address, milliseconds(60)).failure == c.failure);
    }
}

TEST_CASE("a large response takes few passes of the event loop, so that a busy loop does not delay "
          "it")
{
    constexpr std::size_t bodyBytes = 200 * 1024;
    constexpr int maxPasses = 25; // at least 8 KiB in each
    TestLoop loop;
    int passes = 0;
    int passesAtRequest = 0;
    RawServer server(loop, [&](RawSocket &socket, int) {
        passesAtRequest = passes;
        const std::string response =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                + std::string(bodyBytes, 'x');
        const int fd = bufferevent_getfd(socket.bev);
        const int sendBuffer = 2 * static_cast<int>(bodyBytes);
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &sendBuffer, sizeof sendBuffer);
        // At once, because a bufferevent would write it over several passes.
        CHECK(send(fd, response.data(), response.size(), MSG_DONTWAIT)
              == static_cast<ssize_t>(response.size()));
    });
    std::function<void(Time)> countPass = [&](Time) {
        ++passes;
        usleep(2000); // the work of a busy pass
        loop.after(Duration::zero(), countPass);
    };
    HttpClient client(loop, {});
    HttpResult result;
    bool isDone = false;
    client.send(server.address, "GET", "/x", {}, {}, seconds(2), [&](const HttpResult &r, Time) {
        result = r;
        isDone = true;
    });
    countPass(loop.now());
    REQUIRE(loop.runUntil([&] { return isDone; }));
    CHECK(result.response.body.size() == bodyBytes);
    CHECK(passes - passesAtRequest < maxPasses);
}

TEST_CASE("with a stall timeout, a request without a response still fails after its time limit")
{
    TestLoop loop;
    RawServer server(loop, [](RawSocket &, int) {});
    HttpClientSettings settings;
    settings.stallTimeout = seconds(10);
    HttpClient client(loop, settings);
    const Time sentAt = loop.now();
    CHECK(post(loop, client, server.address, milliseconds(40)).failure == HttpFailure::TimedOut);
    CHECK(loop.now() - sentAt < seconds(1));
}

TEST_CASE("requests of which no byte was sent are reported as unsent, never from inside send()")
{
    TestLoop loop;
    HttpClient client(loop, {1, milliseconds(100), 100});
    CHECK(post(loop, client, findFreeAddress()).failure == HttpFailure::Refused);
    CHECK(post(loop, client, {"not-an-ip", 80}).failure == HttpFailure::NotSent);
    CHECK(post(loop, client, findFreeAddress(), Duration::zero()).failure == HttpFailure::NotSent);

    // The second request is queued for the only connection until it times out.
    RawServer server(loop, [](RawSocket &, int) {});
    client.send(server.address, "POST", "/x", {}, "", milliseconds(200), [](auto &, Time) {});
    CHECK(post(loop, client, server.address, milliseconds(50)).failure == HttpFailure::NotSent);
    CHECK(server.requests == 1);

    // If the backlog is full, SYN packets are dropped, so the connect gets no answer.
    const Address full = findFreeAddress();
    sockaddr_in socketAddress = toSockaddr(full);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr *>(&socketAddress), sizeof socketAddress) == 0);
    REQUIRE(listen(fd, 0) == 0);
    RawSocket first(loop, full), second(loop, full);
    loop.runFor(milliseconds(20));
    const HttpResult result = post(loop, client, full);
    CHECK(result.failure == HttpFailure::NotSent);
    CHECK(result.detail == "time-out while connecting");
    close(fd);
}

TEST_CASE("an idle connection that the peer closes does not fail the next request")
{
    TestLoop loop;
    RawServer server(loop, [](RawSocket &socket, int) { socket.write(OkResponse); });
    HttpClient client(loop, {});
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    server.close(*server.sockets[0]);
    loop.runFor(milliseconds(20));
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    server.close(*server.sockets[1]); // the loop has not noticed it when the next request starts
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    CHECK(server.sockets.size() == 3);
}

TEST_CASE("the server refuses requests of ambiguous or excessive length and closes the connection")
{
    TestLoop loop;
    int handled = 0;
    const HttpServerSettings settings{findFreeAddress(), 1000, 2000};
    HttpServer server(loop, settings, [&](const HttpRequest &, const HttpResponder &respond, Time) {
        ++handled;
        respond({});
    });
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\n\r\n";
    const std::vector<std::string> requests{
            "POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 26\r\n\r\n" + smuggled,
            "POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nok",
            "POST / HTTP/1.1\r\nContent-Length: 26\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n" + smuggled,
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + smuggled,
            "GET / HTTP/1.1\r\nContent-Length: 26\r\n\r\n" + smuggled,
            "DELETE / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
            "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'),
            "POST / HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n" + std::string(8000000, 'x'),
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x'),
            "GET / HTTP/1.1\r\nX: " + std::string(2100, 'x') + "\r\n\r\n",
            "PATCH / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            "nonsense\r\n\r\n",
            // A long version moves the position of the status code in evhttp's error page.
            "POST / HTTP/1.1000\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'),
            "GET / HTTP/1.1\r\nno colon\r\n\r\n",
    };
    for (const std::string &request : requests) {
        CAPTURE(request.substr(0, 100));
        const std::string response = sendRawRequest(loop, settings.address, request);
        CHECK(contains(response, "HTTP/1.1 4"));
        CHECK(contains(response, "\"outcome\":\"not-run\""));
        CHECK(contains(response, "X-Outcome: not-run"));
    }
    CHECK(handled == 0);
    CHECK(server.openConnections() == 0);
}

TEST_CASE("a response after the client has disconnected has no effect")
{
    TestLoop loop;
    std::vector<HttpResponder> responds;
    const HttpServerSettings settings{findFreeAddress()};
    auto server = std::make_unique<HttpServer>(
            loop, settings, [&](const HttpRequest &r, const HttpResponder &respond, Time) {
                if (r.path == "/throw")
                    throw std::runtime_error("fault");
                responds.push_back(respond);
            });
    const auto request = [&] {
        auto socket = std::make_unique<RawSocket>(loop, settings.address);
        socket->write("GET / HTTP/1.1\r\n\r\n");
        const std::size_t before = responds.size();
        CHECK(loop.runUntil([&] { return responds.size() > before; }));
        return socket;
    };
    request().reset();
    loop.runFor(milliseconds(20));
    responds[0]({200, {}, std::string(3000000, 'x')});
    CHECK(loop.runUntil([&] { return server->openConnections() == 0; }));
    responds[0]({}); // second call

    // If a handler destroys the callback without calling it, the client must still get a response.
    const auto dropped = request();
    responds.pop_back();
    CHECK(loop.runUntil([&] { return dropped->closed; }));
    CHECK(contains(dropped->received, "\"outcome\":\"unknown\""));
    CHECK(contains(sendRawRequest(loop, settings.address, "GET /throw HTTP/1.0\r\n\r\n"),
                   "\"error\":\"fault\""));

    const auto late = request();
    server.reset();
    responds.back()({});
}

TEST_CASE("a server that stops accepting frees its address and still serves open connections")
{
    TestLoop loop;
    std::vector<HttpResponder> responds;
    const HttpServerSettings settings{findFreeAddress()};
    const auto handler = [&](const HttpRequest &, const HttpResponder &respond, Time) {
        responds.push_back(respond);
    };
    HttpServer server(loop, settings, handler);
    CHECK_THROWS_AS(HttpServer(loop, settings, handler), std::runtime_error);
    RawSocket open(loop, settings.address);
    open.write("GET / HTTP/1.1\r\n\r\n");
    CHECK(loop.runUntil([&] { return responds.size() == 1; }));
    RawSocket queued(loop, settings.address); // connected, but not yet accepted by the server
    queued.write("GET / HTTP/1.1\r\n\r\n");
    server.stopAccepting();
    CHECK(loop.runUntil([&] { return responds.size() == 2; }));
    responds[1]({200, {}, "late"});
    CHECK(loop.runUntil([&] { return queued.closed; }));
    CHECK(contains(queued.received, "late"));
    HttpClient client(loop, {});
    CHECK(post(loop, client, settings.address).failure == HttpFailure::Refused);
    const HttpServer successor(loop, settings, handler);
    responds[0]({200, {}, "whole"});
    CHECK(loop.runUntil([&] { return open.closed; }));
    CHECK(contains(open.received, "Connection: close"));
    CHECK(contains(open.received, "whole"));
}

TEST_CASE("connections are counted, refused over the limit, and closed when idle or too slow")
{
    TestLoop loop;
    HttpServerSettings settings{findFreeAddress()};
    settings.maxConnections = 2;
    settings.idleTimeout = milliseconds(200);
    HttpServer server(loop, settings, [&](const HttpRequest &, const HttpResponder &respond, Time) {
        respond({});
    });
    const RawSocket idle(loop, settings.address);
    const RawSocket slow(loop, settings.address);
    CHECK(loop.runUntil([&] { return server.openConnections() == 2; }));
    const std::string refused = sendRawRequest(loop, settings.address, "GET / HTTP/1.1\r\n\r\n");
    CHECK(contains(refused, "HTTP/1.1 503"));
    CHECK(contains(refused, "\"field\":\"connections\""));
    // Each byte restarts evhttp's own timeout, so only the server's limit closes this connection.
    for (int i = 0; i < 40 && !slow.closed; ++i) {
        slow.write("x");
        loop.runFor(milliseconds(20));
    }
    CHECK(slow.closed);
    CHECK(idle.closed);
    CHECK(server.openConnections() == 0);
}

TEST_CASE("a server out of file descriptors neither spins nor stops accepting permanently")
{
    TestLoop loop;
    const HttpServerSettings settings{findFreeAddress()};
    const HttpServer server(loop, settings,
                            [](const HttpRequest &, const HttpResponder &respond, Time) {
                                respond({200, {}, "served"});
                            });
    const int first = dup(0);
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const rlimit limited{static_cast<rlim_t>(first) + 1, before.rlim_max};
    close(first);
    setrlimit(RLIMIT_NOFILE, &limited);
    const RawSocket socket(loop, settings.address); // takes the last descriptor
    socket.write("GET / HTTP/1.1\r\n\r\n");
    const std::clock_t cpuBefore = std::clock();
    loop.runFor(milliseconds(200));
    // A spinning loop would use the whole 200 ms; polling each millisecond uses a few percent.
    CHECK(std::clock() - cpuBefore < CLOCKS_PER_SEC / 10);
    CHECK(socket.received.empty());
    setrlimit(RLIMIT_NOFILE, &before);
    CHECK(loop.runUntil([&] { return contains(socket.received, "served"); }));
}

TEST_CASE("an exception in a callback ends EventLoop::run() and is rethrown from it")
{
    TestLoop loop;
    loop.after(Duration::zero(), [](Time) { throw std::runtime_error("fault"); });
    CHECK_THROWS_AS(loop.run(), std::runtime_error);
    CHECK(loop.runUntil([] { return true; }));
}

TEST_CASE("query parameters and paths are decoded, and header names are in lower case")
{
    TestLoop loop;
    HttpRequest seen;
    const HttpServerSettings settings{findFreeAddress()};
    HttpServer server(loop, settings,
                      [&](const HttpRequest &r, const HttpResponder &respond, Time) {
                          seen = r;
                          respond({});
                      });
    sendRawRequest(
            loop, settings.address,
            "PUT /a%2Fb%20c?x=1%262&empty=&flag HTTP/1.1\r\nX-Caller: Me\r\nConnection: close\r\n"
            "Content-Length: 2\r\n\r\nhi");
    CHECK(seen.method == "PUT");
    CHECK(seen.path == "/a/b c");
    CHECK(seen.query
          == std::map<std::string, std::string>{{"x", "1&2"}, {"empty", ""}, {"flag", ""}});
    CHECK(seen.headers["x-caller"] == "Me");
    CHECK(seen.body == "hi");
    CHECK(percentEncode("a/b c~") == "a%2Fb%20c~");
}
