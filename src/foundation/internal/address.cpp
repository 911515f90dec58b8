#include "foundation/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace turmericsill::foundation {

std::string Address::toString() const { return ip + ":" + std::to_string(port); }

Result<Address> parseAddress(const std::string& text)
{
    auto invalidInput = [&] { return failure(Errc::InvalidInput, "address.parse", text, "expected IP:PORT"); };
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return invalidInput();
    Address address;
    address.ip = text.substr(0, colon);
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    if (error)
        return invalidInput();
    const char* portBegin = text.data() + colon + 1;
    const char* portEnd = text.data() + text.size();
    auto parsed = std::from_chars(portBegin, portEnd, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != portEnd || address.port == 0)
        return invalidInput();
    return address;
}

} // namespace turmericsill::foundation
