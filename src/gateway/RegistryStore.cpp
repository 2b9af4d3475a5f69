#include "gateway/RegistryStore.h"

namespace greengagestair {

const char *toText(StoreFailure failure)
{
    switch (failure) {
    case StoreFailure::Unreachable:
        return "unreachable";
    case StoreFailure::Refused:
        return "refused";
    case StoreFailure::HistoryDropped:
        return "historyDropped";
    case StoreFailure::LeaseEnded:
        return "leaseEnded";
    }
    return "unknown";
}

} // namespace greengagestair
