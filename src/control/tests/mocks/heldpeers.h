#pragma once

#include "control/ipeercontrol.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::control::mocks {

/// Keeps the queries of other entries, so that a test answers them.
class HeldPeers : public IPeerControl {
public:
    void queryState(const foundation::Address& peer, StateCallback done) override
    {
        asked.push_back(peer.toString());
        pending.emplace(peer.toString(), std::move(done));
    }

    void forward(
        const foundation::Address&, std::vector<std::string>, foundation::milliseconds, ForwardCallback) override
    {
    }

    /// Answers the earliest pending query of an entry.
    void answer(const std::string& address, const foundation::Result<PeerControlState>& state)
    {
        const auto query = pending.find(address);
        if (query == pending.end())
            throw std::out_of_range("no pending query of " + address);
        const StateCallback done = std::move(query->second);
        pending.erase(query);
        done(state);
    }

    /// Addresses of the entries asked since the previous call, in alphabetical order.
    std::vector<std::string> takeAsked()
    {
        std::sort(asked.begin(), asked.end());
        return std::exchange(asked, {});
    }

    std::vector<std::string> asked;
    std::multimap<std::string, StateCallback> pending; ///< Key: address of the entry.
};

} // namespace turmericsill::control::mocks
