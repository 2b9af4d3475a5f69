#pragma once

namespace greengagestair {

/** Exit codes of the binary (design section 12). */
enum class ExitCode {
    Success = 0,
    Failed = 1,
    BadCommandLine = 2,
    BadSettings = 3,        ///< settings or declaration
    LostRace = 4,           ///< another change was written first
    PlatformUnreachable = 5 ///< or the outcome is unknown
};

} // namespace greengagestair
