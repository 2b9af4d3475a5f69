#include "net/HttpFraming.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengagestair;

static const HttpLimits kLimits { 64, 8 };

static FramingStatus statusOf(const std::string &bytes)
{
    return frameRequest(bytes, kLimits).status;
}

TEST_CASE("a request is complete only when its whole body is there", "[framing]")
{
    const std::string request = "POST / HTTP/1.1\r\ncontent-length:  3\r\n\r\nabc";
    for (std::size_t length = 0; length < request.size(); ++length)
        REQUIRE(statusOf(request.substr(0, length)) == FramingStatus::Incomplete);
    REQUIRE(frameRequest(request + "GET", kLimits).length == request.size());
}

TEST_CASE("requests whose end two parsers could see differently are malformed", "[framing]")
{
    REQUIRE(statusOf("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
            == FramingStatus::Malformed);
    REQUIRE(statusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
            == FramingStatus::Malformed);
    REQUIRE(statusOf("POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\n") == FramingStatus::Malformed);
    REQUIRE(statusOf("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") == FramingStatus::Malformed);
    REQUIRE(statusOf("POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n") == FramingStatus::Malformed);
    REQUIRE(statusOf("POST / HTTP/1.1\r\nno colon\r\n\r\n") == FramingStatus::Malformed);
    REQUIRE(statusOf("\r\n\r\n") == FramingStatus::Malformed);
}

TEST_CASE("oversized requests are refused before their bytes are kept", "[framing]")
{
    REQUIRE(statusOf("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
            == FramingStatus::BodyTooLarge);
    REQUIRE(statusOf("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n")
            == FramingStatus::Malformed);
    REQUIRE(statusOf("GET / HTTP/1.1\r\nX: " + std::string(64, 'x'))
            == FramingStatus::HeaderTooLarge);
}

TEST_CASE("a caller that waits for 100 Continue is noticed", "[framing]")
{
    REQUIRE(frameRequest("POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n",
                         kLimits)
                    .wantsContinue);
}
