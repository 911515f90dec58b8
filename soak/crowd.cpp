#include "soak/crowd.h"

#include "processtests/requeststreams.h"

#include <limits>

namespace turmericsill::soak {

using namespace processtests;

namespace {

    constexpr std::size_t endlessBytes = 64 << 20;
    constexpr std::size_t acceptedHeaderBytes = 16000; ///< Just under the limit of a header.

    std::vector<ClientBehaviour> behaviours()
    {
        std::vector<ClientBehaviour> result;
        for (Stream (*stream)(std::size_t) : { endlessTrailers, endlessHeader, endlessStartLine, endlessEmptyLines,
                 endlessChunkExtension, endlessChunks, unfinishedBody })
            result.push_back({ stream(endlessBytes) });
        result.push_back({ endlessHeader(acceptedHeaderBytes) });
        result.push_back({ endlessHeader(acceptedHeaderBytes), 1 });
        result.push_back({ { "", "GET /metrics HTTP/1.1\r\nHost: process\r\n\r\n", endlessBytes }, largeStep, true });
        result.push_back({}); // Silent.
        return result;
    }

} // namespace

UntrustedCrowd::UntrustedCrowd(const std::vector<std::uint16_t>& ports, std::size_t count, std::mt19937_64& random)
{
    std::vector<ClientBehaviour> drawn = behaviours();
    std::uniform_int_distribution<std::size_t> choice(0, drawn.size() - 1);
    for (const std::uint16_t port : ports) {
        for (std::size_t index = 0; index < count; ++index) {
            ClientBehaviour& behaviour = drawn[choice(random)];
            behaviour.maximumReconnects = std::numeric_limits<int>::max();
            addClients(clients_, port, 1, behaviour);
        }
    }
}

void UntrustedCrowd::step()
{
    for (const auto& client : clients_)
        client->step();
}

} // namespace turmericsill::soak
