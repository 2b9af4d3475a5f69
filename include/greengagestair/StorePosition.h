#pragma once

#include "greengagestair/Types.h"

#include <compare>

namespace greengagestair {

/**
 * Number of times that the platform's store has come back from an older copy. 0 stands for a store,
 * or an entry host of an earlier version, that does not state it.
 */
using StoreEra = Number<struct StoreEraTag>;

/**
 * Position in the history of the platform's store. After the store has come back from an older
 * copy, revisions are given out again, so they can be compared within one era only.
 */
struct StorePosition
{
    Revision revision;
    StoreEra era {};

    bool operator==(const StorePosition &) const = default;
    std::strong_ordering operator<=>(const StorePosition &other) const
    {
        const std::strong_ordering eras = era <=> other.era;
        return eras != std::strong_ordering::equal ? eras : revision <=> other.revision;
    }
};

} // namespace greengagestair
