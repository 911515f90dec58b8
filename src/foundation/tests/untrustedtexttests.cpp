#include "foundation/cbor.h"
#include "foundation/jsontext.h"

#include <catch2/catch.hpp>
#include <string>

using namespace turmericsill::foundation;
using nlohmann::json;

namespace {

/// Lists within each other, the innermost empty.
std::string nested(std::size_t levels) { return std::string(levels - 1, '\x81') + '\x80'; }

} // namespace

TEST_CASE("cbor: every kind of value is read as the library reads it", "[foundation]")
{
    const json value { { "list", { 1, -2, 2.5, true, nullptr, "text", json::array(), json::object() } },
        { "bytes", json::binary({ 1, 2, 3 }) },
        { "map", { { "a", { { "b", 1 } } }, { "c", 18446744073709551615u } } } };
    std::string bytes;
    json::to_cbor(value, bytes);
    CHECK(parseCbor(bytes) == value);
    CHECK(parseCbor(bytes) == json::from_cbor(bytes));
}

TEST_CASE("cbor: malformed and incomplete bytes are refused", "[foundation]")
{
    for (const std::string bytes :
        { "", "\x81", "\xff", "\x82\x01", "\x5a\xff\xff\xff\xff", "\x01\x01", "\xa1\x01\x01" })
        CHECK_THROWS_AS(parseCbor(bytes), std::exception);
}

TEST_CASE("cbor: the levels of lists are limited", "[foundation]")
{
    CHECK_NOTHROW(parseCbor(nested(maximumCborDepth)));
    CHECK_THROWS_WITH(parseCbor(nested(maximumCborDepth + 1)), "CBOR with too many levels");
    CHECK_THROWS_AS(parseCbor(std::string(1000000, '\x81')), std::exception);
}

TEST_CASE("cbor: the number of values is limited", "[foundation]")
{
    std::string bytes;
    json::to_cbor(json(std::vector<int>(99, 0)), bytes);
    CHECK_NOTHROW(parseCbor(bytes, 100));
    CHECK_THROWS_WITH(parseCbor(bytes, 99), "CBOR with too many values");
}

TEST_CASE("json text: values are counted without parsing, and not those in strings", "[foundation]")
{
    CHECK(countJsonValues("1") == 0);
    CHECK(countJsonValues("[]") == 1);
    CHECK(countJsonValues("[1,2,3]") == 3);
    CHECK(countJsonValues(R"({"a":[{},{}],"b":",,[[{{","c\\\",":1})") == 7);
    CHECK(countJsonValues(R"("\\")") == 0);
    CHECK(countJsonValues(R"("\)") == 0);
}
