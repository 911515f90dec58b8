#include "ctlundertest.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

// What stands in a file of declarations may be anything.

using namespace turmericsill::ctl::tests;
using namespace turmericsill::processtests;

namespace {

constexpr int exitRefused = 1;
constexpr std::size_t fileBytes = std::size_t(512) << 20;

} // namespace

TEST_CASE("ctl: a deeply nested declaration is refused without exhausting the memory", "[untrusted]")
{
    const TemporaryFolder folder;
    constexpr std::size_t levels = 20000;
    std::ofstream(folder.file("nested.json")) << std::string(levels, '[') << std::string(levels, ']');
    const ProcessEnd end = runToEnd({ "check", folder.path() });
    CHECK(end.exitCode == exitRefused);
    CHECK(end.peakResidentKb <= maximumResidentKb);
}

TEST_CASE("ctl: a declaration file that is far too large is refused without being read", "[untrusted]")
{
    const TemporaryFolder folder;
    std::ofstream(folder.file("large.json")).put('\n');
    std::filesystem::resize_file(folder.file("large.json"), fileBytes);
    const ProcessEnd end = runToEnd({ "check", folder.path() });
    CHECK(end.exitCode == exitRefused);
    CHECK(end.peakResidentKb <= maximumResidentKb);
}
