// The client of the platform's workers, against workers that restart at their address.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/httphelpers.h"
#include "platform/platform.h"

#include <memory>
#include <nlohmann/json.hpp>

using namespace monsoonledge;

namespace {

/// One incarnation of a worker at an address. Answers each call with empty lists.
class IncarnationServer
{
public:
    IncarnationServer(EventLoop &loop, const Address &address, std::uint64_t born)
        : server_(loop, HttpServerSettings{address},
                  [this, born](const HttpRequest &request, const HttpResponder &respond, Time) {
                      const nlohmann::json body = nlohmann::json::parse(request.body);
                      if (body.contains("AckCursor"))
                          cursors.push_back(body.at("AckCursor").get<std::uint64_t>());
                      const nlohmann::json answer{{"ClockMs", 1000},
                                                  {"born", born},
                                                  {"Running", nlohmann::json::array()},
                                                  {"Finished", nlohmann::json::array()}};
                      respond({200, {}, answer.dump()});
                  })
    { }

    std::vector<std::uint64_t> cursors; // of the renewals that have arrived

private:
    HttpServer server_;
};

/// The client, and a worker that it takes for the incarnation with this number.
struct ClientBed
{
    TestLoop loop;
    std::unique_ptr<RunPort> client = platform::makePlatformWorkerClient(loop);
    WorkerEntry worker;

    ClientBed()
    {
        worker.id = WorkerId("w0");
        worker.address = findFreeAddress();
        worker.incarnation.value = 1;
    }

    WorkerCallStatus renew(std::uint64_t acknowledged)
    {
        std::optional<WorkerCallStatus> status;
        client->renew(worker, FencingToken{1}, 0, acknowledged, Duration::zero(),
                      [&](const WorkerCallResult &result, Time) { status = result.status; });
        REQUIRE(loop.runUntil([&] { return status.has_value(); }));
        return *status;
    }
};

} // namespace

// Guards against TWICE: the next incarnation forgot its ends up to a position in the former
// incarnation's list.
TEST_CASE("the position of an incarnation's last end reaches no other incarnation of the worker")
{
    ClientBed bed;
    auto server = std::make_unique<IncarnationServer>(bed.loop, bed.worker.address, 1);
    CHECK(bed.renew(7) == WorkerCallStatus::Ok); // nothing is known of this incarnation yet
    CHECK(bed.renew(8) == WorkerCallStatus::Ok);
    CHECK(server->cursors == std::vector<std::uint64_t>{0, 8});

    // It restarts between two calls, and the connection is closed while it is idle.
    server.reset();
    server = std::make_unique<IncarnationServer>(bed.loop, bed.worker.address, 2);
    CHECK(bed.renew(9) == WorkerCallStatus::Ok);
    CHECK(bed.renew(9)
          == WorkerCallStatus::Ok); // the caller still takes it for the former incarnation
    bed.worker.incarnation.value = 2;
    CHECK(bed.renew(1) == WorkerCallStatus::Ok);
    CHECK(server->cursors == std::vector<std::uint64_t>{0, 0, 1});
}
