#include "gateway/HttpMessage.h"

namespace greengagestair {

bool provesNotRun(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoConfiguration:
    case RefusalReason::NoBackend:
    case RefusalReason::Shed:
    case RefusalReason::Quarantined:
    case RefusalReason::Stopping:
    case RefusalReason::OverQuota:
        return true;
    case RefusalReason::NoRoute:
    case RefusalReason::Unauthorized:
    case RefusalReason::Failed:
    case RefusalReason::TimedOut:
        return false;
    }
    return false;
}

const char *toText(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoConfiguration:
        return "noConfiguration";
    case RefusalReason::NoRoute:
        return "noRoute";
    case RefusalReason::Unauthorized:
        return "unauthorized";
    case RefusalReason::OverQuota:
        return "overQuota";
    case RefusalReason::NoBackend:
        return "noBackend";
    case RefusalReason::Shed:
        return "shed";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::Stopping:
        return "stopping";
    case RefusalReason::Failed:
        return "failed";
    case RefusalReason::TimedOut:
        return "timedOut";
    }
    return "unknown";
}

const char *toText(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return "notSent";
    case AttemptFailure::Lost:
        return "lost";
    case AttemptFailure::Corrupt:
        return "corrupt";
    case AttemptFailure::Expired:
        return "expired";
    }
    return "unknown";
}

} // namespace greengagestair
