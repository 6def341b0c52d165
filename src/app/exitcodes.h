// Exit statuses of the program, as listed in docs/cli.md.
#pragma once

namespace monsoonledge {

constexpr int ExitSuccess = 0;
constexpr int ExitFailed = 1; // the operation failed or was refused
constexpr int ExitBadInput = 2; // settings, sheet or command line
constexpr int ExitUnreachable = 3; // the entry process does not respond
constexpr int ExitAddressInUse = 4;
constexpr int ExitExpelled = 5; // another entry process has taken over; start it again

} // namespace monsoonledge
