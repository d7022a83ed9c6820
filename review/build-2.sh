#!/bin/sh
# The stand-ins of review/6 to review/10 are Python 3.8 or later with its standard library: nothing is built. This checks
# that they can run here, and that the build of the deploy file has left the program that they start.
set -eu
cd "$(dirname "$0")/.."
python3 -B - <<'PYTHON'
import glob, sys
assert sys.version_info >= (3, 8), sys.version
for path in glob.glob("review/standin-2/*.py") + glob.glob("review/[6-9]/*.py") + glob.glob("review/10/*.py"):
    compile(open(path).read(), path, "exec")
PYTHON
test -x target/release/railhub
