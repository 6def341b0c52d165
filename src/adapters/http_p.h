// Helpers shared by the HTTP adapters. Private to src/adapters.
#pragma once

#include "adapters/adapters.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

#include <sys/time.h>

struct bufferevent;
struct evkeyvalq;

namespace monsoonledge {

timeval toTimeval(Duration duration);

/// Copies the headers, with names in lower case. The values of repeated headers are joined with
/// ", ", except for Content-Length, whose first value is kept.
HttpHeaders copyHeaders(const evkeyvalq *headers);

/// Returns false if Content-Length headers differ, or if one is not an unsigned decimal number.
bool hasConsistentContentLength(const evkeyvalq *headers);

/// Parses a JSON object. Returns an empty result if the text is not one.
std::optional<nlohmann::json> parseJsonObject(const std::string &text);

/// Disables Nagle's algorithm, which would hold back the last segment of a body until the peer's
/// delayed acknowledgement arrives.
void setNoDelay(bufferevent *bev);

} // namespace monsoonledge
