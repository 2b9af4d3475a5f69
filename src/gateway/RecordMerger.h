#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/** Bytes of one record in the body of a part. */
constexpr std::size_t kRecordBytes = 16;

/**
 * The greatest `count` records of all parts, greatest first, compared byte by byte. Equal records
 * all count; a remainder shorter than a record is ignored.
 */
std::string mergeGreatestRecords(const std::vector<std::string_view> &parts, std::size_t count);

} // namespace greengagestair
