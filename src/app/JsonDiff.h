#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/**
 * Differences of two JSON texts, one line each: `$.path: old -> new`. Objects in lists are matched
 * by their member `name`, so that a reordered list is no difference. Bookkeeping of changes
 * (changeId, recentChangeIds) is left out.
 */
std::vector<std::string> diffConfigurations(std::string_view current, std::string_view declared);

} // namespace greengagestair
