#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "adapters/adapters.h"

#include <doctest/doctest.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <netinet/in.h>
#include <unistd.h>

using namespace monsoonledge;

namespace {

/// One side of a link, with a record of its signals such as "up 7" or "down refused".
struct Side
{
    PeerLinkSettings settings;
    std::unique_ptr<PeerPort> links;
    std::vector<std::string> events;
    std::vector<std::string> forwards;

    Side(EventLoop &loop, const char *name, std::uint16_t port, std::uint64_t incarnation = 1)
    {
        settings.self = {EntryId(name), Incarnation{incarnation}};
        settings.domain = DomainId("izabal");
        settings.listen = {"127.0.0.1", port};
        settings.silence = milliseconds(300);
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
            events.emplace_back(loss == LinkLoss::Refused  ? "down refused"
                                : loss == LinkLoss::Closed ? "down closed"
                                                           : "down timed out");
        });
        links->forwardReceived.connect([this](const EntryId &, const ForwardMessage &m, Time) {
            forwards.push_back(m.request.body);
        });
    }
    void add(const Side &other)
    {
        links->addPeer(other.settings.self.entry, other.settings.listen);
    }
    bool saw(const std::string &event) const { return count(event) > 0; }
    long count(const std::string &event) const
    {
        return std::count(events.begin(), events.end(), event);
    }
};

struct Fixture
{
    EventLoop loop;

    /// Runs the loop until the condition holds, at most for `limit`.
    bool until(const std::function<bool()> &condition, Duration limit = seconds(5))
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

ForwardMessage forward(const std::string &body)
{
    ForwardMessage message;
    message.request.id = RequestId("r");
    message.request.service = ServiceId("ledger");
    message.request.requestClass = ClassId("ledger/results");
    message.request.body = body;
    return message;
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "messages arrive both ways, whole and in order")
{
    Side a(loop, "a", 23101, 7);
    Side b(loop, "b", 23102, 9);
    a.add(b);
    b.add(a);
    REQUIRE(until([&] { return a.saw("up 9") && b.saw("up 7"); }));
    std::vector<std::string> sent;
    for (int i = 0; i < 20; ++i) {
        sent.push_back(std::to_string(i) + std::string(i % 3 == 0 ? MaxBodyBytes - 8 : 10, 'x'));
        // Up to 7 bodies of 256 KiB are pending at once, below maxPendingBytes.
        REQUIRE(a.links->send(EntryId("b"), forward(sent.back())));
        REQUIRE(b.links->send(EntryId("a"), forward(sent.back())));
    }
    CHECK(a.forwards.empty()); // nothing may be delivered from inside send()
    CHECK(until([&] { return a.forwards.size() == 20 && b.forwards.size() == 20; }));
    CHECK(a.forwards == sent);
    CHECK(b.forwards == sent);
}
