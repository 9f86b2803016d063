#!/usr/bin/env bash
# Runs the case and writes record.txt: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cowslipd ] && [ -x target/review/standin ] || exit 2
exec target/review/standin route review/5/record.txt
