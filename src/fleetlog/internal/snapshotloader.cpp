#include "fleetlog/snapshotloader.h"

#include <limits>
#include <utility>

namespace turmericsill::fleetlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;
using platform::LogPage;

namespace {

    /// Number of records at the end of the stream to search; enough for a complete snapshot even if two writers
    /// interleave their parts.
    constexpr std::uint64_t tailRecords = 128;

} // namespace

SnapshotLoader::SnapshotLoader(platform::ILogClient& log, std::string stream)
    : log_(log)
    , stream_(std::move(stream))
{
}

void SnapshotLoader::load(Callback done)
{
    // A read beyond the end returns an empty page that states the tail offset.
    log_.read(stream_, std::numeric_limits<std::int64_t>::max(), 1, milliseconds(0),
        [this, done = std::move(done)](const Result<LogPage>& page) {
            if (!page)
                return done(tl::unexpected(page.error()));
            readFrom(page->endOffset > tailRecords ? page->endOffset - tailRecords : 0, done);
        });
}

void SnapshotLoader::readFrom(std::uint64_t from, Callback done)
{
    log_.read(
        stream_, from, tailRecords, milliseconds(0), [this, from, done = std::move(done)](const Result<LogPage>& page) {
            // Retention may drop the oldest records between the two reads; newer ones are still available.
            if (!page && page.error().code == Errc::RetentionPassed)
                return readFrom(from + tailRecords / 4, done);
            if (!page)
                return done(tl::unexpected(page.error()));
            done(assembleNewest(page->payloads));
        });
}

} // namespace turmericsill::fleetlog
