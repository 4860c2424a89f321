#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
PACKAGES=(
    g++ cmake ninja-build ccache clang-format clang-tidy curl jq
    librestinio-dev libasio-dev libfmt-dev libhttp-parser-dev libflatbuffers-dev
    libcurl4-openssl-dev libtomlplusplus-dev libtclap-dev libgoogle-glog-dev libboost-dev
    catch2 librapidcheck-dev nlohmann-json3-dev libxxhash-dev libpcg-cpp-dev libbenchmark-dev
    libssl-dev libzstd-dev prometheus-cpp-dev rumur python3
)
missing=()
for package in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
((${#missing[@]} == 0)) && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
