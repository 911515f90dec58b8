#include "jsonsource/objectschema.h"

#include <catch2/catch.hpp>

using namespace turmericsill::jsonsource;

TEST_CASE("document: the line of each field is recorded", "[jsonsource]")
{
    Faults faults;
    auto document = Document::parse(
        "a.json", "// head\n{\n  \"a\": 1,\n  \"b\": [\n    2,\n    {\"c\": \"x\"}\n  ]\n}\n", faults);
    REQUIRE(document);
    CHECK(faults.empty());
    CHECK(document->lineOf("/a") == 3);
    CHECK(document->lineOf("/b/0") == 5);
    CHECK(document->lineOf("/b/1/c") == 6);
    CHECK(document->lineOf("/b/1/missing") == 6);
    CHECK(document->value()["b"][1]["c"] == "x");
}

TEST_CASE("document: a duplicate field and a syntax error are reported with their lines", "[jsonsource]")
{
    Faults faults;
    CHECK(Document::parse("a.json", "{\n\"a\": 1,\n\"a\": 2}", faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].text() == "a.json:3: /a: a field may stand only once");

    faults.clear();
    CHECK_FALSE(Document::parse("a.json", "{\n\"a\": 1,\n}", faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].line == 3);
}

TEST_CASE("schema: all faults of an object are reported together", "[jsonsource]")
{
    const ObjectSchema schema {
        { "name", FieldType::Name, true, 0, 0, {} },
        { "slots", FieldType::Integer, true, 1, 64, {} },
        { "share", FieldType::Number, false, 0, 1, {} },
        { "address", FieldType::Address, true, 0, 0, {} },
        { "mode", FieldType::Choice, false, 0, 0, { "serve", "fence" } },
    };
    Faults faults;
    auto document = Document::parse("a.json",
        "{\n\"name\": \"Upper\",\n\"slots\": 65,\n\"share\": 1.5,\n\"address\": \"host:1\",\n\"mode\": "
        "\"x\",\n\"extra\": 1}",
        faults);
    REQUIRE(document);
    checkObject(*document, "", schema, faults);
    REQUIRE(faults.size() == 6);
    CHECK(faults[0].text() == "a.json:7: /extra: unknown field; known are name, slots, share, address, mode");
    CHECK(faults[1].line == 2);
    CHECK(faults[2].text() == "a.json:3: /slots: expected a whole number from 1 to 64");
    CHECK(faults[3].text() == "a.json:4: /share: expected a number from 0 to 1");
    CHECK(faults[4].line == 5);
    CHECK(faults[5].text() == "a.json:6: /mode: expected one of \"serve\" \"fence\"");
}

TEST_CASE("document: the levels and the number of values are limited", "[jsonsource]")
{
    const auto parse = [](const std::string& text) {
        Faults faults;
        const bool isParsed = Document::parse("limits.json", text, faults).has_value();
        CHECK(isParsed == faults.empty());
        return faults.empty() ? std::string() : faults.front().text();
    };
    CHECK(parse(std::string(32, '[') + std::string(32, ']')).empty());
    CHECK(parse(std::string(33, '[') + std::string(33, ']')).find("at most 32 levels") != std::string::npos);
    std::string list = "[0";
    for (int i = 1; i < 999999; ++i)
        list += ",0";
    CHECK(parse(list + "]").empty());
    CHECK(parse(list + ",0]").find("at most 1000000 values") != std::string::npos);
}
