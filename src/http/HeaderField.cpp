#include "http/HeaderField.h"

#include <algorithm>

namespace greengagestair {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

} // namespace greengagestair
