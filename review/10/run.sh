#!/bin/sh
# Plays case 10: see claim.txt. It exits with 1 if the rule was broken, 0 if it held and 2 if the
# case couldn't run; TROUBLE=0 plays it without the disruption. Build first: the build line of
# deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/endived ] && [ -x target/standin2 ] || exit 2
exec target/standin2 10 review/10/record.txt
