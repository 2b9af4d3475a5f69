#pragma once

#include "app/CommandLine.h"
#include "app/ExitCode.h"

namespace greengagestair {

/** Runs one command; results go to standard output, problems to standard error. */
ExitCode runCommand(const Command &command);

/** Parses and runs a command line. */
ExitCode runCommandLine(int count, char *const *arguments);

} // namespace greengagestair
