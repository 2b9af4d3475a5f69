#pragma once

#include "greengagestair/Types.h"

#include <random>

namespace greengagestair {

/**
 * Delay before the next attempt: doubles with each failure from `first` up to `longest`, then a
 * random part of up to half is taken off, so that hosts that failed together do not retry together.
 */
Duration backoffDelay(int failures, Duration first, Duration longest, std::mt19937_64 &random);

/** A random length between three quarters and five quarters of `usual`. */
Duration jittered(Duration usual, std::mt19937_64 &random);

} // namespace greengagestair
