#include "gateway/RecordMerger.h"

#include <algorithm>
#include <functional>

namespace greengagestair {

std::string mergeGreatestRecords(const std::vector<std::string_view> &parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + kRecordBytes <= part.size(); offset += kRecordBytes)
            records.push_back(part.substr(offset, kRecordBytes));
    }
    const std::size_t kept = std::min(count, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * kRecordBytes);
    std::for_each(records.begin(), end, [&](std::string_view record) { merged += record; });
    return merged;
}

} // namespace greengagestair
