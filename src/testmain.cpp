#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

namespace trompeloeil {

// Reports violated trompeloeil expectations as Catch2 failures. Trompeloeil leaves this specialization to its
// users.
template <> void reporter<specialized>::send(severity level, const char* file, unsigned long line, const char* message)
{
    std::string violation = std::string(file) + ":" + std::to_string(line) + " " + message;
    if (level == severity::fatal)
        FAIL(violation);
    CHECK_FALSE(violation.c_str());
}

} // namespace trompeloeil
