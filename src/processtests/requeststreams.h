#pragma once

#include "processtests/misbehavingpeer.h"

namespace turmericsill::processtests {

// Requests without end. `bytes` bounds what one connection sends.

Stream endlessTrailers(std::size_t bytes);
Stream endlessHeader(std::size_t bytes);
Stream endlessStartLine(std::size_t bytes);
Stream endlessEmptyLines(std::size_t bytes);
Stream endlessChunkExtension(std::size_t bytes);
Stream endlessChunks(std::size_t bytes);

/// A body that is announced with one byte more than is sent.
Stream unfinishedBody(std::size_t bytes);

} // namespace turmericsill::processtests
