#pragma once

#include "app/CommandLine.h"
#include "app/ExitCode.h"

#include <string>

namespace greengagestair {

/** Runs a gateway until it is told to stop. */
ExitCode runGateway(const std::string &settingsFile);

/** Checks the settings file of a gateway and reports the first fault. */
ExitCode checkGatewaySettings(const std::string &settingsFile);

/** Asks a running gateway where a request would go, and prints the answer. */
ExitCode explainRequest(const ExplainCommand &command);

} // namespace greengagestair
