// The record of unreachable workers, as a process that is not its writer understands it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fleet/unreachable_p.h"

using namespace monsoonledge;

namespace {

constexpr Time WrittenAt(seconds(1000)); // on the writer's clock
constexpr Time ReceivedAt(seconds(50)); // on the receiver's clock
const WorkerId Lost("w0");

KeyValue version(std::uint64_t revision, Time writtenAt, Duration leaseLeft,
                 std::uint64_t writer = 7)
{
    UnreachableWorkers record;
    record.writer.value = writer;
    record.writtenAt = writtenAt;
    UnreachableWorker &worker = record.workers[Lost];
    worker.incarnation.value = 3;
    worker.address = {"10.0.0.1", 80};
    worker.leaseExpiry = writtenAt + leaseLeft;
    return {"coordinator/unreachable", encodeUnreachableWorkers(record), {revision}, false};
}

} // namespace

TEST_CASE("listed times are converted to the clock of the receiver and never come too early")
{
    UnreachableView view;
    REQUIRE(view.receive(version(5, WrittenAt, milliseconds(4321)), ReceivedAt));
    const std::map<WorkerId, UnreachableWorker> workers = view.workers();
    REQUIRE(workers.count(Lost) == 1);
    CHECK(workers.at(Lost).incarnation == WorkerIncarnation{3});
    CHECK(workers.at(Lost).address == Address{"10.0.0.1", 80});
    CHECK(workers.at(Lost).leaseExpiry >= ReceivedAt + milliseconds(4321));
    CHECK(workers.at(Lost).leaseExpiry <= ReceivedAt + milliseconds(4322));
}

// Guards against LOST: a version that is received late must not move the listed times.
TEST_CASE("the version that was received soonest after its writing tells the writer's clock")
{
    UnreachableView view;
    REQUIRE(view.receive(version(5, WrittenAt, seconds(4)), ReceivedAt));
    const Time expiry = view.workers().at(Lost).leaseExpiry;
    REQUIRE(view.receive(version(6, WrittenAt + seconds(1), seconds(3)), ReceivedAt + seconds(3)));
    CHECK(view.workers().at(Lost).leaseExpiry == expiry);
}

// Guards against TWICE: the clock of one writer says nothing of the next one's.
TEST_CASE("the clock of each writer counts for its own versions only")
{
    UnreachableView view;
    REQUIRE(view.receive(version(5, WrittenAt, seconds(4)), ReceivedAt));
    REQUIRE(view.receive(version(6, Time(seconds(9)), seconds(4), 8), ReceivedAt + seconds(1)));
    CHECK(view.workers().at(Lost).leaseExpiry >= ReceivedAt + seconds(5));
}

// Guards against TWICE: a watch may deliver versions that were read before.
TEST_CASE("older versions are ignored")
{
    UnreachableView view;
    REQUIRE(view.receive(version(6, WrittenAt, seconds(6)), ReceivedAt));
    REQUIRE(view.receive(version(5, WrittenAt, seconds(2)), ReceivedAt));
    CHECK(view.workers().at(Lost).leaseExpiry >= ReceivedAt + seconds(6));
    CHECK(view.revision() == StoreRevision{6});
}

TEST_CASE("a malformed record lists no worker, and each byte of it may be wrong")
{
    const std::string bytes = version(5, WrittenAt, seconds(4)).value;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 0xff);
        decodeUnreachableWorkers(changed); // does not throw
        CHECK_FALSE(decodeUnreachableWorkers(bytes.substr(0, i)));
    }
    UnreachableView view;
    REQUIRE(view.receive(version(5, WrittenAt, seconds(4)), ReceivedAt));
    CHECK_FALSE(view.receive({"coordinator/unreachable", "text", {6}, false}, ReceivedAt));
    CHECK(view.workers().empty());
    CHECK(view.revision() == StoreRevision{6});
}
