#include "jobs/types/taskid.h"

#include "foundation/hash.h"

#include <charconv>

namespace turmericsill::jobs {

namespace {

    constexpr std::size_t jobIdDigits = 16;

    bool isLowerHex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

    /// Parses the number before the next dot, or before the end, and removes it and the dot from `text`.
    std::optional<std::uint32_t> consumeNumber(std::string_view& text)
    {
        std::uint32_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc())
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        if (!text.empty() && text.front() != '.')
            return std::nullopt;
        if (!text.empty())
            text.remove_prefix(1);
        return value;
    }

} // namespace

std::optional<JobId> parseJobId(std::string_view text)
{
    if (text.size() != jobIdDigits)
        return std::nullopt;
    for (char c : text) {
        if (!isLowerHex(c))
            return std::nullopt;
    }
    JobId id = 0;
    std::from_chars(text.data(), text.data() + text.size(), id, 16);
    return id;
}

std::string toText(JobId id) { return foundation::toHex(id); }

std::string toText(const TaskId& id)
{
    return toText(id.job) + '.' + std::to_string(id.occurrence) + '.' + std::to_string(id.step) + '.'
        + std::to_string(id.index);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    if (text.size() <= jobIdDigits || text[jobIdDigits] != '.')
        return std::nullopt;
    const auto job = parseJobId(text.substr(0, jobIdDigits));
    text.remove_prefix(jobIdDigits + 1);
    const auto occurrence = consumeNumber(text);
    const auto step = consumeNumber(text);
    const auto index = consumeNumber(text);
    if (!job || !occurrence || !step || !index || !text.empty())
        return std::nullopt;
    return TaskId { *job, *occurrence, *step, *index };
}

} // namespace turmericsill::jobs
