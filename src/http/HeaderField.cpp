#include "http/HeaderField.h"

#include <algorithm>

namespace greengagestair {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view kBlanks = " \t";
    const std::size_t begin = text.find_first_not_of(kBlanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

} // namespace greengagestair
