#pragma once

#include <initializer_list>
#include <string>
#include <vector>

namespace greengagestair {

/** A response that no reader may accept. */
struct BrokenResponse
{
    std::string name;   ///< what is wrong with it
    std::string reason; ///< text of its ResponseDefect
    std::string bytes;  ///< the server keeps the connection open after them
};

/** A response with this status line, further field lines, framing fields and body. */
inline std::string responseWith(const std::string &statusLine, const std::string &fieldLines = {},
                                const std::string &framing = "Content-Length: 4\r\n",
                                const std::string &body = "abcd")
{
    return statusLine + "\r\nSignature: sig\r\nX-Revision: 9\r\n" + fieldLines + framing + "\r\n"
            + body;
}

/** Responses whose head no recipient may accept, each for one reason. */
inline std::vector<BrokenResponse> responsesWithBrokenHead()
{
    using Texts = std::initializer_list<std::string>;
    const std::string ok = "HTTP/1.1 200 OK";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "4\r\nabcd\r\n0\r\n\r\n";
    std::vector<BrokenResponse> broken;
    const auto add = [&](const std::string &reason, const std::string &name,
                         const std::string &bytes) {
        broken.push_back({ reason + " '" + name + "'", reason, bytes });
    };
    for (const std::string &status : Texts { "000", "001", "099", "600", "777", "999", "101", "20",
                                             "2000", "+20", "-20", "2x0", "" })
        add("status", status, responseWith("HTTP/1.1 " + status + " OK"));
    for (const std::string &line :
         Texts { "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/0.9 200 OK", "HTTP/2 200",
                 "HTTP 200 OK", "HTTP/1 200 OK", "HTTP/1.1200 OK", "http/1.1 200 OK",
                 " HTTP/1.1 200 OK", "ICY 200 OK", "200 OK", "HTTP/1.1\t200 OK",
                 "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK" })
        add("statusLine", line, responseWith(line));
    for (const std::string &name : Texts { "A b", "A\x01", "A\t", "A ", " A", "\tA", "", "A\x7f",
                                           "A\"", "A(b)", "A\xe9", "A\x1b[2J" })
        add("fieldName", name, responseWith(ok, name + ": b\r\n"));
    add("fieldName", "no colon", responseWith(ok, "A\r\n"));
    add("fieldName", "length with a blank", responseWith(ok, "", "Content-Length : 4\r\n"));
    add("fieldName", "coding with a blank",
        responseWith(ok, "", "Transfer-Encoding : chunked\r\n", chunks));
    add("fieldName", "folded line", responseWith(ok, "A: b\r\n c\r\n"));
    add("fieldName", "interim response",
        "HTTP/1.1 100 Continue\r\nA b: c\r\n\r\n" + responseWith(ok));
    for (const std::string &value :
         Texts { "b\x01", std::string("b\0c", 3), "b\x7f", "b\x1b[2J", "b\x08" })
        add("fieldValue", value, responseWith(ok, "A: " + value + "\r\n"));
    for (const std::string &framing :
         Texts { "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: 4, 5\r\n",
                 "Content-Length: -4\r\n", "Content-Length: +4\r\n", "Content-Length: 4x\r\n",
                 "Content-Length: 0x4\r\n", "Content-Length: \r\n", "Content-Length: 4 4\r\n",
                 "Content-Length: 99999999999999999999999\r\n" })
        add("framing", framing, responseWith(ok, "", framing));
    for (const std::string &framing :
         Texts { chunked + "Content-Length: 4\r\n", "Content-Length: 4\r\n" + chunked,
                 chunked + chunked, "Transfer-Encoding: gzip, chunked\r\n",
                 "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: gzip\r\n",
                 "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked, gzip\r\n",
                 "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding:\r\n" })
        add("framing", framing, responseWith(ok, "", framing, chunks));
    add("framing", "chunks in HTTP/1.0", responseWith("HTTP/1.0 200 OK", "", chunked, chunks));
    return broken;
}

/** Chunked responses whose head is correct, but a chunk or the trailer is not. */
inline std::vector<BrokenResponse> responsesWithBrokenBody()
{
    std::vector<BrokenResponse> broken;
    for (const std::string body :
         { "4\r\nabcdX\r\n0\r\n\r\n", "x\r\nabcd\r\n0\r\n\r\n", "-4\r\nabcd\r\n0\r\n\r\n",
           "\r\nabcd\r\n0\r\n\r\n", "11111111111111111\r\nabcd\r\n0\r\n\r\n",
           "4\r\nabcd\r\n0\r\nA b: c\r\n\r\n", "4\r\nabcd\r\n0\r\nA\x01: c\r\n\r\n",
           "4\r\nabcd\r\n0\r\nA: c\x01\r\n\r\n", "4\r\nabcd\r\n0\r\nA\r\n\r\n",
           "4\r\nabcd\r\n0\r\n: b\r\n\r\n" })
        broken.push_back(
                { "chunks '" + body + "'", "",
                  responseWith("HTTP/1.1 200 OK", "", "Transfer-Encoding: chunked\r\n", body) });
    return broken;
}

/** All of them. */
inline std::vector<BrokenResponse> brokenResponses()
{
    std::vector<BrokenResponse> all = responsesWithBrokenHead();
    for (const BrokenResponse &broken : responsesWithBrokenBody())
        all.push_back(broken);
    return all;
}

} // namespace greengagestair
