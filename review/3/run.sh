#!/bin/sh
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case3 ] && [ -x ../../bin/dispatcher ] || { echo "not built: run the build of the deploy file and review/build.sh"; exit 2; }
exec ../bin/case3
