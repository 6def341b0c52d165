// HTTP clients of endpoints, the versioned store, workers and the host list.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/httphelpers.h"

using namespace monsoonledge;

TEST_CASE("the endpoint client reports NotRun only if certain and checks the echoed request id")
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
        TestLoop loop;
        RawServer server(loop, [&](RawSocket &socket, int) {
            socket.write("HTTP/1.1 " + c.head + "Content-Length: 0\r\n\r\n");
        });
        const auto endpointClient = makeEndpointClient(loop, 1);
        const RunResult result = runOnEndpoint(loop, *endpointClient, server.address);
        CHECK(result.status == c.status);
        CHECK(result.leaving == c.leaving);
        CHECK(server.requests == 1);
        loop.runFor(milliseconds(20));
        CHECK(server.sockets[0]->closed == (c.status == RunStatus::Unknown));
    }
    TestLoop loop;
    const auto endpointClient = makeEndpointClient(loop, 1);
    CHECK(runOnEndpoint(loop, *endpointClient, findFreeAddress()).status == RunStatus::NotRun);
    // A line break in an id would inject a header, and a NUL would truncate the id, which could
    // then equal that of another request.
    for (const std::string &id : {std::string("r1\r\nX-Idempotent: 1"), std::string("r1\0x", 4)}) {
        const RunResult result =
                runOnEndpoint(loop, *endpointClient, findFreeAddress(), seconds(2), id);
        CHECK(result.status == RunStatus::NotRun);
        CHECK(result.detail == "header X-Request-Id contains a control character");
    }
    RawServer silentServer(loop, [](RawSocket &, int) {});
    CHECK(runOnEndpoint(loop, *endpointClient, silentServer.address, milliseconds(30)).status
          == RunStatus::Unknown);
}

TEST_CASE("the endpoint client sends the request headers and decodes the status")
{
    TestLoop loop;
    HttpRequest lastRequest;
    const HttpServerSettings settings{findFreeAddress()};
    HttpServer server(
            loop, settings, [&](const HttpRequest &r, const HttpResponder &respond, Time) {
                lastRequest = r;
                if (r.path == "/status")
                    respond({200,
                             {},
                             R"({"slots":8,"running":2,"runningBy":{"e/7":2},"sampleAgeMs":40})"});
                else
                    respond({201, {{"X-Request-Id", "r1"}, {"Content-Type", "text/x"}}, "charged"});
            });
    const auto endpointClient = makeEndpointClient(loop);
    const RunResult result = runOnEndpoint(loop, *endpointClient, settings.address);
    CHECK(result.httpStatus == 201);
    CHECK(result.body == "charged");
    CHECK(result.contentType == "text/x");
    CHECK(lastRequest.path == "/run/desk/renewal");
    CHECK(lastRequest.headers["x-entry"] == "e/7");
    CHECK(lastRequest.headers["x-idempotent"] == "0");
    EndpointStatus status;
    endpointClient->status(settings.address, [&](const EndpointStatus &s, Time) { status = s; });
    CHECK(loop.runUntil([&] { return status.ok; }));
    CHECK(status.runningByEntry["e/7"] == 2);
    CHECK(status.sampleAge == milliseconds(40));
}

TEST_CASE("a store write is Unknown unless the response or the failure determines its effect")
{
    struct Case
    {
        int code; // HTTP status; 0: the server closes the connection without a response
        StoreStatus status;
    };
    for (const Case &c : {Case{200, StoreStatus::Ok}, Case{409, StoreStatus::Conflict},
                          Case{429, StoreStatus::Refused}, Case{503, StoreStatus::Refused},
                          Case{500, StoreStatus::Unknown}, Case{0, StoreStatus::Unknown}}) {
        CAPTURE(c.code);
        TestLoop loop;
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
        const StoreValue value = callStore(loop, write);
        CHECK(value.status == c.status);
        if (c.status == StoreStatus::Ok || c.status == StoreStatus::Conflict)
            CHECK(value.version == Version{4});
        CHECK(server.requests == 1);
    }
    TestLoop loop;
    const auto unreachableStore = makeStoreClient(loop, findFreeAddress());
    const auto put = [&](std::size_t size) {
        return callStore(loop, [&](const StoreDone &done) {
            unreachableStore->compareAndSwap("k", Version{}, std::string(size, 'x'), done);
        });
    };
    CHECK(put(1).status == StoreStatus::Refused);
    CHECK(put(MaxStoreValueBytes + 1).status == StoreStatus::Refused);
    RawServer silentServer(loop, [](RawSocket &, int) {});
    const auto slowStore = makeStoreClient(loop, silentServer.address, milliseconds(30));
    CHECK(callStore(loop, [&](const StoreDone &done) { slowStore->get("k", done); }).status
          == StoreStatus::Unknown);
}

TEST_CASE("the store client reads, removes, lists and watches keys")
{
    TestLoop loop;
    std::vector<std::string> targets;
    HttpResponder pendingWatch;
    const HttpServerSettings settings{findFreeAddress()};
    HttpServer server(
            loop, settings, [&](const HttpRequest &r, const HttpResponder &respond, Time) {
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
            callStore(loop, [&](const StoreDone &done) { store->get("p/a?", done); });
    CHECK(value.status == StoreStatus::Ok);
    CHECK(value.value == "value");
    CHECK(callStore(loop, [&](const StoreDone &done) { store->get("p/none", done); }).status
          == StoreStatus::NotFound);
    CHECK(callStore(loop, [&](const StoreDone &done) { store->remove("p/n", Version{1}, done); })
                  .status
          == StoreStatus::Conflict);
    StoreListing listing;
    store->list("p/", [&](const StoreListing &l, Time) { listing = l; });
    CHECK(loop.runUntil([&] { return listing.keys.size() == 2; }));
    CHECK(listing.keys[0].first == "p/a");
    loop.runFor(milliseconds(100)); // longer than the timeout of the other calls
    CHECK_FALSE(watchDone);
    REQUIRE(pendingWatch);
    pendingWatch({204, {}, ""});
    CHECK(loop.runUntil([&] { return watchDone; }));
    CHECK(watched.status == StoreStatus::Conflict);
    CHECK(watched.version == Version{1});
}

TEST_CASE("the worker client sends orders and reads reports; the host list client reads hosts")
{
    TestLoop loop;
    HttpRequest lastRequest;
    int status = 200;
    const HttpServerSettings settings{findFreeAddress()};
    HttpServer server(
            loop, settings, [&](const HttpRequest &r, const HttpResponder &respond, Time) {
                lastRequest = r;
                if (r.path == "/hosts") {
                    respond({200,
                             {},
                             R"({"hosts":[{"id":"w","address":"10.0.0.1","port":80,"domain":"a",
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
    CHECK(lastRequest.path == "/tasks/t/1/2/start");
    CHECK(contains(lastRequest.body, R"("cores":0.5)"));
    WorkerReport report;
    workers->report(settings.address, [&](const WorkerReport &r, Time) { report = r; });
    CHECK(loop.runUntil([&] { return report.ok; }));
    CHECK(report.tasks[0].state == WorkerTaskState::Done);
    CHECK(report.usedCores == MilliCores{250});

    HostListing hosts;
    makeHostListClient(loop, settings.address); // destroyed at once: no leak, no callback
    const auto list = makeHostListClient(loop, settings.address);
    list->read([&](const HostListing &l, Time) { hosts = l; });
    CHECK(loop.runUntil([&] { return hosts.ok; }));
    REQUIRE(hosts.hosts.size() == 1);
    CHECK(hosts.hosts[0].state == HostState::Leaving); // an unknown state prevents new work
    CHECK(hosts.hosts[0].cores == MilliCores{1500});
}
