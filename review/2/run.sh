#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec timeout -s KILL 115 review/bin/standins resumed-failure "$here/record.txt"
