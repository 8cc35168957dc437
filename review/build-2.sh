#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python on the libraries of the deploy file's build,
# so nothing has to be compiled or installed: this checks that they can be imported there.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import sys; sys.path.insert(0, 'review/common-2'); import standins"
echo "the stand-ins are ready"
