#!/usr/bin/env bash
# Puts the stand-ins of the third review's scripts into target/review-3. They
# use the standard library only. Runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
built=target/review-3
rm -rf "$built"
mkdir -p "$built"
cp -R review/common-3/review3 "$built/review3"
python3 -m compileall -q "$built"
