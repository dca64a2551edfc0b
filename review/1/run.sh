#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 does the same
# without the disruption.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
if [ ! -x target/release/hemlockfield ] || [ ! -x "target/review/case-$number" ]; then
    echo "first run the build of the deploy file and review/build.sh"
    exit 2
fi
exec "target/review/case-$number" "review/$number"
