#pragma once

#include "greengagestair/Types.h"

#include <random>

namespace greengagestair {

/**
 * Returns the delay before the next attempt after `failures` consecutive failures. The delay starts
 * at `first`, doubles with each further failure up to `longest`, and is then shortened at random by
 * up to half, so that hosts that failed at the same time do not retry at the same time.
 */
Duration backoffDelay(int failures, Duration first, Duration longest, std::mt19937_64 &random);

/** Returns a random duration between 3/4 and 5/4 of `interval`. */
Duration jittered(Duration interval, std::mt19937_64 &random);

} // namespace greengagestair
