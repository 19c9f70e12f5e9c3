#!/bin/sh
# Runs case 8; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && test -x ../bin/case8 -a -x ../../bin/dispatcher || exit 2
CASE=$(pwd) ROOT=$(cd ../.. && pwd) TROUBLE=${TROUBLE:-1} exec ../bin/case8
