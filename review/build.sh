#!/bin/sh
# Builds the stand-ins of the cases: Python files, compiled by the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review lilacfront
