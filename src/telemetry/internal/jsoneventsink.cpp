#include "telemetry/jsoneventsink.h"

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
    constexpr unsigned maximumLinesPerSecond = 3000; ///< For each event; a busy controller starts 300 runs a second.

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
    nlohmann::ordered_json line;
    line["time_ms"]
        = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.wallNow().time_since_epoch()).count();
    line["entry"] = entry_;
    line["event"] = event;
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    if (window.droppedLines > 0)
        line["left_out"] = std::exchange(window.droppedLines, 0);
    append(line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

// Each line, and the block as a whole, ends with a line break.
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
