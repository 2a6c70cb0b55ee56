#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateways of the deploy file; run it after that file's build.
# Replication needs four libraries of requirements-dev.txt. All stand-ins are Python and need no build.
set -e
cd "$(dirname "$0")/.."
folder=review/.build-2/.venv
mkdir -p review/.build-2
echo '*' >review/.build-2/.gitignore
{
    cat requirements.txt
    grep -E '^(apsw|immutables|xxhash|zstandard)==' requirements-dev.txt
} >review/.build-2/requirements.txt
if ! cmp -s review/.build-2/requirements.txt "$folder/built"; then
    python3 -m venv --clear "$folder"
    "$folder/bin/python" -m pip -q install -r review/.build-2/requirements.txt
    cp review/.build-2/requirements.txt "$folder/built"
fi
"$folder/bin/python" -m compileall -q review/stand_ins_2.py review/fleet_2.py review/6 review/7 review/8 \
    review/9 review/10 mapleshunt
