#pragma once

#include "foundation/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace turmericsill::jobs {

/// Compresses bytes as a Zstandard frame. Empty if that is not smaller.
std::optional<std::string> compress(std::string_view bytes);

/// Whether bytes begin like a frame of compress(). Records in CBOR do not.
bool isCompressed(std::string_view bytes);

/// Restores the bytes of a frame. Errc::UnknownRecord: the frame is damaged, or larger than any record.
foundation::Result<std::string> decompress(std::string_view frame);

} // namespace turmericsill::jobs
