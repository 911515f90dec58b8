#include "httpclient/internal/responsebudget.h"

#include <algorithm>

namespace turmericsill::httpclient {

boost::asio::execution_context::id ResponseBudget::id;

ResponseBudget::ResponseBudget(boost::asio::io_context& context)
    : boost::asio::execution_context::service(context)
{
}

bool ResponseBudget::update(std::size_t& countedBytes, std::size_t heldBytes)
{
    usedBytes_ += heldBytes - countedBytes;
    countedBytes = heldBytes;
    return usedBytes_ <= limits_.totalBytes;
}

ResponseLimits responseLimitsWithin(std::size_t totalBytes)
{
    ResponseLimits limits;
    limits.totalBytes = totalBytes;
    limits.maximumBodyBytes = std::min(limits.maximumBodyBytes, totalBytes);
    return limits;
}

void setResponseLimits(boost::asio::io_context& context, const ResponseLimits& limits)
{
    boost::asio::use_service<ResponseBudget>(context).setLimits(limits);
}

} // namespace turmericsill::httpclient
