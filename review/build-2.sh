#!/bin/sh
# The stand-ins of the second review need the standard library of Python 3.11 only: they
# are in stage_2.py and in the cases. Nothing has to be built, and neither cheroot nor
# the project's own stand-ins are used. This checks that the files can be compiled.
set -eu
cd "$(dirname "$0")"
python3 - stage_2.py [4-8]/*.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
CHECK
