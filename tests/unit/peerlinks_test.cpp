#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "adapters/adapters.h"
#include "adapters/peerchannel_p.h"
#include "fakes/linkhelpers.h"

#include <doctest/doctest.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <ctime>
#include <sys/resource.h>

using namespace monsoonledge;

namespace {

/// One entry process. Records the signals of its links, such as "up 7" or "down refused".
struct EntryProcess
{
    PeerLinkSettings settings;
    std::unique_ptr<PeerPort> links;
    std::vector<std::string> events;
    std::vector<std::string> forwards;

    EntryProcess(EventLoop &loop, const char *name, std::uint16_t port,
                 std::uint64_t incarnation = 1)
    {
        settings = {
                {EntryId(name), Incarnation{incarnation}}, DomainId("izabal"), {"127.0.0.1", port}};
        settings.silenceTimeout = milliseconds(300);
        settings.connectTimeout = milliseconds(200);
        settings.reconnectDelay = milliseconds(20);
        start(loop);
    }
    void start(EventLoop &loop)
    {
        links = makePeerLinks(loop, settings);
        links->linkUp.connect([this](const EntryId &, Incarnation incarnation, Time) {
            events.push_back("up " + std::to_string(incarnation.value));
        });
        links->linkDown.connect([this](const EntryId &, LinkLoss loss, Time) {
            const char *names[] = {"down refused", "down closed", "down timed out"};
            events.emplace_back(names[static_cast<int>(loss)]);
        });
        links->forwardReceived.connect([this](const EntryId &, const ForwardMessage &m, Time) {
            forwards.push_back(m.request.body);
        });
    }
    void add(const EntryProcess &other)
    {
        links->addPeer(other.settings.self.entry, other.settings.listen);
    }
    bool hasEvent(const std::string &event) const { return count(event) > 0; }
    long count(const std::string &event) const
    {
        return std::count(events.begin(), events.end(), event);
    }
};

/// Two processes whose link is up. "a", with the smaller entry id, is the one that connects.
struct ConnectedPair : LoopFixture
{
    EntryProcess a{loop, "a", 23101, 7};
    EntryProcess b{loop, "b", 23102, 9};

    ConnectedPair()
    {
        a.add(b);
        b.add(a);
        REQUIRE(runUntil([&] { return a.hasEvent("up 9") && b.hasEvent("up 7"); }));
    }
};

ForwardMessage forward(const std::string &body)
{
    const ClassId results("ledger/results");
    return {1, {RequestId("r"), CallerId(), ServiceId("ledger"), results, true, {}, body}, false};
}

/// A process "b" with a link to "a", which is a RawPeer. When "b" probes the address of "a", it
/// finds a suspended process, which listens but does not run its event loop.
struct RawPeerFixture : LoopFixture
{
    EventLoop stoppedLoop;
    EntryProcess suspended{stoppedLoop, "a", 23103};
    EntryProcess b{loop, "b", 23104};
    RawPeer raw{23104};

    RawPeerFixture()
    {
        b.add(suspended);
        raw.hello("a", 1);
        REQUIRE(runUntil([&] { return b.hasEvent("up 1"); }));
    }
};

} // namespace

TEST_CASE_FIXTURE(ConnectedPair, "messages arrive in both directions, complete and in order")
{
    std::vector<std::string> sent;
    for (int i = 0; i < 20; ++i) {
        // 7 bodies of 256 KiB are pending at once, which is below maxPendingBytes.
        sent.push_back(std::to_string(i) + std::string(i % 3 == 0 ? MaxBodyBytes - 8 : 10, 'x'));
        REQUIRE(a.links->send(EntryId("b"), forward(sent.back())));
        REQUIRE(b.links->send(EntryId("a"), forward(sent.back())));
    }
    std::size_t sheetSize = 0;
    b.links->sheetReceived.connect(
            [&](const EntryId &, const SheetMessage &m, Time) { sheetSize = m.text.size(); });
    const SheetMessage sheet{Revision{1}, "operator", std::string(MaxStoreValueBytes, 's')};
    REQUIRE(a.links->send(EntryId("b"), sheet));
    // A message over the limits is not sent, and the link stays up.
    CHECK(!a.links->send(EntryId("b"), forward(std::string(MaxBodyBytes + 1, 'x'))));
    CHECK(a.forwards.empty()); // send() must not deliver messages
    CHECK(runUntil([&] { return a.forwards.size() == 20 && b.forwards.size() == 20; }));
    CHECK(runUntil([&] { return sheetSize == sheet.text.size(); }));
    CHECK((a.forwards == sent && b.forwards == sent));
    CHECK((a.events.size() == 1 && b.events.size() == 1)); // only the initial "up"
}

TEST_CASE_FIXTURE(ConnectedPair,
                  "either side reports a dead peer as refused and a restart as a new incarnation")
{
    // The accepting process dies. Its last message still arrives at the connecting one.
    REQUIRE(b.links->send(EntryId("a"), forward("last")));
    b.links.reset();
    CHECK(runUntil([&] { return a.count("down refused") >= 2; }));
    CHECK(!a.links->send(EntryId("b"), SheetRequestMessage{}));
    CHECK((a.forwards == std::vector<std::string>{"last"} && a.events.at(1) == "down closed"));
    b.settings.self.incarnation.value = 10;
    b.events.clear();
    b.start(loop);
    b.add(a);
    REQUIRE(runUntil([&] { return a.hasEvent("up 10") && b.hasEvent("up 7"); }));
    // The connecting process dies.
    a.links.reset();
    CHECK(runUntil([&] { return b.count("down refused") >= 2; }));
    CHECK(b.events.at(1) == "down closed");
    a.settings.self.incarnation.value = 8;
    a.start(loop);
    a.add(b);
    CHECK(runUntil([&] { return b.hasEvent("up 8") && a.count("up 10") == 2; }));
}

TEST_CASE_FIXTURE(ConnectedPair, "a link lost while both processes are running is reestablished")
{
    // The handler of a message removes the peer whose connection delivers the message.
    b.links->forwardReceived.connect([&](const EntryId &entry, const ForwardMessage &, Time) {
        b.links->removePeer(entry);
        b.add(a);
    });
    REQUIRE(a.links->send(EntryId("b"), forward("1")));
    REQUIRE(a.links->send(EntryId("b"), forward("2")));
    CHECK(runUntil([&] { return a.count("up 9") == 2 && b.count("up 7") == 2; }));
    CHECK(b.forwards == std::vector<std::string>{"1"});
    CHECK((!a.hasEvent("down refused") && !b.hasEvent("down refused")));
}

TEST_CASE_FIXTURE(ConnectedPair,
                  "a newer incarnation replaces the link, and an older one is rejected")
{
    EntryProcess newer(loop, "a", 23109, 8);
    newer.add(b);
    REQUIRE(runUntil([&] { return newer.hasEvent("up 9"); }));
    CHECK(b.events == std::vector<std::string>{"up 7", "down closed", "up 8"});
    // The old incarnation tries to reconnect and is rejected.
    CHECK(runUntil([&] { return a.count("down closed") >= 3; }));
    CHECK((a.count("up 9") == 1 && b.events.size() == 3));
    // The connecting side also rejects an older incarnation: it has seen incarnation 9 of b.
    newer.links->removePeer(EntryId("b"));
    EntryProcess older(loop, "b", 23110, 8);
    older.add(newer);
    newer.add(older);
    CHECK(runUntil([&] { return newer.count("down closed") >= 2; }));
    CHECK(!newer.hasEvent("up 8"));
}

TEST_CASE_FIXTURE(LoopFixture, "unexpected entries and other protocol versions get no link")
{
    EntryProcess b(loop, "b", 23111);
    EntryProcess a(loop, "a", 23112);
    EntryProcess d(loop, "d", 23113);
    a.links->addPeer(EntryId("c"), b.settings.listen); // b listens there, not c
    b.add(a);
    a.add(d); // d does not know a
    a.links->addPeer(EntryId("b"), {"127.0.0.1", 23114}); // nothing listens on this port
    CHECK(runUntil([&] { return a.count("down closed") >= 4; }));
    CHECK(!a.hasEvent("up 1"));
    a.links->removePeer(EntryId("d"));
    d.add(a);
    RawPeer otherProtocol(23113);
    otherProtocol.hello("a", 1, 2);
    CHECK(runUntil([&] { return otherProtocol.isClosed(); }));
    CHECK(d.events.empty());
}

TEST_CASE_FIXTURE(ConnectedPair,
                  "invalid bytes from other connections do not affect an established link")
{
    Random random(5);
    for (int round = 0; round < 200; ++round) {
        std::string bytes(random.below(3000), '\0'); // an empty one is like a probe
        std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(random.next()); });
        RawPeer raw(23102);
        if (round % 2 == 0)
            raw.handshake();
        raw.write(bytes);
        runFor(milliseconds(2));
        REQUIRE(a.links->send(EntryId("b"),
                              SheetRequestMessage{})); // prevents a timeout of the link
        REQUIRE(b.links->send(EntryId("a"), SheetRequestMessage{}));
    }
    RawPeer early(23102); // a message before the hello
    early.handshake();
    early.frame(encodePeerMessage(forward("early")));
    CHECK(runUntil([&] { return early.isClosed(); }, milliseconds(100)));
    CHECK((b.forwards.empty() && a.events.size() == 1
           && b.events.size() == 1)); // only the initial "up"
}

TEST_CASE_FIXTURE(RawPeerFixture,
                  "an invalid message closes the link, and later messages are not delivered")
{
    const std::string good = encodePeerMessage(forward("good"));
    const std::string hello = encodePeerMessage(PeerHello{b.settings.self, b.settings.domain, 1});
    long round = 0;
    for (const std::string &bytes : {std::string("rubbish"), good, hello, good.substr(1)}) {
        RawPeer next(23104); // replaces the link of the previous round
        next.hello("a", 1);
        ++round;
        REQUIRE(runUntil([&] { return b.count("up 1") == round + 1; }));
        next.frame(good);
        next.frame(bytes, bytes == good ? 1 : 2); // a text frame is invalid
        next.frame(encodePeerMessage(forward("after")));
        CHECK(runUntil([&] { return next.isClosed(); }));
        CHECK(b.count("down closed") == round + 1);
    }
    CHECK(b.forwards == std::vector<std::string>(4, "good"));
}

TEST_CASE_FIXTURE(RawPeerFixture, "a silent peer times out, on either side and before the hello")
{
    // The accepting side: `raw` sends nothing after its hello, `silentPeer` sends nothing at all.
    RawPeer silentPeer(23104);
    const Time start = loop.now();
    CHECK(runUntil([&] { return b.hasEvent("down timed out"); }));
    CHECK(loop.now() - start >= milliseconds(250));
    CHECK(runUntil([&] { return silentPeer.isClosed(); }, milliseconds(400)));
    // The connecting side: the kernel accepts the connection, but the process does not respond.
    b.links->addPeer(EntryId("c"), {"127.0.0.1", 23103});
    CHECK(runUntil([&] { return b.count("down timed out") == 2; }));
    CHECK(b.events.size() == 3); // a suspended process is never reported as refused
}

TEST_CASE_FIXTURE(LoopFixture,
                  "a connection attempt without a reply is reported as timed out, not refused")
{
    const sockaddr_in address = RawPeer::loopback(23120);
    evconnlistener *fullListener =
            evconnlistener_new_bind(loop.base(), nullptr, nullptr,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_DISABLED | LEV_OPT_REUSEABLE, 1,
                                    reinterpret_cast<const sockaddr *>(&address), sizeof address);
    REQUIRE(fullListener != nullptr);
    RawPeer first(23120); // a backlog of 1 takes two; the kernel drops further ones
    RawPeer second(23120);
    EntryProcess a(loop, "a", 23121);
    a.links->addPeer(EntryId("b"), {"127.0.0.1", 23120});
    CHECK(runUntil([&] { return a.count("down timed out") == 2; }));
    a.links->removePeer(EntryId("b"));
    a.links->addPeer(EntryId("c"), {"no number", 1});
    CHECK(runUntil([&] { return a.count("down timed out") == 4; }));
    CHECK(a.count("down timed out") == static_cast<long>(a.events.size()));
    evconnlistener_free(fullListener);
    for (int error = 1; error < 200; ++error) // such as unreachable networks
        CHECK((lossFromConnectError(error) == LinkLoss::Refused) == (error == ECONNREFUSED));
}

TEST_CASE_FIXTURE(LoopFixture,
                  "a refusal of a connect started before addPeer() is not reported after it")
{
    EntryProcess a(loop, "a", 23122);
    a.links->addPeer(EntryId("b"), {"127.0.0.1", 23123});
    event_base_loop(loop.base(),
                    EVLOOP_ONCE); // starts the connect; the refusal is not yet reported
    EntryProcess b(loop, "b", 23123, 5);
    b.add(a);
    a.add(b); // called again for the new incarnation
    CHECK(runUntil([&] { return a.hasEvent("up 5"); }));
    CHECK(!a.hasEvent("down refused"));
}

TEST_CASE_FIXTURE(RawPeerFixture, "too many unsent bytes close the link, but not during send()")
{
    int sent = 0;
    while (sent < 1000 && b.links->send(EntryId("a"), forward(std::string(MaxBodyBytes, 'x'))))
        ++sent;
    CHECK(sent == 15); // with its header, the 16th would exceed 4 MiB
    CHECK(!b.links->send(EntryId("a"), SheetRequestMessage{}));
    CHECK(b.events.size() == 1);
    CHECK(runUntil([&] { return b.hasEvent("down closed"); }));
}

// Guards against a loop that spins, or a listener that stays off, after a lack of file descriptors.
TEST_CASE_FIXTURE(LoopFixture, "connections are accepted again after a lack of file descriptors")
{
    EntryProcess b(loop, "b", 23124);
    b.links->addPeer(EntryId("a"), {"127.0.0.1", 23125}); // nothing listens there
    runFor(milliseconds(5));
    RawPeer raw(23124); // connected by the kernel
    rlimit limit{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const rlimit none{0, limit.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    const std::clock_t before = std::clock();
    runFor(milliseconds(300));
    const double processorSeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    CHECK(processorSeconds < 0.1);
    raw.hello("a", 5);
    CHECK(runUntil([&] { return b.hasEvent("up 5"); }));
}

TEST_CASE_FIXTURE(ConnectedPair, "the error for an address in use names the address")
{
    CHECK_THROWS_WITH_AS(EntryProcess(loop, "c", 23102),
                         "cannot listen for peers on 127.0.0.1:23102: Address already in use",
                         std::runtime_error);
}
