#pragma once

#include <cstdint>
#include <string_view>

namespace greengagestair {

/** 64-bit hash of bytes (XXH3); the same on every host and in every build. */
std::uint64_t hashBytes(std::string_view bytes);

/** Weight of a candidate for a key in rendezvous hashing; the highest weight ranks first. */
std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

} // namespace greengagestair
