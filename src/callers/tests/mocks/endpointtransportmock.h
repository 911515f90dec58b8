#pragma once

#include "callers/iendpointtransport.h"

#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

namespace turmericsill::callers::mocks {

class EndpointTransportMock : public IEndpointTransport {
public:
    MAKE_MOCK5(start,
        void(const AttemptTarget&, const httpserver::HttpRequest&, foundation::SteadyTime, foundation::SteadyTime,
            AttemptObserverPtr),
        override);
    MAKE_MOCK1(closeIdleConnections, void(const std::string&), override);
};

} // namespace turmericsill::callers::mocks
