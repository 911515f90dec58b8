#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::standins {

/// Streams of records with offsets, held in memory.
class LogStore {
public:
    struct Stream {
        std::uint64_t firstOffset = 0; ///< Offset of the oldest record that is kept.
        std::deque<std::string> records;

        std::uint64_t tail() const { return firstOffset + records.size(); }
    };

    Stream& stream(const std::string& name) { return streams_[name]; }

    /// Appends records, drops the oldest beyond `retain` (0 keeps all) and returns the offset of the first new one.
    std::uint64_t append(const std::string& name, std::vector<std::string> records, std::size_t retain);

private:
    std::map<std::string, Stream> streams_;
};

} // namespace turmericsill::standins
