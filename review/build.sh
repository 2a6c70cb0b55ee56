#!/bin/sh
# Builds the stand-ins, which are Python files of the standard library alone, with the program's own Python.
cd "$(dirname "$0")/.." || exit 2
exec .venv-run/bin/python -m compileall -q review
