#!/usr/bin/env bash
# Builds what the scripts of the second review start beside target/gooseberrymill. Their stand-ins are Python (standard
# library only), so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand-ins-2/fleet.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
print("the stand-ins compile")
PY
