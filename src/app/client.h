// Requests of the command line to an entry process.
#pragma once

#include "adapters/adapters.h"
#include "app/commands.h"

#include <stdexcept>
#include <string>

namespace monsoonledge {

/// No complete response arrived from the entry process.
struct EntryUnreachable : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

enum class CallEffect {
    None, // the request changes nothing
    ByMethod, // any but GET may change something
};

/// Sends one request to the entry process of the context and waits for the response. Throws
/// EntryUnreachable; the message says whether the request may have been carried out.
HttpResponse callEntry(const CommandContext &context, const std::string &method,
                       const std::string &target, HttpHeaders headers = HttpHeaders(),
                       const std::string &body = std::string(),
                       CallEffect effect = CallEffect::ByMethod);

/// The body of a response to GET. Throws std::runtime_error for any status but 200.
std::string getFromEntry(const CommandContext &context, const std::string &target);

/// A sentence on a response that is an error, with the "error" text of its JSON body if it has one.
std::string describeError(const CommandContext &context, const HttpResponse &response);

} // namespace monsoonledge
