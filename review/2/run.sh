#!/usr/bin/env bash
# The first machine by name is cut off from the store while replicas leave.
# TROUBLE=0 leaves the cuts out.
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD:$PWD/../platform/tests
exec python3 2/leaving_replicas.py
