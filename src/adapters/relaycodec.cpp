#include "adapters/relaycodec_p.h"

#include "adapters/peercodec_p.h"

namespace monsoonledge {

namespace {

using namespace peercodec;

// The specification of a job is about as long as the client's request, which has at most
// MaxBodyBytes; its steps may take more bytes than in the request.
constexpr std::size_t MaxSpecBytes = 2 * MaxBodyBytes;

template<typename Archive, typename M> void requestFields(Archive &a, M &m)
{
    a.number("correlation", m.correlation, 0, MaxU64);
    a.enumeration("kind", m.body.kind, RelayRequest::Kind::Probe);
    a.id("job", m.body.job, 0);
    a.text("spec", m.body.spec, 0, MaxSpecBytes);
    a.duration("timeLeft", m.body.timeLeft);
}

template<typename Archive, typename M> void answerFields(Archive &a, M &m)
{
    a.number("correlation", m.correlation, 0, MaxU64);
    a.enumeration("kind", m.body.kind, RelayAnswer::Kind::Overloaded);
    a.enumeration("state", m.body.state, JobState::Cancelled);
}

const std::string RequestType = "relayRequest";
const std::string AnswerType = "relayAnswer";

template<typename M>
RelayMessage<M> decodeAs(const std::string &type, const std::string &bytes,
                         void (*fields)(Reader &, RelayMessage<M> &))
{
    Reader reader = readMessage(bytes);
    if (reader.type() != type)
        throwInvalid("unexpected message type");
    RelayMessage<M> result;
    decode<RelayMessage<M>>(reader, fields,
                            [&result](const RelayMessage<M> &message) { result = message; });
    return result;
}

} // namespace

std::string encodeRelayRequest(std::uint64_t correlation, const RelayRequest &request)
{
    return encode<RelayMessage<RelayRequest>>(RequestType.c_str(), {correlation, request},
                                              requestFields);
}

std::string encodeRelayAnswer(std::uint64_t correlation, const RelayAnswer &answer)
{
    return encode<RelayMessage<RelayAnswer>>(AnswerType.c_str(), {correlation, answer},
                                             answerFields);
}

RelayMessage<RelayRequest> decodeRelayRequest(const std::string &bytes)
{
    return decodeAs<RelayRequest>(RequestType, bytes, requestFields);
}

RelayMessage<RelayAnswer> decodeRelayAnswer(const std::string &bytes)
{
    return decodeAs<RelayAnswer>(AnswerType, bytes, answerFields);
}

} // namespace monsoonledge
