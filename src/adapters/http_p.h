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

/// Copies the headers, names in lower case. Repeated headers are joined with ", ", except for
/// Content-Length, whose first value is kept.
HttpHeaders copyHeaders(const evkeyvalq *headers);

/// False if Content-Length headers differ or one of them is not a plain decimal number.
bool hasConsistentContentLength(const evkeyvalq *headers);

/// Parses a JSON object. The result is empty if the text is none.
std::optional<nlohmann::json> parseObject(const std::string &text);

/// Sends small segments at once. With Nagle's algorithm the last segment of a body waits for the
/// peer's delayed acknowledgement.
void setNoDelay(bufferevent *bev);

} // namespace monsoonledge
