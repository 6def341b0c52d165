#pragma once

#include "settings/settings.h"

namespace monsoonledge {

/// Runs an entry process until a signal ends it. Returns the exit status of the program.
int serve(const Settings &settings);

} // namespace monsoonledge
