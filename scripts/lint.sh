#!/usr/bin/env bash
# Checks the format of all sources and headers and runs clang-tidy on the sources, except for generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'soak/*.cpp' 'benchmarks/*.cpp' | grep -v /generated/)
mapfile -t headers < <(git ls-files -co --exclude-standard 'src/*.h' 'platform/*.h' 'standins/*.h' 'soak/*.h' 'benchmarks/*.h' | grep -v /generated/)
clang-format --dry-run --Werror "${sources[@]}" "${headers[@]}"
# A source file that passed clang-tidy is checked again only when it, any header, the root CMakeLists.txt or .clang-tidy
# has changed.
mkdir -p build/lint
shared_hash=$(cat .clang-tidy CMakeLists.txt "${headers[@]}" | sha256sum | cut -c1-16)
# Runs clang-tidy on one file unless it has passed before. Arguments: file, hash of the inputs that all files share.
lint_file() {
    stamp=build/lint/$(cat "$1" <(echo "$2 $1") | sha256sum | cut -c1-32)
    [ -e "$stamp" ] && return 0
    clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$stamp" || { echo "clang-tidy failed: $1"; return 1; }
}
export -f lint_file
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_file {} '"$shared_hash"
echo "format and clang-tidy checks passed: ${#sources[@]} sources, ${#headers[@]} headers"
