#!/bin/sh
# Writes to record.txt what was sent, answered and run. 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: without the disruptions.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-3/third ] && [ -x target/rosemaryspool ] || exit 2
exec timeout 100 target/review-3/third roll "$folder/record.txt"
