#pragma once

#include "eventlog/ieventlog.h"

#include <string>
#include <utility>
#include <vector>

namespace turmericsill::eventlog::mocks {

/// A log whose store takes less than its limits tell, and answers only when the test makes it.
class ScriptedLog : public IEventLog {
public:
    jobs::RecordLimits recordLimits() const override { return limits; }

    void append(AppendRequest request, foundation::milliseconds, AppendCallback done) override
    {
        requests.push_back(std::move(request));
        callbacks.push_back(std::move(done));
    }

    void read(const ReadRequest&, ReadCallback) override { }

    /// Answers the latest append: rejects it if it is larger than the store takes. Returns whether it was stored.
    bool answerLatest()
    {
        std::size_t bytes = 0;
        for (const auto& payload : requests.back().payloads)
            bytes += payload.size();
        const AppendCallback done = std::move(callbacks.back());
        if (bytes > acceptedBytes) {
            done(foundation::failure(foundation::Errc::Rejected, "log.append"));
            return false;
        }
        const auto offset = static_cast<std::uint64_t>(stored.size());
        stored.insert(stored.end(), requests.back().payloads.begin(), requests.back().payloads.end());
        done(AppendReceipt { offset, offset + requests.back().payloads.size() });
        return true;
    }

    jobs::RecordLimits limits { 4000, 10000, 4 };
    std::size_t acceptedBytes = 1 << 20; ///< Largest append that the store takes.
    std::vector<AppendRequest> requests;
    std::vector<AppendCallback> callbacks;
    std::vector<std::string> stored;
};

} // namespace turmericsill::eventlog::mocks
