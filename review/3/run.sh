#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
# TROUBLE=0 it runs without the disruption. It ends by itself in less than 120 seconds.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/cases ] && [ -x ../../target/baobab-entry ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec ../bin/cases gone-engine "$(cd ../.. && pwd)" "$PWD/record.txt"
