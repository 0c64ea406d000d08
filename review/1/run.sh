#!/usr/bin/env bash
# A replica answers one request with bytes without end. TROUBLE=0 leaves that
# out. PLACE=head sends them in the head of the answer instead of its body.
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD:$PWD/../platform/tests
exec python3 1/endless_answer.py
