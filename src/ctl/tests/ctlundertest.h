#pragma once

#include "processtests/processundertest.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::ctl::tests {

/// Several times what the declarations of a whole fleet take.
constexpr std::size_t maximumResidentKb = 256 << 10;

/// Runs turmericctl until it ends.
inline processtests::ProcessEnd runToEnd(std::vector<std::string> arguments)
{
    processtests::ProcessUnderTest process({ TURMERICSILL_CTL_PROGRAM, std::move(arguments), "/dev/null", {} });
    const processtests::ProcessEnd end = process.waitForEnd();
    WARN("resident memory peak " << end.peakResidentKb << " kB");
    return end;
}

} // namespace turmericsill::ctl::tests
