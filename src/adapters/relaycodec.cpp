#include "adapters/relaycodec_p.h"

#include "adapters/peercodec_p.h"

namespace monsoonledge {

namespace {

using namespace peercodec;

// The specification of a job is about as long as the client's request, which has at most
// MaxBodyBytes; its steps may take more bytes than in the request.
constexpr std::size_t MaxSpecBytes = 2 * MaxBodyBytes;

struct RequestMessage
{
    std::uint64_t correlation = 0;
    RelayRequest request;
};

struct AnswerMessageFields
{
    std::uint64_t correlation = 0;
    RelayAnswer answer;
};

template<typename Archive, typename M> void requestFields(Archive &a, M &m)
{
    a.number("correlation", m.correlation, 0, MaxU64);
    a.enumeration("kind", m.request.kind, RelayRequest::Kind::Probe);
    a.id("job", m.request.job, 0);
    a.text("spec", m.request.spec, 0, MaxSpecBytes);
    a.duration("timeLeft", m.request.timeLeft);
}

template<typename Archive, typename M> void answerFields(Archive &a, M &m)
{
    a.number("correlation", m.correlation, 0, MaxU64);
    a.enumeration("kind", m.answer.kind, RelayAnswer::Kind::Overloaded);
    a.enumeration("state", m.answer.state, JobState::Cancelled);
}

const std::string RequestType = "relayRequest";
const std::string AnswerType = "relayAnswer";

} // namespace

std::string encodeRelayRequest(std::uint64_t correlation, const RelayRequest &request)
{
    return encode<RequestMessage>(RequestType.c_str(), {correlation, request}, requestFields);
}

std::string encodeRelayAnswer(std::uint64_t correlation, const RelayAnswer &answer)
{
    return encode<AnswerMessageFields>(AnswerType.c_str(), {correlation, answer}, answerFields);
}

void decodeRelayMessage(const std::string &bytes, const RelayMessageHandlers &handlers)
{
    Reader fields = readMessage(bytes);
    if (fields.type() == RequestType && handlers.request)
        decode<RequestMessage>(fields, requestFields, [&](const RequestMessage &message) {
            handlers.request(message.correlation, message.request);
        });
    else if (fields.type() == AnswerType && handlers.answer)
        decode<AnswerMessageFields>(fields, answerFields, [&](const AnswerMessageFields &message) {
            handlers.answer(message.correlation, message.answer);
        });
    else
        throwInvalid("unexpected message type");
}

} // namespace monsoonledge
