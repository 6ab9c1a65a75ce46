#!/usr/bin/env bash
# Installs every package that the build, the checks and the tests need on a fresh Debian machine.
# Does nothing, and needs no network, if all of them are installed.
set -euo pipefail

packages=(g++ make cmake ninja-build ccache pkg-config
  capnproto libcapnp-dev libmicrohttpd-dev libcurl4-openssl-dev
  libcxxopts-dev libgoogle-glog-dev libinih-dev libboost-dev
  libxxhash-dev nlohmann-json3-dev libsodium-dev
  libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev
  spin clang clang-format clang-tidy libclang-rt-14-dev)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
