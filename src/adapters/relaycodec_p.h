// Codec for forwarded requests and their answers. Private to the adapters.
#pragma once

#include "fleet/relay.h"

#include <cstdint>
#include <string>

namespace monsoonledge {

template<typename M> struct RelayMessage
{
    std::uint64_t correlation = 0; // of the request, repeated in its answer
    M body;
};

/// Throws std::invalid_argument if a field is over the limits that decoding checks.
std::string encodeRelayRequest(std::uint64_t correlation, const RelayRequest &request);
std::string encodeRelayAnswer(std::uint64_t correlation, const RelayAnswer &answer);

/// Throw std::runtime_error if the bytes are not a valid message of this type.
RelayMessage<RelayRequest> decodeRelayRequest(const std::string &bytes);
RelayMessage<RelayAnswer> decodeRelayAnswer(const std::string &bytes);

} // namespace monsoonledge
