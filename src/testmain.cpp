#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

namespace trompeloeil {

// Routes trompeloeil's violations into Catch2, which the library asks its user to supply.
template <> void reporter<specialized>::send(severity level, const char* file, unsigned long line, const char* message)
{
    std::string text = std::string(file) + ":" + std::to_string(line) + " " + message;
    if (level == severity::fatal)
        FAIL(text);
    CHECK_FALSE(text.c_str());
}

} // namespace trompeloeil
