#!/usr/bin/env bash
# Puts the libraries of the lock file and the product's packages into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=$deps/.installed-$(sha256sum deploy/requirements.lock | cut -c1-12)
if [ ! -e "$stamp" ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check --target "$deps" \
    --require-hashes -r deploy/requirements.lock
  touch "$stamp"
fi
for source in packages/core/src packages/daemon/src platform/src; do
  for package in "$source"/*/; do
    rm -rf "${deps:?}/$(basename "$package")"
    cp -R "$package" "$deps/"
  done
done
python3 -m compileall -q "$deps"
