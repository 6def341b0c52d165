#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "adapters/adapters.h"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <stdexcept>

#include <ctime>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace monsoonledge;

namespace {

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// A free port below the range from which the system takes ports of clients (32768 and up). Test
/// processes that run at the same time begin at different ports.
Address nextAddress()
{
    static int port = 21000 + static_cast<int>(getpid() % 100) * 110;
    for (;;) {
        Address address{"127.0.0.1", static_cast<std::uint16_t>(port++)};
        const sockaddr_in at = toSockaddr(address);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const bool free = bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
        close(fd);
        if (free)
            return address;
    }
}

struct Loop : EventLoop
{
    /// Runs the loop until the condition holds. False if it does not hold within the time.
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

/// A TCP peer that writes bytes as told, on either side of a connection.
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
    RawSocket(Loop &loop, const Address &address)
        : RawSocket(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in to = toSockaddr(address);
        bufferevent_socket_connect(bev, reinterpret_cast<sockaddr *>(&to), sizeof to);
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

/// A scripted server. Each received request, of any length, is answered by `script`.
struct RawServer
{
    RawServer(Loop &eventLoop, std::function<void(RawSocket &, int request)> answer)
        : loop(eventLoop), script(std::move(answer)), address(nextAddress())
    {
        sockaddr_in at = toSockaddr(address);
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
                        self->script(socket, ++self->requests);
                    };
                },
                this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, 16,
                reinterpret_cast<sockaddr *>(&at), sizeof at);
        REQUIRE(listener);
    }
    ~RawServer() { evconnlistener_free(listener); }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    /// Closes a connection from the peer's side.
    void close(const RawSocket &socket)
    {
        for (auto &s : sockets) {
            if (s.get() == &socket)
                shutdown(bufferevent_getfd(s->bev), SHUT_RDWR);
        }
    }

    Loop &loop;
    std::function<void(RawSocket &, int)> script;
    Address address;
    evconnlistener *listener = nullptr;
    std::vector<std::unique_ptr<RawSocket>> sockets;
    int requests = 0;
};

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends one POST and waits for its result.
HttpResult post(Loop &loop, HttpClient &client, const Address &address,
                Duration timeout = seconds(2))
{
    HttpResult result;
    int calls = 0;
    client.send(address, "POST", "/x", {}, "body", timeout, [&](const HttpResult &r, Time) {
        result = r;
        ++calls;
    });
    CHECK(calls == 0); // never from inside the call
    REQUIRE(loop.runUntil([&] { return calls > 0; }));
    loop.runFor(milliseconds(5));
    CHECK(calls == 1);
    return result;
}

Request makeRequest(const std::string &id)
{
    Request request;
    request.id = RequestId(id);
    request.service = ServiceId("desk");
    request.requestClass = ClassId("desk/renewal");
    request.idempotent = false;
    return request;
}

RunResult runOn(Loop &loop, EndpointPort &port, const Address &address,
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

StoreValue waitFor(Loop &loop, const std::function<void(StoreDone)> &call)
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

/// Sends raw bytes to a server and returns all that it sends until it closes the connection.
std::string exchange(Loop &loop, const Address &address, const std::string &bytes)
{
    RawSocket socket(loop, address);
    socket.write(bytes);
    CHECK(loop.runUntil([&] { return socket.closed; }));
    return socket.received;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a request whose connection dies after it was sent is lost and never sent again")
{
    Loop loop;
    RawServer server(loop, [&](RawSocket &socket, int request) {
        if (request == 2)
            socket.write(Ok);
        else
            server.close(socket);
    });
    HttpClient client(loop, {});
    CHECK(post(loop, client, server.address).failure == HttpFailure::Lost); // new connection
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    CHECK(post(loop, client, server.address).failure == HttpFailure::Lost); // reused connection
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
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n"
                    + std::string(200, 'x'), // over the limit
            "HTTP/1.1 103 Early\r\n\r\n" + Ok,
            "nonsense\r\n\r\n",
            Ok + Ok, // the second one would answer the next request
    };
    for (const std::string &response : responses) {
        CAPTURE(response);
        Loop loop;
        RawServer server(loop, [&](RawSocket &socket, int request) {
            socket.write(request == 1 ? response : Ok);
            if (request == 1 && response != Ok + Ok)
                loop.after(milliseconds(20), [&](Time) { server.close(socket); });
        });
        HttpClient client(loop, {4, seconds(1), 100});
        CHECK(post(loop, client, server.address).failure == HttpFailure::Lost);
        CHECK(loop.runUntil([&] { return server.sockets[0]->closed; }));
        CHECK(post(loop, client, server.address).failure == HttpFailure::None);
        CHECK(server.sockets.size() == 2);
        CHECK(server.requests == 2);
    }
}

TEST_CASE("a late response is dropped with its connection and does not answer the next request")
{
    Loop loop;
    RawServer server(loop, [&](RawSocket &socket, int request) {
        if (request == 1)
            loop.after(milliseconds(100), [&](Time) { socket.write(Ok); });
        else
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
    });
    HttpClient client(loop, {1, seconds(1), 100});
    CHECK(post(loop, client, server.address, milliseconds(40)).failure == HttpFailure::TimedOut);
    CHECK(loop.runUntil([&] { return server.sockets[0]->closed; }));
    CHECK(post(loop, client, server.address).response.body == "new");
}

TEST_CASE("requests that cannot have left are reported as such, never from inside the call")
{
    Loop loop;
    HttpClient client(loop, {1, milliseconds(100), 100});
    CHECK(post(loop, client, nextAddress()).failure == HttpFailure::Refused);
    CHECK(post(loop, client, {"not-an-ip", 80}).failure == HttpFailure::NotConnected);
    CHECK(post(loop, client, nextAddress(), Duration::zero()).failure == HttpFailure::NotConnected);

    // A second request waits for the only connection until its time-out.
    RawServer server(loop, [](RawSocket &, int) {});
    client.send(server.address, "POST", "/x", {}, "", milliseconds(200), [](auto &, Time) {});
    CHECK(post(loop, client, server.address, milliseconds(50)).failure
          == HttpFailure::NotConnected);
    CHECK(server.requests == 1);

    // A full backlog: SYN packets are dropped, so the connection attempt gets no answer.
    const Address full = nextAddress();
    sockaddr_in at = toSockaddr(full);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0);
    REQUIRE(listen(fd, 0) == 0);
    RawSocket first(loop, full), second(loop, full);
    loop.runFor(milliseconds(20));
    CHECK(post(loop, client, full).failure == HttpFailure::NotConnected);
    close(fd);
}

TEST_CASE("an idle connection that the peer closes does not fail the next request")
{
    Loop loop;
    RawServer server(loop, [](RawSocket &socket, int) { socket.write(Ok); });
    HttpClient client(loop, {});
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    server.close(*server.sockets[0]);
    loop.runFor(milliseconds(20));
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    server.close(*server.sockets[1]); // not yet seen by the loop when the next request starts
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    CHECK(post(loop, client, server.address).failure == HttpFailure::None);
    CHECK(server.sockets.size() == 3);
}

TEST_CASE("the endpoint client says not run only when certain, and checks the echoed request id")
{
    struct Case
    {
        std::string head;
        RunStatus status;
        bool leaving;
    };
    const std::vector<Case> cases{
            {"200 OK\r\nX-Request-Id: r1\r\n", RunStatus::Answered, false},
            {"200 OK\r\nX-Request-Id: r2\r\n", RunStatus::Unknown, false},
            {"200 OK\r\n", RunStatus::Unknown, false},
            {"503 Busy\r\nX-Request-Id: r1\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\n", RunStatus::NotRun,
             true},
            {"503 Busy\r\nX-Request-Id: r1\r\n", RunStatus::Answered, false},
            {"500 Error\r\nX-Request-Id: r1\r\nX-Not-Run: 1\r\n", RunStatus::Answered, false},
            {"503 Busy\r\nX-Request-Id: r2\r\nX-Not-Run: 1\r\n", RunStatus::Unknown, false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.head);
        Loop loop;
        RawServer server(loop, [&](RawSocket &socket, int) {
            socket.write("HTTP/1.1 " + c.head + "Content-Length: 0\r\n\r\n");
        });
        const auto port = makeEndpointClient(loop, 1);
        const RunResult result = runOn(loop, *port, server.address);
        CHECK(result.status == c.status);
        CHECK(result.leaving == c.leaving);
        CHECK(server.requests == 1);
        loop.runFor(milliseconds(20));
        CHECK(server.sockets[0]->closed == (c.status == RunStatus::Unknown));
    }
    Loop loop;
    const auto port = makeEndpointClient(loop, 1);
    CHECK(runOn(loop, *port, nextAddress()).status == RunStatus::NotRun);
    // A line break in an id would forge a header, and a NUL cut the id to that of another request.
    for (const std::string &id : {std::string("r1\r\nX-Idempotent: 1"), std::string("r1\0x", 4)})
        CHECK(runOn(loop, *port, nextAddress(), seconds(2), id).detail
              == "header X-Request-Id contains a control character");
    RawServer silent(loop, [](RawSocket &, int) {});
    CHECK(runOn(loop, *port, silent.address, milliseconds(30)).status == RunStatus::Unknown);
}

TEST_CASE("the endpoint client sends the headers of the interface and reads a status")
{
    Loop loop;
    HttpRequest seen;
    const HttpServerSettings settings{nextAddress()};
    HttpServer server(loop, settings, [&](const HttpRequest &r, const HttpRespond &respond, Time) {
        seen = r;
        if (r.path == "/status")
            respond({200, {}, R"({"slots":8,"running":2,"runningBy":{"e/7":2},"sampleAgeMs":40})"});
        else
            respond({201, {{"X-Request-Id", "r1"}, {"Content-Type", "text/x"}}, "charged"});
    });
    const auto port = makeEndpointClient(loop);
    const RunResult result = runOn(loop, *port, settings.address);
    CHECK(result.httpStatus == 201);
    CHECK(result.body == "charged");
    CHECK(result.contentType == "text/x");
    CHECK(seen.path == "/run/desk/renewal");
    CHECK(seen.headers["x-entry"] == "e/7");
    CHECK(seen.headers["x-idempotent"] == "0");
    EndpointStatus status;
    port->status(settings.address, [&](const EndpointStatus &s, Time) { status = s; });
    CHECK(loop.runUntil([&] { return status.ok; }));
    CHECK(status.runningByEntry["e/7"] == 2);
    CHECK(status.sampleAge == milliseconds(40));
}

TEST_CASE("a store write is unknown unless the store or the connection rules out its effect")
{
    struct Case
    {
        int code; // 0: the connection is closed after the request
        StoreStatus status;
    };
    for (const Case &c : {Case{200, StoreStatus::Ok}, Case{409, StoreStatus::Conflict},
                          Case{429, StoreStatus::Refused}, Case{503, StoreStatus::Refused},
                          Case{500, StoreStatus::Unknown}, Case{0, StoreStatus::Unknown}}) {
        CAPTURE(c.code);
        Loop loop;
        RawServer server(loop, [&](RawSocket &socket, int) {
            if (c.code == 0)
                server.close(socket);
            else
                socket.write("HTTP/1.1 " + std::to_string(c.code)
                             + " x\r\nX-Version: 4\r\nContent-Length: 0\r\n\r\n");
        });
        const auto store = makeStoreClient(loop, server.address, milliseconds(100));
        const auto write = [&](const StoreDone &done) {
            store->compareAndSwap("domains/a b", Version{3}, "v", done);
        };
        const StoreValue value = waitFor(loop, write);
        CHECK(value.status == c.status);
        if (c.status == StoreStatus::Ok || c.status == StoreStatus::Conflict)
            CHECK(value.version == Version{4});
        CHECK(server.requests == 1);
    }
    Loop loop;
    const auto down = makeStoreClient(loop, nextAddress());
    const auto put = [&](std::size_t size) {
        return waitFor(loop, [&](const StoreDone &done) {
            down->compareAndSwap("k", Version{}, std::string(size, 'x'), done);
        });
    };
    CHECK(put(1).status == StoreStatus::Refused);
    CHECK(put(MaxStoreValueBytes + 1).status == StoreStatus::Refused);
    RawServer silent(loop, [](RawSocket &, int) {});
    const auto slow = makeStoreClient(loop, silent.address, milliseconds(30));
    CHECK(waitFor(loop, [&](const StoreDone &done) { slow->get("k", done); }).status
          == StoreStatus::Unknown);
}

TEST_CASE("store reads, listings and watches")
{
    Loop loop;
    std::vector<std::string> targets;
    HttpRespond pendingWatch;
    const HttpServerSettings settings{nextAddress()};
    HttpServer server(loop, settings, [&](const HttpRequest &r, const HttpRespond &respond, Time) {
        targets.push_back(r.path);
        if (r.path == "/list")
            respond({200, {}, R"([{"key":"p/b","version":2},{"key":"p/a","version":1}])"});
        else if (r.path == "/kv/p/a?")
            respond({200, {{"X-Version", "1"}}, "value"});
        else if (r.path == "/watch/p/a")
            pendingWatch = respond;
        else
            respond({404, {}, ""});
    });
    const auto store = makeStoreClient(loop, settings.address, milliseconds(50));
    StoreValue watched;
    bool watchDone = false;
    store->watch("p/a", Version{1}, [&](const StoreValue &v, Time) {
        watched = v;
        watchDone = true;
    });
    const StoreValue value =
            waitFor(loop, [&](const StoreDone &done) { store->get("p/a?", done); });
    CHECK(value.status == StoreStatus::Ok);
    CHECK(value.value == "value");
    CHECK(waitFor(loop, [&](const StoreDone &done) { store->get("p/none", done); }).status
          == StoreStatus::NotFound);
    CHECK(waitFor(loop, [&](const StoreDone &done) { store->remove("p/n", Version{1}, done); })
                  .status
          == StoreStatus::Conflict);
    StoreListing listing;
    store->list("p/", [&](const StoreListing &l, Time) { listing = l; });
    CHECK(loop.runUntil([&] { return listing.keys.size() == 2; }));
    CHECK(listing.keys[0].first == "p/a");
    loop.runFor(milliseconds(100)); // longer than the time-out of the other calls
    CHECK_FALSE(watchDone);
    REQUIRE(pendingWatch);
    pendingWatch({204, {}, ""});
    CHECK(loop.runUntil([&] { return watchDone; }));
    CHECK(watched.status == StoreStatus::Conflict);
    CHECK(watched.version == Version{1});
}

TEST_CASE("worker orders and the host list")
{
    Loop loop;
    HttpRequest seen;
    int status = 200;
    const HttpServerSettings settings{nextAddress()};
    HttpServer server(loop, settings, [&](const HttpRequest &r, const HttpRespond &respond, Time) {
        seen = r;
        if (r.path == "/hosts") {
            respond({200, {}, R"({"hosts":[{"id":"w","address":"10.0.0.1","port":80,"domain":"a",
                "kind":"worker","state":"retiring","cores":1.5},{"id":"broken"}]})"});
        } else if (r.path == "/tasks") {
            respond({200, {}, R"({"tasks":[{"task":"t","generation":2,"state":"done"}],
                "usage":{"cores":0.25,"memoryMb":9,"sampleAgeMs":5}})"});
        } else {
            respond({status, {}, R"({"checkpoint":"c1"})"});
        }
    });
    const auto workers = makeWorkerClient(loop);
    TaskOrder order;
    order.task = TaskId("t/1");
    order.generation.value = 2;
    order.command = TaskCommand::Start;
    order.cores.value = 500;
    for (const auto &[code, expected] : std::map<int, OrderStatus>{{200, OrderStatus::Ok},
                                                                   {409, OrderStatus::Refused},
                                                                   {500, OrderStatus::Unknown}}) {
        status = code;
        std::string checkpoint;
        OrderStatus result{};
        workers->order(settings.address, order, [&](OrderStatus s, const std::string &c, Time) {
            result = s;
            checkpoint = c;
        });
        CHECK(loop.runUntil([&] { return checkpoint == "c1"; }));
        CHECK(result == expected);
    }
    CHECK(seen.path == "/tasks/t/1/2/start");
    CHECK(contains(seen.body, R"("cores":0.5)"));
    WorkerReport report;
    workers->report(settings.address, [&](const WorkerReport &r, Time) { report = r; });
    CHECK(loop.runUntil([&] { return report.ok; }));
    CHECK(report.tasks[0].state == WorkerTaskState::Done);
    CHECK(report.usedCores == MilliCores{250});

    HostListing hosts;
    makeHostListClient(loop, settings.address); // destroyed at once: no callback, no leak
    const auto list = makeHostListClient(loop, settings.address);
    list->read([&](const HostListing &l, Time) { hosts = l; });
    CHECK(loop.runUntil([&] { return hosts.ok; }));
    REQUIRE(hosts.hosts.size() == 1);
    CHECK(hosts.hosts[0].state == HostState::Leaving); // unknown states get no new work
    CHECK(hosts.hosts[0].cores == MilliCores{1500});
}

TEST_CASE("the server refuses requests of ambiguous or excessive length and closes the connection")
{
    Loop loop;
    int handled = 0;
    const HttpServerSettings settings{nextAddress(), 1000, 2000};
    HttpServer server(loop, settings, [&](const HttpRequest &, const HttpRespond &respond, Time) {
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
    };
    for (const std::string &request : requests) {
        CAPTURE(request.substr(0, 100));
        const std::string response = exchange(loop, settings.address, request);
        CHECK(contains(response, "HTTP/1.1 4"));
        CHECK(contains(response, "\"outcome\":\"not-run\""));
        CHECK(contains(response, "X-Outcome: not-run"));
    }
    CHECK(handled == 0);
    CHECK(server.openConnections() == 0);
}

TEST_CASE("a response after the client has disconnected has no effect")
{
    Loop loop;
    std::vector<HttpRespond> responds;
    const HttpServerSettings settings{nextAddress()};
    auto server = std::make_unique<HttpServer>(
            loop, settings, [&](const HttpRequest &r, const HttpRespond &respond, Time) {
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
    responds[0]({}); // a second call has no effect either

    // A handler that drops the callback must not leave the client waiting for ever.
    const auto dropped = request();
    responds.pop_back();
    CHECK(loop.runUntil([&] { return dropped->closed; }));
    CHECK(contains(dropped->received, "\"outcome\":\"unknown\""));
    CHECK(contains(exchange(loop, settings.address, "GET /throw HTTP/1.0\r\n\r\n"),
                   "\"error\":\"fault\""));

    const auto late = request();
    server.reset();
    responds.back()({});
}

TEST_CASE("a server that stops accepting frees its address and still answers open connections")
{
    Loop loop;
    std::vector<HttpRespond> responds;
    const HttpServerSettings settings{nextAddress()};
    const auto handler = [&](const HttpRequest &, const HttpRespond &respond, Time) {
        responds.push_back(respond);
    };
    HttpServer server(loop, settings, handler);
    CHECK_THROWS_AS(HttpServer(loop, settings, handler), std::runtime_error);
    RawSocket open(loop, settings.address);
    open.write("GET / HTTP/1.1\r\n\r\n");
    CHECK(loop.runUntil([&] { return responds.size() == 1; }));
    RawSocket queued(loop, settings.address); // connected, but not yet accepted by the loop
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
    Loop loop;
    HttpServerSettings settings{nextAddress()};
    settings.maxConnections = 2;
    settings.idleTimeout = milliseconds(200);
    HttpServer server(loop, settings,
                      [&](const HttpRequest &, const HttpRespond &respond, Time) { respond({}); });
    const RawSocket idle(loop, settings.address);
    const RawSocket slow(loop, settings.address);
    CHECK(loop.runUntil([&] { return server.openConnections() == 2; }));
    const std::string refused = exchange(loop, settings.address, "GET / HTTP/1.1\r\n\r\n");
    CHECK(contains(refused, "HTTP/1.1 503"));
    CHECK(contains(refused, "\"field\":\"connections\""));
    // Each byte restarts evhttp's own time-out.
    for (int i = 0; i < 40 && !slow.closed; ++i) {
        slow.write("x");
        loop.runFor(milliseconds(20));
    }
    CHECK(slow.closed);
    CHECK(idle.closed);
    CHECK(server.openConnections() == 0);
}

TEST_CASE("a server out of file descriptors neither spins nor stops accepting for good")
{
    Loop loop;
    const HttpServerSettings settings{nextAddress()};
    const HttpServer server(loop, settings,
                            [](const HttpRequest &, const HttpRespond &respond, Time) {
                                respond({200, {}, "served"});
                            });
    const int first = dup(0);
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const rlimit few{static_cast<rlim_t>(first) + 1, before.rlim_max};
    close(first);
    setrlimit(RLIMIT_NOFILE, &few);
    const RawSocket socket(loop, settings.address); // takes the last descriptor
    socket.write("GET / HTTP/1.1\r\n\r\n");
    const std::clock_t cpu = std::clock();
    loop.runFor(milliseconds(200));
    // Spinning takes the whole 200 ms; the poll each millisecond takes a few percent.
    CHECK(std::clock() - cpu < CLOCKS_PER_SEC / 10);
    CHECK(socket.received.empty());
    setrlimit(RLIMIT_NOFILE, &before);
    CHECK(loop.runUntil([&] { return contains(socket.received, "served"); }));
}

TEST_CASE("an exception in a callback ends the run and is thrown from it")
{
    Loop loop;
    loop.after(Duration::zero(), [](Time) { throw std::runtime_error("fault"); });
    CHECK_THROWS_AS(loop.run(), std::runtime_error);
    CHECK(loop.runUntil([] { return true; }));
}

TEST_CASE("query parameters and paths are decoded, and header names are in lower case")
{
    Loop loop;
    HttpRequest seen;
    const HttpServerSettings settings{nextAddress()};
    HttpServer server(loop, settings, [&](const HttpRequest &r, const HttpRespond &respond, Time) {
        seen = r;
        respond({});
    });
    exchange(loop, settings.address,
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
