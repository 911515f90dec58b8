#include "telemetry/jsoneventlog.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace turmericsill::telemetry {

namespace {

    constexpr std::size_t queueLines = 8192; ///< About 2 MB of lines.
    constexpr unsigned linesPerSecond = 3000; ///< Of one event; a busy controller starts some 300 runs a second.

} // namespace

JsonEventLog::JsonEventLog(std::string entry, const foundation::IClock& clock)
    : entry_(std::move(entry))
    , clock_(clock)
{
    spdlog::init_thread_pool(queueLines, 1);
    logger_ = std::make_shared<spdlog::async_logger>("events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger_->set_pattern("%v");
    logger_->flush_on(spdlog::level::info);
}

JsonEventLog::~JsonEventLog()
{
    logger_.reset();
    spdlog::shutdown();
}

void JsonEventLog::write(std::string_view event, std::initializer_list<EventField> fields)
{
    auto found = rates_.find(event);
    if (found == rates_.end())
        found = rates_.emplace(std::string(event), Rate()).first;
    Rate& rate = found->second;
    const auto now = clock_.now();
    if (now - rate.second >= std::chrono::seconds(1)) {
        rate.second = now;
        rate.lines = 0;
    }
    if (rate.lines >= linesPerSecond) {
        ++rate.leftOut;
        return;
    }
    ++rate.lines;
    nlohmann::ordered_json line;
    line["time_ms"]
        = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.wallNow().time_since_epoch()).count();
    line["entry"] = entry_;
    line["event"] = event;
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    if (rate.leftOut > 0)
        line["left_out"] = std::exchange(rate.leftOut, 0);
    logger_->info(line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace turmericsill::telemetry
