#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/** Length in bytes of one record in the body of a shard's answer. */
constexpr std::size_t kRecordBytes = 16;

/**
 * Returns the `count` greatest records of all parts in descending bytewise order, concatenated.
 * Duplicates are kept; trailing bytes of a part that do not fill a record are ignored.
 */
std::string mergeGreatestRecords(const std::vector<std::string_view> &parts, std::size_t count);

} // namespace greengagestair
