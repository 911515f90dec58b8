#pragma once

#include "jobs/types/recordlimits.h"
#include "jobs/types/records.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericsill::jobs {

/// Builds the payloads of one append from records in their order, as many as the log takes at once.
/// Consecutive RunIntended and RunEnded records are stored as RunBatch records, those of one job together, and the
/// JobsStarted records are merged at the end.
class AppendBuilder {
public:
    AppendBuilder(const RecordLimits& limits, std::uint64_t epoch)
        : limits_(limits)
        , epoch_(epoch)
    {
    }

    /// Stores each record on its own if not `batchesRuns`: versions of this program without RunBatch cannot read it.
    AppendBuilder& setBatchesRuns(bool batchesRuns)
    {
        batchesRuns_ = batchesRuns;
        return *this;
    }

    /// Compresses the payloads. Versions of this program without compression cannot read them.
    AppendBuilder& setCompresses(bool compresses)
    {
        compresses_ = compresses;
        return *this;
    }

    /// Adds a record. Returns false, and adds nothing, if the append would exceed its limit. The first record is always
    /// added.
    bool add(const Record& record);

    /// Number of records that were added.
    std::size_t recordCount() const { return recordCount_; }

    /// Returns the payloads. The builder is empty afterwards.
    std::vector<std::string> build();

private:
    bool addRun(std::variant<RunIntended, RunEnded> run, std::size_t bound);
    bool addStarted(const JobsStarted& record);
    bool addSingle(const Record& record);

    /// Whether the append has room for this many more bytes.
    bool hasRoom(std::size_t bytes) const { return recordCount_ == 0 || bytes_ + bytes <= limits_.appendBytes; }
    std::string encodePayload(const Record& record) const;
    void closeBatch();
    void closeStarted();

    RecordLimits limits_;
    std::uint64_t epoch_;
    bool batchesRuns_ = true;
    bool compresses_ = true;
    std::size_t recordCount_ = 0;
    std::size_t bytes_ = 0; ///< Upper bound of the size of the append.
    std::vector<std::string> payloads_;
    std::vector<std::string> startedPayloads_; ///< Encoded JobsStarted records, which follow the others.
    RunBatch batch_;
    std::size_t batchBound_ = 0; ///< Upper bound of the size of `batch_` once it is encoded.
    JobsStarted started_;
    std::size_t startedBound_ = 0; ///< The same for `started_`.
};

/// Whether the log takes the record, which holds the checkpoint of its run.
bool fitsRecord(const RunEnded& record, const RecordLimits& limits);

/// Divides the runs of a record that is too large for the log over several records with the same effect.
std::vector<InstanceCrashed> divideToFit(const InstanceCrashed& record, const RecordLimits& limits);

} // namespace turmericsill::jobs
