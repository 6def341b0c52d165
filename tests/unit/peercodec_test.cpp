#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "adapters/adapters.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace monsoonledge;
using nlohmann::json;

namespace {

constexpr std::uint64_t Max64 = std::numeric_limits<std::uint64_t>::max();

/// Decodes a message and returns its new encoding. Encoding checks every limit, so it throws if
/// decoding has accepted a value out of range.
std::string reencode(const std::string &bytes)
{
    std::string result;
    const auto encode = [&result](const auto &message) { result = encodePeerMessage(message); };
    decodePeerMessage(bytes, {encode, encode, encode, encode, encode, encode, encode, encode});
    return result;
}

const PeerHello SampleHello{{EntryId("atitlan-1"), Incarnation{Max64}}, DomainId("atitlan"), 7};
const Heartbeat SampleHeartbeat{
        DomainId("d"), EntryId("e"), Incarnation{3}, 4,    5,
        Revision{6},   0x8001,       true,           true, {11, 12, 13, milliseconds(14)}};

ForwardMessage forwardMessage()
{
    ForwardMessage message;
    message.correlation = Max64;
    // Ids come from request headers, which need not be valid UTF-8.
    message.request = {RequestId("izabal~\xff\xfe"),
                       CallerId("club"),
                       ServiceId("ledger"),
                       ClassId("ledger/finish"),
                       false,
                       milliseconds(1500),
                       std::string(70000, '\0')};
    message.asHome = true;
    return message;
}

const AnswerMessage SampleAnswer{
        9, {Outcome::Unknown, 504, "text/plain", "body", "late", "No answer."}};
const ClaimMessage SampleClaims{
        8, {{RequestId("r1"), true}, {RequestId(std::string(64, 'r')), false}}};
const SheetMessage LargestSheet{Revision{21}, "operator", std::string(MaxStoreValueBytes, 's')};

std::vector<std::string> samples()
{
    return {encodePeerMessage(SampleHello),
            encodePeerMessage(SampleHeartbeat),
            encodePeerMessage(forwardMessage()),
            encodePeerMessage(SampleAnswer),
            encodePeerMessage(SampleClaims),
            encodePeerMessage(ClaimAckMessage{77}),
            encodePeerMessage(SheetMessage{Revision{3}, "author", "text"}),
            encodePeerMessage(SheetRequestMessage{})};
}

/// Returns a valid message with one field replaced or added.
std::string withField(const std::string &bytes, const char *key, const json &value)
{
    json map = json::from_cbor(bytes);
    map[key] = value;
    std::string out;
    json::to_cbor(map, out);
    return out;
}

json binary(std::size_t size)
{
    return json::binary(std::vector<std::uint8_t>(size, 'x'));
}

} // namespace

TEST_CASE("encoding and decoding preserve every field")
{
    for (const std::string &bytes : samples())
        CHECK(reencode(bytes) == bytes);
    int seen = 0;
    const auto check = [&seen](bool equal) {
        CHECK(equal);
        ++seen;
    };
    PeerMessageHandlers handlers;
    handlers.hello = [&](const PeerHello &m) {
        check(m.run == SampleHello.run && m.domain == SampleHello.domain && m.protocol == 7);
    };
    handlers.heartbeat = [&](const Heartbeat &m) {
        const bool load = m.load.ownSlots == 11 && m.load.running == 12 && m.load.queued == 13;
        check(m.domain == SampleHeartbeat.domain && m.entry == SampleHeartbeat.entry
              && m.incarnation.value == 3 && m.sequence == 4 && m.acknowledged == 5
              && m.sheetRevision.value == 6 && m.units == 0x8001 && m.storeReachable && m.draining
              && load && m.load.predictedWait == milliseconds(14));
    };
    handlers.forward = [&](const ForwardMessage &m) {
        const Request sent = forwardMessage().request;
        check(m.correlation == Max64 && m.asHome && !m.request.idempotent && m.request.id == sent.id
              && m.request.caller == sent.caller && m.request.service == sent.service
              && m.request.requestClass == sent.requestClass
              && m.request.remaining == sent.remaining && m.request.body == sent.body);
    };
    handlers.answer = [&](const AnswerMessage &m) {
        check(m.correlation == 9 && m.answer.outcome == Outcome::Unknown
              && m.answer.httpStatus == 504 && m.answer.contentType == "text/plain"
              && m.answer.body == "body" && m.answer.reason == "late"
              && m.answer.detail == SampleAnswer.answer.detail);
    };
    handlers.claim = [&](const ClaimMessage &m) {
        REQUIRE((m.sequence == 8 && m.claims.size() == 2));
        check(m.claims[0].id == RequestId("r1") && m.claims[0].finished
              && m.claims[1].id == SampleClaims.claims[1].id && !m.claims[1].finished);
    };
    handlers.claimAck = [&](const ClaimAckMessage &m) { check(m.sequence == 77); };
    handlers.sheet = [&](const SheetMessage &m) {
        check(m.revision.value == 3 && m.author == "author" && m.text == "text");
    };
    handlers.sheetRequest = [&](const SheetRequestMessage &) { check(true); };
    for (const std::string &bytes : samples())
        decodePeerMessage(bytes, handlers);
    const ClaimMessage most{1, {8192, {RequestId(std::string(MaxRequestIdBytes, 'r')), true}}};
    CHECK(!reencode(encodePeerMessage(most)).empty());
    CHECK(seen == 8);
    decodePeerMessage(encodePeerMessage(LargestSheet), {}); // the largest sheet, without a handler
}

TEST_CASE("a message truncated at any byte or followed by an extra byte is rejected")
{
    for (const std::string &bytes : samples()) {
        for (std::size_t size = 0; size < bytes.size(); size += size < 1000 ? 1 : 997)
            CHECK_THROWS_AS(reencode(bytes.substr(0, size)), std::runtime_error);
        CHECK_THROWS_AS(reencode(bytes + '\0'), std::runtime_error);
    }
}

TEST_CASE("messages with corrupted bytes are rejected or decode to values within all limits")
{
    Random random(20261204);
    int refused = 0;
    for (int round = 0; round < 20000; ++round) {
        const std::vector<std::string> messages = {
                encodePeerMessage(SampleHello), encodePeerMessage(SampleHeartbeat),
                encodePeerMessage(SampleAnswer), encodePeerMessage(SampleClaims),
                encodePeerMessage(ClaimAckMessage{77})};
        std::string bytes = messages[random.below(messages.size())];
        for (std::uint64_t flips = 1 + random.below(4); flips > 0; --flips)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        try {
            reencode(bytes); // any exception other than runtime_error fails the test
        } catch (const std::runtime_error &) {
            ++refused;
        }
    }
    CHECK((refused > 5000 && refused < 20000));
}

TEST_CASE("malicious structures are rejected without deep recursion or large allocations")
{
    const std::size_t large = 1024 * 1024;
    const std::string start("\xa1\x64type", 6);
    // 0x81: list of one, 0xa1: map of one, 0x7f and 0x5f: strings of indefinite length, 0xc1: tag.
    for (const char nested : {'\x81', '\xa1', '\x7f', '\x5f', '\xc1', '\x9f', '\xbf'}) {
        CHECK_THROWS_AS(reencode(std::string(large, nested)), std::runtime_error);
        CHECK_THROWS_AS(reencode(start + std::string(large, nested)), std::runtime_error);
    }
    // A map, a list and a string that declare 2^63 items or bytes.
    for (const char head : {'\xbb', '\x9b', '\x5b'}) {
        const std::string declared = head + std::string("\x80\0\0\0\0\0\0\0", 8);
        CHECK_THROWS_AS(reencode(declared), std::runtime_error);
        CHECK_THROWS_AS(reencode(start + declared), std::runtime_error);
    }
    // 20,000 nested lists, and a list of a million items of one byte each.
    CHECK_THROWS_WITH_AS(reencode(start + std::string(20000, '\x81') + '\0'),
                         "invalid peer message: nested too deeply", std::runtime_error);
    CHECK_THROWS_WITH_AS(
            reencode(start + std::string("\x9a\0\x10\0\0", 5) + std::string(large, '\0')),
            "invalid peer message: too many items", std::runtime_error);
    Random random(7);
    for (int round = 0; round < 2000; ++round) {
        std::string bytes;
        for (std::uint64_t left = random.below(200); left > 0; --left)
            bytes += static_cast<char>(random.next());
        CHECK_THROWS_AS(reencode(bytes), std::runtime_error);
    }
}

TEST_CASE("fields of a wrong type, out of range, missing, repeated or unknown are rejected")
{
    const std::string heartbeatMessage = encodePeerMessage(SampleHeartbeat);
    const std::string forward = encodePeerMessage(forwardMessage());
    const std::string answerMessage = encodePeerMessage(SampleAnswer);
    const std::string claim = encodePeerMessage(SampleClaims);
    const auto refuses = [](const std::string &bytes, const char *key,
                            const std::vector<json> &values) {
        for (const json &value : values)
            CHECK_THROWS_AS(reencode(withField(bytes, key, value)), std::runtime_error);
    };
    const auto claimList = [](const std::vector<json> &fields) { return json::array({fields}); };
    refuses(heartbeatMessage, "type", {"heartbeats", 1, nullptr});
    refuses(heartbeatMessage, "extra", {1, true});
    refuses(heartbeatMessage, "entry", {binary(0), binary(257), "text"});
    refuses(heartbeatMessage, "sequence", {-1, 1.0, nullptr, "1", json::array()});
    refuses(heartbeatMessage, "draining", {1, nullptr});
    refuses(heartbeatMessage, "units", {0x10000, -1});
    refuses(heartbeatMessage, "running", {0x80000000U, Max64});
    refuses(heartbeatMessage, "predictedWait", {Max64, -1});
    refuses(forward, "id", {binary(0), binary(MaxRequestIdBytes + 1)});
    refuses(forward, "body", {binary(MaxBodyBytes + 1), "text"});
    refuses(answerMessage, "body", {binary(MaxAnswerBytes + 1), "text"});
    refuses(answerMessage, "outcome", {3, -1});
    refuses(answerMessage, "httpStatus", {99, 600});
    refuses(claim, "claims",
            {claimList({binary(3)}), claimList({binary(0), true}), json::object()});
    refuses(claim, "claims", {claimList({binary(65), true}), claimList({binary(3), 1})});
    refuses(claim, "claims", {json(8193, json::array({binary(3), true}))});
    CHECK(!reencode(withField(forward, "body", binary(MaxBodyBytes))).empty());

    json missing = json::from_cbor(heartbeatMessage);
    missing.erase("queued");
    std::string bytes;
    json::to_cbor(missing, bytes);
    CHECK_THROWS_AS(reencode(bytes), std::runtime_error);
    // A sheet request with its only field repeated.
    const std::string field = encodePeerMessage(SheetRequestMessage{}).substr(1);
    CHECK(!reencode('\xa1' + field).empty());
    CHECK_THROWS_AS(reencode('\xa2' + field + field), std::runtime_error);
}

TEST_CASE("encoding throws for messages that the receiver would reject by closing the link")
{
    ForwardMessage message = forwardMessage();
    message.request.remaining = -seconds(1); // an expired deadline is written as 0
    CHECK(!encodePeerMessage(message).empty());
    message.request.body.assign(MaxBodyBytes + 1, 'x');
    CHECK_THROWS_AS(encodePeerMessage(message), std::invalid_argument);
    message = forwardMessage();
    message.request.id = RequestId(std::string(MaxRequestIdBytes + 1, 'x'));
    CHECK_THROWS_AS(encodePeerMessage(message), std::invalid_argument);
    Heartbeat heartbeatMessage = SampleHeartbeat;
    heartbeatMessage.load.queued = -1;
    CHECK_THROWS_AS(encodePeerMessage(heartbeatMessage), std::invalid_argument);
}
