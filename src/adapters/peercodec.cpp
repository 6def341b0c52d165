// Codec for the messages between entry processes. Each message is one CBOR map.
//
// Sections:
//   [1] Fields of each message
//   [2] Encoding and decoding
#include "adapters/peercodec_p.h"

namespace monsoonledge {

namespace {

using namespace peercodec;

// [1] Fields of each message. `M` is a const type when writing.

template<typename Archive, typename M> void helloFields(Archive &a, M &m)
{
    a.id("entry", m.run.entry);
    a.number("incarnation", m.run.incarnation.value, 0, MaxU64);
    a.id("domain", m.domain);
    a.number("protocol", m.protocol, 0, MaxInt);
}

template<typename Archive, typename M> void heartbeatFields(Archive &a, M &m)
{
    a.id("domain", m.domain);
    a.id("entry", m.entry);
    a.number("incarnation", m.incarnation.value, 0, MaxU64);
    a.number("sequence", m.sequence, 0, MaxU64);
    a.number("acknowledged", m.acknowledged, 0, MaxU64);
    a.number("sheetRevision", m.sheetRevision.value, 0, MaxU64);
    a.number("units", m.units, 0, MaxUnits);
    a.boolean("storeReachable", m.storeReachable);
    a.boolean("draining", m.draining);
    a.number("ownSlots", m.load.ownSlots, 0, MaxInt);
    a.number("running", m.load.running, 0, MaxInt);
    a.number("queued", m.load.queued, 0, MaxInt);
    a.duration("predictedWait", m.load.predictedWait);
}

template<typename Archive, typename M> void forwardFields(Archive &a, M &m)
{
    a.number("correlation", m.correlation, 0, MaxU64);
    a.id("id", m.request.id, 1, MaxRequestIdBytes);
    a.id("caller", m.request.caller, 0);
    a.id("service", m.request.service);
    a.id("class", m.request.requestClass);
    a.boolean("idempotent", m.request.idempotent);
    a.duration("remaining", m.request.remaining);
    a.text("body", m.request.body, 0, MaxBodyBytes);
    a.boolean("asHome", m.asHome);
}

template<typename Archive, typename M> void answerFields(Archive &a, M &m)
{
    a.number("correlation", m.correlation, 0, MaxU64);
    a.enumeration("outcome", m.answer.outcome, Outcome::Unknown);
    a.number("httpStatus", m.answer.httpStatus, 100, 599);
    a.text("contentType", m.answer.contentType, 0, MaxTextBytes);
    a.text("body", m.answer.body, 0, MaxAnswerBytes);
    a.text("reason", m.answer.reason, 0, MaxNameBytes);
    a.text("detail", m.answer.detail, 0, MaxTextBytes);
    a.boolean("attemptNotRun", m.answer.attemptNotRun);
}

template<typename Archive, typename M> void claimFields(Archive &a, M &m)
{
    a.number("sequence", m.sequence, 0, MaxU64);
    a.claims("claims", m.claims);
}

template<typename Archive, typename M> void claimAckFields(Archive &a, M &m)
{
    a.number("sequence", m.sequence, 0, MaxU64);
}

template<typename Archive, typename M> void sheetFields(Archive &a, M &m)
{
    a.number("revision", m.revision.value, 0, MaxU64);
    a.text("author", m.author, 0, MaxNameBytes);
    a.text("text", m.text, 0, MaxSheetBytes);
}

template<typename Archive, typename M> void sheetRequestFields(Archive & /*a*/, M & /*m*/) { }

} // namespace

// [2] Encoding and decoding

std::string encodePeerMessage(const PeerHello &message)
{
    return encode<PeerHello>("hello", message, helloFields);
}

std::string encodePeerMessage(const Heartbeat &message)
{
    return encode<Heartbeat>("heartbeat", message, heartbeatFields);
}

std::string encodePeerMessage(const ForwardMessage &message)
{
    return encode<ForwardMessage>("forward", message, forwardFields);
}

std::string encodePeerMessage(const AnswerMessage &message)
{
    return encode<AnswerMessage>("answer", message, answerFields);
}

std::string encodePeerMessage(const ClaimMessage &message)
{
    return encode<ClaimMessage>("claim", message, claimFields);
}

std::string encodePeerMessage(const ClaimAckMessage &message)
{
    return encode<ClaimAckMessage>("claimAck", message, claimAckFields);
}

std::string encodePeerMessage(const SheetMessage &message)
{
    return encode<SheetMessage>("sheet", message, sheetFields);
}

std::string encodePeerMessage(const SheetRequestMessage &message)
{
    return encode<SheetRequestMessage>("sheetRequest", message, sheetRequestFields);
}

void decodePeerMessage(const std::string &bytes, const PeerMessageHandlers &handlers)
{
    Reader fields = readMessage(bytes);
    const std::string &type = fields.type();
    if (type == "hello")
        decode<PeerHello>(fields, helloFields, handlers.hello);
    else if (type == "heartbeat")
        decode<Heartbeat>(fields, heartbeatFields, handlers.heartbeat);
    else if (type == "forward")
        decode<ForwardMessage>(fields, forwardFields, handlers.forward);
    else if (type == "answer")
        decode<AnswerMessage>(fields, answerFields, handlers.answer);
    else if (type == "claim")
        decode<ClaimMessage>(fields, claimFields, handlers.claim);
    else if (type == "claimAck")
        decode<ClaimAckMessage>(fields, claimAckFields, handlers.claimAck);
    else if (type == "sheet")
        decode<SheetMessage>(fields, sheetFields, handlers.sheet);
    else if (type == "sheetRequest")
        decode<SheetRequestMessage>(fields, sheetRequestFields, handlers.sheetRequest);
    else
        throwInvalid("unknown message type");
}

} // namespace monsoonledge
