// The links for forwarded requests, over loopback.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "adapters/adapters.h"
#include "adapters/relaycodec_p.h"
#include "fakes/linkhelpers.h"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <filesystem>

using namespace monsoonledge;

namespace {

constexpr Duration IdleTimeout = milliseconds(200);
constexpr Duration Timeout = milliseconds(150);

/// One entry process, which answers requests as `answer` says.
struct Entry
{
    RelayLinkSettings settings;
    std::unique_ptr<RelayPort> links;
    RelayAnswer answer{RelayAnswer::Kind::Stored};
    bool answers = true;
    bool readsRequests = true;
    std::vector<RelayRequest> requests;
    std::vector<std::string> invalid;
    std::vector<RelayRespond> held; // of requests without an answer

    Entry(EventLoop &loop, const char *name, std::uint16_t port)
    {
        settings.self = {EntryId(name), Incarnation{1}};
        settings.domain = DomainId("z");
        settings.listen = {"127.0.0.1", port};
        settings.idleTimeout = IdleTimeout;
        settings.connectTimeout = milliseconds(100);
        settings.silenceTimeout = Timeout;
        start(loop);
    }
    void start(EventLoop &loop)
    {
        links = makeRelayLinks(loop, settings);
        links->setReceiver({[this](const RelayRequest &request, RelayRespond respond, Time) {
                                requests.push_back(request);
                                if (answers)
                                    respond(answer);
                                else
                                    held.push_back(std::move(respond));
                                return readsRequests;
                            },
                            [this](const std::string &detail) { invalid.push_back(detail); }});
    }
    RelayPeer peer() const { return {settings.self.entry.str(), settings.listen, settings.domain}; }
};

struct Fixture : LoopFixture
{
    EventLoop stoppedLoop; // its processes listen but do not run
    Entry a{loop, "a", 23201};
    Entry b{loop, "b", 23202};

    using ResultPtr = std::shared_ptr<std::optional<RelayResult>>;
    ResultPtr begin(Entry &from, const RelayPeer &to, const RelayRequest &request,
                    Duration timeout = Timeout)
    {
        auto result = std::make_shared<std::optional<RelayResult>>();
        from.links->send(to, request, timeout,
                         [result](const RelayResult &value, Time) { *result = value; });
        CHECK_FALSE(result->has_value()); // never from inside the call
        return result;
    }
    RelayResult send(Entry &from, const RelayPeer &to, const RelayRequest &request)
    {
        const ResultPtr result = begin(from, to, request);
        REQUIRE(runUntil([&] { return result->has_value(); }));
        return **result;
    }
    static RelayRequest submission(const std::string &spec)
    {
        return {RelayRequest::Kind::Submit, JobId("0123456789abcdef"), spec, milliseconds(400)};
    }
};

/// Number of open files and sockets of this process.
long openFiles()
{
    const std::filesystem::directory_iterator files("/proc/self/fd");
    return std::distance(begin(files), end(files));
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "requests and answers pass in both directions, also large ones")
{
    const std::string spec(300 * 1024, 's');
    const RelayResult result = send(a, b.peer(), submission(spec));
    CHECK(result.delivery == RelayDelivery::Answered);
    CHECK(result.answer.kind == RelayAnswer::Kind::Stored);
    REQUIRE(b.requests.size() == 1);
    CHECK(b.requests[0].kind == RelayRequest::Kind::Submit);
    CHECK(b.requests[0].job == JobId("0123456789abcdef"));
    CHECK(b.requests[0].spec == spec);
    CHECK(b.requests[0].timeLeft <= Timeout);
    CHECK(b.requests[0].timeLeft > Duration(0));
    a.answer = {RelayAnswer::Kind::State, JobState::Failed};
    const RelayResult state =
            send(b, a.peer(), {RelayRequest::Kind::State, JobId("x"), {}, milliseconds(1)});
    CHECK(state.answer.kind == RelayAnswer::Kind::State);
    CHECK(state.answer.state == JobState::Failed);
}

// Guards against 504 where nothing was sent, and against 503 where something was.
TEST_CASE_FIXTURE(Fixture, "a result tells whether the request may have been received")
{
    const RelayPeer nobody{"c", {"127.0.0.1", 23209}, {}};
    CHECK(send(a, nobody, submission("x")).delivery == RelayDelivery::NotSent);
    const RelayPeer invalid{"c", {"nowhere", 23209}, {}};
    CHECK(send(a, invalid, submission("x")).delivery == RelayDelivery::NotSent);
    // Another process answers at the address.
    const RelayPeer other{"c", b.settings.listen, {}};
    CHECK(send(a, other, submission("x")).delivery == RelayDelivery::NotSent);
    CHECK(a.invalid.size() == 1);
    // A paused process takes the connection but does not answer the hello.
    Entry paused(stoppedLoop, "p", 23203);
    CHECK(send(a, paused.peer(), submission("x")).delivery == RelayDelivery::NotSent);
    // A request over the limits cannot be encoded.
    const RelayRequest tooLarge = submission(std::string(600 * 1024, 's'));
    CHECK(send(a, b.peer(), tooLarge).delivery == RelayDelivery::NotSent);
    CHECK(b.requests.empty());
    b.answers = false;
    CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Lost);
    CHECK(b.requests.size() == 1);
}

// Guards against waiting on a link that went silent, and against a late answer that is taken for
// that of another request.
TEST_CASE_FIXTURE(Fixture, "a link on which a request timed out is replaced")
{
    b.answers = false;
    CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Lost);
    REQUIRE(b.held.size() == 1);
    b.answers = true;
    b.answer = {RelayAnswer::Kind::NotStored};
    b.held[0]({RelayAnswer::Kind::Stored}); // to a link that is gone
    const RelayResult next = send(a, b.peer(), submission("y"));
    CHECK(next.delivery == RelayDelivery::Answered);
    CHECK(next.answer.kind == RelayAnswer::Kind::NotStored);
}

// Guards against the loss of other requests because one of them has a short deadline.
TEST_CASE_FIXTURE(Fixture, "a time-out before the peer had time to answer keeps the link")
{
    CHECK(send(a, b.peer(), submission("open")).delivery == RelayDelivery::Answered);
    b.answers = false;
    const ResultPtr other = begin(a, b.peer(), submission("other"));
    const ResultPtr brief = begin(a, b.peer(), submission("brief"), milliseconds(20));
    REQUIRE(runUntil([&] { return brief->has_value(); }, Timeout / 2));
    CHECK((*brief)->delivery == RelayDelivery::Lost);
    CHECK((*brief)->isTimedOut);
    REQUIRE(b.held.size() == 2);
    b.held[0]({RelayAnswer::Kind::Stored});
    REQUIRE(runUntil([&] { return other->has_value(); }));
    CHECK((*other)->delivery == RelayDelivery::Answered);
}

// Guards against a silent link that stays because each request on it has a short deadline.
TEST_CASE_FIXTURE(Fixture, "a link that is silent is closed also if all deadlines are short")
{
    CHECK(send(a, b.peer(), submission("open")).delivery == RelayDelivery::Answered);
    b.answers = false;
    const long before = openFiles();
    for (int i = 0; i < 3; ++i) {
        const ResultPtr brief = begin(a, b.peer(), submission("x"), milliseconds(20));
        REQUIRE(runUntil([&] { return brief->has_value(); }));
        runFor(milliseconds(4)); // a socket is closed in the next pass of the loop
        CHECK(openFiles() == before);
    }
    CHECK(runUntil([&] { return openFiles() < before; }, Timeout)); // it is not idle yet
}

// Guards against the loss of other requests that wait for a link, and against a peer that counts as
// silent because a request could not wait until its link was open.
TEST_CASE_FIXTURE(Fixture, "a time-out while the link is being opened is reported as such")
{
    Entry slow(stoppedLoop, "s", 23204); // does not answer the hello until its loop runs
    const ResultPtr brief = begin(a, slow.peer(), submission("brief"), milliseconds(20));
    const ResultPtr other = begin(a, slow.peer(), submission("other"));
    REQUIRE(runUntil([&] { return brief->has_value(); }, slow.settings.connectTimeout));
    REQUIRE(runUntil([&] {
        stoppedLoop.after(milliseconds(1), [this](Time) { stoppedLoop.stop(); });
        stoppedLoop.run();
        return other->has_value();
    }));
    CHECK((*brief)->delivery == RelayDelivery::NotSent);
    CHECK((*brief)->detail == "the link is not open yet");
    CHECK((*brief)->isTimedOut);
    CHECK((*other)->delivery == RelayDelivery::Answered);
    // A peer that does not answer the hello.
    Entry paused(stoppedLoop, "p", 23203);
    const RelayResult unopened = send(a, paused.peer(), submission("x"));
    CHECK(unopened.delivery == RelayDelivery::NotSent);
    CHECK(unopened.detail == "the link was not opened in time");
    CHECK_FALSE(unopened.isTimedOut);
}

// Guards against the loss of other requests because one of them takes long.
TEST_CASE_FIXTURE(Fixture, "a late answer on a link that works is dropped")
{
    b.answers = false;
    const ResultPtr slow = begin(a, b.peer(), submission("slow"));
    REQUIRE(runUntil([&] { return b.held.size() == 1; }));
    b.answers = true;
    CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Answered);
    const ResultPtr later = begin(a, b.peer(), submission("y"));
    REQUIRE(runUntil([&] { return slow->has_value(); }));
    CHECK((*slow)->delivery == RelayDelivery::Lost);
    b.held[0]({RelayAnswer::Kind::Stored});
    REQUIRE(runUntil([&] { return later->has_value(); }));
    CHECK((*later)->delivery == RelayDelivery::Answered);
}

TEST_CASE_FIXTURE(Fixture, "requests in flight are lost with the process, the next are not sent")
{
    b.answers = false;
    const ResultPtr result = begin(a, b.peer(), submission("x"));
    REQUIRE(runUntil([&] { return b.requests.size() == 1; }));
    b.links.reset();
    REQUIRE(runUntil([&] { return result->has_value(); }, Timeout / 2));
    CHECK((*result)->delivery == RelayDelivery::Lost);
    CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::NotSent);
    b.answers = true;
    b.start(loop);
    CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Answered);
}

// Guards against links that stay open for ever.
TEST_CASE_FIXTURE(Fixture, "a link is closed when it has been idle, not while it is used")
{
    const long before = openFiles();
    for (int i = 0; i < 6; ++i) {
        CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Answered);
        CHECK(openFiles() == before + 2); // both ends are in this process
        runFor(IdleTimeout / 2);
    }
    CHECK(runUntil([&] { return openFiles() == before; }, IdleTimeout));
}

// Guards against a request lost to an idle link.
TEST_CASE_FIXTURE(Fixture, "an idle link is closed and opened again on demand")
{
    for (int i = 0; i < 3; ++i) {
        CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Answered);
        runFor(IdleTimeout + milliseconds(20 * (i - 1)));
    }
    CHECK(b.requests.size() == 3);
}

// Guards against a process that ends, or serves others no longer, because of one message.
TEST_CASE_FIXTURE(Fixture, "a message that cannot be read closes its link and costs nothing else")
{
    RawPeer raw(23202);
    SUBCASE("before the hello")
    {
        raw.handshake();
        raw.frame(encodeRelayRequest(1, {}));
    }
    SUBCASE("no CBOR")
    {
        raw.hello("r", 1);
        raw.frame("garbled");
    }
    SUBCASE("a truncated request")
    {
        raw.hello("r", 1);
        const std::string request = encodeRelayRequest(1, {});
        raw.frame(request.substr(0, request.size() - 1));
    }
    SUBCASE("an answer in place of a request")
    {
        raw.hello("r", 1);
        raw.frame(encodeRelayAnswer(1, {}));
    }
    SUBCASE("deeply nested")
    {
        raw.hello("r", 1);
        raw.frame(std::string(100, '\x81'));
    }
    CHECK(runUntil([&] { return raw.isClosed(); }));
    CHECK(b.invalid.size() == 1);
    CHECK(b.requests.empty());
    CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Answered);
}

TEST_CASE_FIXTURE(Fixture, "a request that the receiver cannot read closes its link")
{
    b.readsRequests = false;
    b.answers = false;
    const RelayResult result = send(a, b.peer(), submission("x"));
    CHECK(result.delivery == RelayDelivery::Lost);
    b.readsRequests = true;
    b.answers = true;
    CHECK(send(a, b.peer(), submission("x")).delivery == RelayDelivery::Answered);
}

TEST_CASE_FIXTURE(Fixture, "an address that is in use is reported by name")
{
    RelayLinkSettings settings = a.settings;
    CHECK_THROWS_WITH_AS(makeRelayLinks(loop, settings), doctest::Contains("127.0.0.1:23201"),
                         std::runtime_error);
}
