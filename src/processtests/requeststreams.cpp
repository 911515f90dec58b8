#include "processtests/requeststreams.h"

namespace turmericsill::processtests {

namespace {

    const std::string chunkedOpening = "POST /rpc HTTP/1.1\r\nHost: process\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

Stream endlessTrailers(std::size_t bytes) { return { chunkedOpening + "1\r\nx\r\n0\r\n", "X-Trailer: t\r\n", bytes }; }

Stream endlessHeader(std::size_t bytes) { return { "GET /calls/x HTTP/1.1\r\n", "a:\r\n", bytes }; }

Stream endlessStartLine(std::size_t bytes) { return { "GET /", std::string(1000, 'a'), bytes }; }

Stream endlessEmptyLines(std::size_t bytes) { return { "", "\r\n", bytes }; }

Stream endlessChunkExtension(std::size_t bytes)
{
    return { chunkedOpening + "a", ";name=" + std::string(100, 'e'), bytes };
}

Stream endlessChunks(std::size_t bytes)
{
    return { chunkedOpening, "fa00\r\n" + std::string(0xfa00, 'x') + "\r\n", bytes };
}

Stream unfinishedBody(std::size_t bytes)
{
    return { "POST /rpc HTTP/1.1\r\nHost: process\r\nContent-Length: " + std::to_string(bytes + 1) + "\r\n\r\n",
        std::string(largeStep, 'x'), bytes };
}

} // namespace turmericsill::processtests
