#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/** One header field as received. Names are compared with equalsIgnoringCase(). */
struct HeaderField
{
    std::string name;
    std::string value;
};

/** Header fields in the order in which they were received. */
using Headers = std::vector<HeaderField>;

/** `text` without leading and trailing blanks and tabs. */
std::string_view trimmed(std::string_view text);

/** Compares text without regard to the case of ASCII letters; for header and host names. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

} // namespace greengagestair
