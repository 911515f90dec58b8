#!/usr/bin/env bash
# Installs the Debian packages that are required to build, test and run the project.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache git jq curl
    clang-format clang-tidy
    libboost-dev libboost-system-dev
    libjsonrpccpp-dev libjsoncpp-dev
    prometheus-cpp-dev
    libabsl-dev
    libgoogle-glog-dev
    nlohmann-json3-dev
    libexpected-dev
    libxxhash-dev
    libzstd-dev
    catch2 libtrompeloeil-cpp-dev
    libbenchmark-dev
    libspdlog-dev
    gnuplot-nox
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
[ "$(id -u)" -eq 0 ] || { echo "install.sh: must run as root to install the missing packages: ${missing[*]}" >&2; exit 1; }
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
