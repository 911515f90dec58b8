#include "foundation/errc.h"

#include <string>

namespace turmericsill::foundation {

namespace {

    class ErrcCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "turmericsill"; }

        std::string message(int value) const override
        {
            switch (static_cast<Errc>(value)) {
            case Errc::InvalidInput:
                return "invalid input";
            case Errc::NotFound:
                return "not found";
            case Errc::Conflict:
                return "conflict";
            case Errc::Unavailable:
                return "unavailable";
            case Errc::Timeout:
                return "timeout";
            case Errc::ProtocolViolation:
                return "protocol violation";
            case Errc::UnknownRecord:
                return "unknown record";
            case Errc::CapacityExceeded:
                return "capacity exceeded";
            case Errc::RetentionPassed:
                return "retention passed";
            case Errc::Fenced:
                return "fenced by a later holder";
            case Errc::WrongInstance:
                return "another instance answers";
            case Errc::Rejected:
                return "rejected for good";
            }
            return "unknown error";
        }
    };

} // namespace

const std::error_category& errorCategory()
{
    static const ErrcCategory category;
    return category;
}

std::error_code make_error_code(Errc code) { return { static_cast<int>(code), errorCategory() }; }

} // namespace turmericsill::foundation
