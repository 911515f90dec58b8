#include "fleetlog/snapshotloader.h"

#include <limits>
#include <utility>

namespace turmericsill::fleetlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;
using platform::LogPage;

namespace {

    /// Records at the stream's end that hold a whole snapshot, also when two writers mix theirs.
    constexpr std::uint64_t lookBack = 128;

} // namespace

SnapshotLoader::SnapshotLoader(platform::ILogClient& log, std::string stream)
    : log_(log)
    , stream_(std::move(stream))
{
}

void SnapshotLoader::load(Callback done)
{
    // A read from beyond the end tells where the end is.
    log_.read(stream_, std::numeric_limits<std::int64_t>::max(), 1, milliseconds(0),
        [this, done = std::move(done)](const Result<LogPage>& page) {
            if (!page)
                return done(tl::unexpected(page.error()));
            readFrom(page->tail > lookBack ? page->tail - lookBack : 0, done);
        });
}

void SnapshotLoader::readFrom(std::uint64_t from, Callback done)
{
    log_.read(
        stream_, from, lookBack, milliseconds(0), [this, from, done = std::move(done)](const Result<LogPage>& page) {
            // Older records may be dropped between the two reads; newer ones are still there.
            if (!page && page.error().code == Errc::RetentionPassed)
                return readFrom(from + lookBack / 4, done);
            if (!page)
                return done(tl::unexpected(page.error()));
            done(assembleNewest(page->payloads));
        });
}

} // namespace turmericsill::fleetlog
