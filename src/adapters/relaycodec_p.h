// Codec for forwarded requests and their answers. Private to the adapters.
#pragma once

#include "fleet/relay.h"

#include <cstdint>
#include <functional>
#include <string>

namespace monsoonledge {

/// Throws std::invalid_argument if a field is over the limits that decoding checks.
std::string encodeRelayRequest(std::uint64_t correlation, const RelayRequest &request);
std::string encodeRelayAnswer(std::uint64_t correlation, const RelayAnswer &answer);

struct RelayMessageHandlers
{
    std::function<void(std::uint64_t correlation, const RelayRequest &)> request;
    std::function<void(std::uint64_t correlation, const RelayAnswer &)> answer;
};
/// Throws std::runtime_error if the bytes are not a valid message or if its handler is not set.
void decodeRelayMessage(const std::string &bytes, const RelayMessageHandlers &handlers);

} // namespace monsoonledge
