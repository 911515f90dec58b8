#include "declarations/differ.h"
#include "declarations/folderloader.h"
#include "declarations/objectcodec.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::declarations;

namespace {

const char* const validDeclarations = R"({
  "regions": [{"name": "south"}],
  "data_centres": [{"name": "krosno-1", "region": "south"}],
  "racks": [{"name": "k1-r1", "data_centre": "krosno-1"}],
  "pools": [{"name": "calls", "minimum_healthy": 1}],
  "services": [{"name": "calls", "pool": "calls", "availability": 0.999, "slots_per_instance": 8, "connections_per_instance": 64}],
  "instances": [
    {"name": "w1", "address": "127.0.0.1:9001", "rack": "k1-r1", "pool": "calls", "cores": 64, "memory_gb": 128},
    {"name": "w2", "address": "127.0.0.1:9002", "rack": "k1-r1", "pool": "calls", "cores": 64, "memory_gb": 128}
  ]
})";

std::optional<DeclarationSet> load(const std::string& text, jsonsource::Faults& faults)
{
    std::vector<jsonsource::Document> documents;
    auto document = jsonsource::Document::parse("firm.json", text, faults);
    REQUIRE(document);
    documents.push_back(*document);
    return loadDocuments(documents, faults);
}

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("declarations: the examples of both firms are valid", "[declarations]")
{
    for (const std::string firm : { "mrozne-grono", "te-awa" }) {
        jsonsource::Faults faults;
        auto set = loadFolder(std::string(TURMERICSILL_SOURCE_DIR) + "/examples/" + firm, faults);
        for (const auto& fault : faults)
            UNSCOPED_INFO(fault.text());
        REQUIRE(set);
        CHECK(set->size() > 70);
    }
}

TEST_CASE("declarations: decoding an encoded set restores it", "[declarations]")
{
    jsonsource::Faults faults;
    auto set = load(validDeclarations, faults);
    REQUIRE(set);
    CHECK(diff(*set, decodeSet(encodeSet(*set))).empty());
}

TEST_CASE("declarations: all faults across objects are reported", "[declarations]")
{
    jsonsource::Faults faults;
    std::string text = replaceFirst(validDeclarations, "\"rack\": \"k1-r1\"", "\"rack\": \"k9\"");
    text = replaceFirst(text, "127.0.0.1:9002", "127.0.0.1:9001");
    text = replaceFirst(text, "\"minimum_healthy\": 1", "\"minimum_healthy\": 3");
    text = replaceFirst(
        text, "\"name\": \"krosno-1\", \"region\": \"south\"", "\"name\": \"krosno-1\", \"region\": \"north\"");
    CHECK_FALSE(load(text, faults));
    std::vector<std::string> texts;
    for (const auto& fault : faults)
        texts.push_back(fault.text());
    CHECK(texts
        == std::vector<std::string> { "firm.json:3: /data_centres/0/region: \"north\" is not declared in regions",
            "firm.json:8: /instances/0/rack: \"k9\" is not declared in racks",
            "firm.json:9: /instances/1/address: the address already belongs to instance \"w1\"",
            "firm.json:5: /pools/0/minimum_healthy: expected at most the pool's 2 instances" });
}

TEST_CASE("declarations: a duplicate name is reported with both positions", "[declarations]")
{
    jsonsource::Faults faults;
    CHECK_FALSE(load(replaceFirst(validDeclarations, "\"w2\"", "\"w1\""), faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].text() == "firm.json:9: /instances/1/name: \"w1\" already stands at firm.json:8");
}

TEST_CASE("declarations: a job that fits on no instance of its pool is rejected", "[declarations]")
{
    jsonsource::Faults faults;
    std::string text = replaceFirst(validDeclarations, "\"pools\":",
        R"("teams": [{"name": "t", "cores": 1000, "memory_gb": 1000}],
  "jobs": [{"name": "j", "pool": "calls", "team": "t", "cores": 65, "memory_gb": 1}], "pools":)");
    CHECK_FALSE(load(text, faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].text() == "firm.json:6: /jobs/0/pool: no instance of pool \"calls\" can hold one task of this job");
}

TEST_CASE("declarations: diff lists added, updated and removed objects", "[declarations]")
{
    jsonsource::Faults faults;
    auto before = load(validDeclarations, faults);
    auto after = load(replaceFirst(replaceFirst(validDeclarations, "\"minimum_healthy\": 1", "\"minimum_healthy\": 2"),
                          "\"w2\"", "\"w3\""),
        faults);
    auto changes = diff(*before, *after);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].action == ObjectChange::Action::Remove);
    CHECK(nameOf(changes[0].object) == "w2");
    CHECK(changes[1].action == ObjectChange::Action::Update);
    CHECK(nameOf(changes[1].object) == "calls");
    CHECK(changes[2].action == ObjectChange::Action::Add);
    CHECK(nameOf(changes[2].object) == "w3");
}
