#!/usr/bin/env bash
# Puts the stand-ins that the scripts of this review start into target/review-2:
# those of the project and the few of the review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out/platform_tests"
touch "$out/platform_tests/__init__.py"
cp -R platform/tests/platform_tests/standin "$out/platform_tests/standin"
cp -R review/common-2/review_fleet "$out/review_fleet"
find "$out" -name __pycache__ -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$out"
