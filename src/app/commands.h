// The commands of the program. Each returns an exit status of exitcodes.h and throws FindingsError
// for bad input, EntryUnreachable if the entry process does not respond, and std::runtime_error for
// any other failure.
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace monsoonledge {

/// Options and streams of one command. A command ignores the options that it does not offer.
struct CommandContext
{
    std::string file; // or the name of a member, for member remove; explain: the job, "-": stdin
    std::string job; // explain: the job's id
    std::string requestClass; // explain: ask for the endpoint of a request of this class
    std::string queue; // explain: ask for the placement of a job of this queue; empty: the history
    std::vector<std::string> logs; // explain: files
    std::string against; // sheet diff: compare with this file; empty: with the sheet in force
    std::string author; // sheet put: recorded with the sheet
    std::string token; // sent as a bearer token; empty: none
    std::string html; // report burn: write an HTML page to this file; empty: print text
    Address entry{"127.0.0.1", 8080}; // the first of `entries`
    std::vector<Address> entries{entry}; // more than one for report burn and explain only
    std::optional<std::uint64_t> expect; // sheet put: revision that the new sheet replaces
    bool json = false;
    std::ostream &out;
    std::ostream &err;
};

int runServe(const CommandContext &context);
int runConfigCheck(const CommandContext &context);
int runPlatformServe(const CommandContext &context);
int runPlatformCheck(const CommandContext &context);
int runExplain(const CommandContext &context);
int runExplainPlacement(const CommandContext &context);
int runExplainRequest(const CommandContext &context);
int runSheetCheck(const CommandContext &context);
int runSheetDiff(const CommandContext &context);
int runSheetPut(const CommandContext &context);
int runSheetShow(const CommandContext &context);
int runStatus(const CommandContext &context);
int runTasks(const CommandContext &context);
int runMemberRemove(const CommandContext &context);
int runReportBurn(const CommandContext &context);

/// Parses the arguments after the program name and runs the command. Prints errors to `err`.
int runCommandLine(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace monsoonledge
