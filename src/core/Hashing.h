#pragma once

#include <cstdint>
#include <string_view>

namespace greengagestair {

/** Returns the 64-bit XXH3 hash, which is the same on every host and in every build. */
std::uint64_t hashBytes(std::string_view bytes);

/**
 * Returns the rendezvous-hashing score of a candidate for a key. The candidate with the highest
 * score ranks first. The score depends on the two arguments only, so that all hosts compute the
 * same ranking.
 */
std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

} // namespace greengagestair
