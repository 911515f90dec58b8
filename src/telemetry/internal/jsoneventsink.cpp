#include "telemetry/jsoneventsink.h"

#include "foundation/jsontext.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace turmericsill::telemetry {

namespace {

    /// Writes of up to this size are not interleaved with those of other processes to the same pipe.
    constexpr std::size_t maximumBlockBytes = 4096;
    constexpr std::size_t maximumQueuedBlocks = 512; ///< At most 2 MB.
    constexpr unsigned maximumLinesPerSecond = 3000; ///< For each event; a busy controller starts 4,500 runs a second.

    void appendValue(std::string& line, const std::string& text) { foundation::appendJsonString(line, text); }
    void appendValue(std::string& line, bool value) { line += value ? "true" : "false"; }
    void appendValue(std::string& line, double value) { line += nlohmann::json(value).dump(); }
    void appendValue(std::string& line, std::int64_t value) { line += std::to_string(value); }
    void appendValue(std::string& line, std::uint64_t value) { line += std::to_string(value); }

} // namespace

JsonEventSink::JsonEventSink(std::string entry, const foundation::IClock& clock)
    : entry_(std::move(entry))
    , clock_(clock)
{
    spdlog::init_thread_pool(maximumQueuedBlocks, 1);
    logger_ = std::make_shared<spdlog::async_logger>("events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger_->set_pattern("%v");
    logger_->flush_on(spdlog::level::info);
}

JsonEventSink::~JsonEventSink()
{
    flush();
    logger_.reset();
    spdlog::shutdown();
}

void JsonEventSink::write(std::string_view event, std::initializer_list<EventField> fields)
{
    auto found = rateWindows_.find(event);
    if (found == rateWindows_.end())
        found = rateWindows_.emplace(std::string(event), RateWindow()).first;
    RateWindow& window = found->second;
    const auto now = clock_.now();
    if (now - window.start >= std::chrono::seconds(1)) {
        window.start = now;
        window.lines = 0;
    }
    if (window.lines >= maximumLinesPerSecond) {
        ++window.droppedLines;
        return;
    }
    ++window.lines;
    const auto timeOfDay = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.wallNow().time_since_epoch());
    std::string line = "{\"time_ms\":" + std::to_string(timeOfDay.count()) + ",\"entry\":";
    appendValue(line, entry_);
    line += ",\"event\":";
    appendValue(line, std::string(event));
    for (const auto& field : fields) {
        line += ",\"";
        line += field.name;
        line += "\":";
        std::visit([&](const auto& value) { appendValue(line, value); }, field.value);
    }
    if (window.droppedLines > 0)
        line += ",\"left_out\":" + std::to_string(std::exchange(window.droppedLines, 0));
    line += '}';
    append(line);
}

// The logger ends each block with a line break.
void JsonEventSink::append(const std::string& line)
{
    if (block_.size() + line.size() + 2 > maximumBlockBytes)
        flush();
    if (!block_.empty())
        block_ += '\n';
    block_ += line;
}

void JsonEventSink::flush()
{
    if (!block_.empty())
        logger_->info(std::exchange(block_, {}));
}

} // namespace turmericsill::telemetry
