#pragma once

#include "app/CommandLine.h"
#include "app/ExitCode.h"

namespace greengagestair {

/** The subcommands of `config`; results go to standard output, problems to standard error. */
ExitCode runConfigShow(const ConfigShowCommand &command);
ExitCode runConfigDiff(const ConfigDiffCommand &command);
ExitCode runConfigApply(const ConfigApplyCommand &command);

} // namespace greengagestair
