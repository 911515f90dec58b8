#!/usr/bin/env bash
# Checks the format and lints every source file of ours; generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'soak/*.cpp' 'benchmarks/*.cpp' | grep -v /generated/)
mapfile -t headers < <(git ls-files -co --exclude-standard 'src/*.h' 'platform/*.h' 'standins/*.h' 'soak/*.h' 'benchmarks/*.h' | grep -v /generated/)
clang-format --dry-run --Werror "${sources[@]}" "${headers[@]}"
# A file whose lint was clean is linted again only when it, a header or the rules have changed.
mkdir -p build/lint
common=$(cat .clang-tidy CMakeLists.txt "${headers[@]}" | sha256sum | cut -c1-16)
lint_one() {
    stamp=build/lint/$(cat "$1" <(echo "$2 $1") | sha256sum | cut -c1-32)
    [ -e "$stamp" ] && return 0
    clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$stamp" || { echo "lint failed: $1"; return 1; }
}
export -f lint_one
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {} '"$common"
echo "format and lint are clean: ${#sources[@]} sources, ${#headers[@]} headers"
