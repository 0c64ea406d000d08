#!/usr/bin/env bash
# Prepares the stand-ins of the scripts: the project's own and those beside this
# file. They use the standard library only, so that compiling them is enough.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q platform/tests/platform_tests/standin review/standins
