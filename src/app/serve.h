// Runs one entry process.
#pragma once

#include "settings/settings.h"

namespace monsoonledge {

/// Runs until the process is told to stop. Returns an exit status of exitcodes.h. May throw
/// std::exception if the process cannot start; std::system_error with errc::address_in_use if an
/// address is in use.
int serve(const Settings &settings);

} // namespace monsoonledge
