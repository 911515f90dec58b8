#include "jobs/internal/compression.h"

#include <memory>
#include <zstd.h>

namespace turmericsill::jobs {

using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr int compressionLevel = 1; ///< The controller's processor time is scarce.
    constexpr std::string_view frameMagic("\x28\xb5\x2f\xfd", 4);
    constexpr unsigned long long maximumContentBytes = 16 << 20;

    struct ContextDeleter {
        void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
        void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
    };

} // namespace

// Contexts are reused, since creating one takes longer than compressing a record.
std::optional<std::string> compress(std::string_view bytes)
{
    thread_local const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
    if (!context)
        return std::nullopt;
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size
        = ZSTD_compressCCtx(context.get(), frame.data(), frame.size(), bytes.data(), bytes.size(), compressionLevel);
    if (ZSTD_isError(size) || size >= bytes.size())
        return std::nullopt;
    frame.resize(size);
    return frame;
}

bool isCompressed(std::string_view bytes) { return bytes.substr(0, frameMagic.size()) == frameMagic; }

Result<std::string> decompress(std::string_view frame)
{
    static const std::string step = "jobs.decompress";
    thread_local const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
    const unsigned long long size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (!context || size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maximumContentBytes)
        return failure(Errc::UnknownRecord, step, {}, "the frame does not tell a size within the limit");
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t restored
        = ZSTD_decompressDCtx(context.get(), bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(restored) || restored != bytes.size())
        return failure(Errc::UnknownRecord, step, {}, "the frame is damaged");
    return bytes;
}

} // namespace turmericsill::jobs
