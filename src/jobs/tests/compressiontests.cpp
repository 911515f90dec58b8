#include "jobs/recordcodec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace turmericsill;
using namespace turmericsill::jobs;

namespace {

/// A submission with a payload of random letters from a small alphabet.
JobSubmitted submission(std::size_t payloadBytes)
{
    std::mt19937_64 random(1);
    JobSubmitted result;
    result.job = 7;
    result.queue = "calls";
    result.spec.steps.add({});
    for (std::size_t i = 0; i < payloadBytes; ++i)
        result.spec.payload += static_cast<char>('a' + random() % 16);
    return result;
}

} // namespace

// Every entry reads every record through the same store, so the size of the records bounds how many jobs start in time.
TEST_CASE("compression: a record of text takes much less than its size and is read as it was", "[jobs]")
{
    const std::string plain = encode(submission(1000), 3);
    const std::string compressed = compressRecord(plain);
    CHECK(compressed.size() * 3 < plain.size() * 2);
    const auto decoded = decode(compressed);
    REQUIRE(decoded);
    CHECK(decoded->epoch == 3);
    CHECK(encode(decoded->record, decoded->epoch) == plain);
}

TEST_CASE("compression: small records remain as they are", "[jobs]")
{
    const std::string plain = encode(JobExpired { 7 }, 3);
    CHECK(compressRecord(plain) == plain);
}

// Damaged bytes must neither end the process nor be taken for a record.
TEST_CASE("compression: damaged records are not decoded", "[jobs]")
{
    const std::string compressed = compressRecord(encode(submission(1000), 3));
    CHECK_FALSE(decode(compressRecord(compressed + std::string(1000, 'x'))));
    for (std::size_t size = 0; size < compressed.size(); size += 7)
        CHECK_FALSE(decode(compressed.substr(0, size)));
    std::mt19937_64 random(2);
    for (int round = 0; round < 200; ++round) {
        std::string damaged = compressed;
        damaged[random() % damaged.size()] ^= static_cast<char>(1 + random() % 255);
        damaged.resize(damaged.size() - random() % 3);
        decode(damaged);
    }
    // A frame that tells of more bytes than any record has.
    const std::string huge("\x28\xb5\x2f\xfd\xe0\x00\x00\x00\x00\xff\x00\x00\x00\x01\x00\x00", 16);
    CHECK_FALSE(decode(huge));
}
