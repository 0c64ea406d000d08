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
# Processes may start from target/deps during a build, so a package is replaced
# only if it differs, and by renaming.
for source in packages/core/src packages/daemon/src platform/src; do
  for package in "$source"/*/; do
    name=$(basename "$package")
    if diff -rq --exclude=__pycache__ "$package" "$deps/$name" > /dev/null 2>&1; then
      continue
    fi
    new=$(mktemp -d "$deps/.new-XXXXXX")
    cp -R "$package" "$new/$name"
    if [ -e "$deps/$name" ]; then
      mv "$deps/$name" "$new/old"
    fi
    mv "$new/$name" "$deps/$name"
    rm -rf "$new"
  done
done
python3 -m compileall -q "$deps"
