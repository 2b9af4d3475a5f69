#pragma once

#include "app/ExitCode.h"
#include "app/Settings.h"

namespace greengagestair {

/**
 * Runs the entry host until SIGTERM or SIGINT and the end of the planned stop. Returns Failed if a
 * socket or the trace file cannot be opened, or if the stop took longer than its limit.
 */
ExitCode serve(const Settings &settings);

} // namespace greengagestair
