#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the programs of the deploy file. Their stand-ins are in
# Python (standard library only, 3.11 or later), so building them is to compile them once, in a temporary folder.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'END' || exit 2
import os, py_compile, sys, tempfile
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
folder = os.path.join("review", "standin-2")
with tempfile.TemporaryDirectory() as out:
    for name in sorted(os.listdir(folder)):
        if name.endswith(".py"):
            py_compile.compile(os.path.join(folder, name), cfile=os.path.join(out, name + "c"), doraise=True)
END
