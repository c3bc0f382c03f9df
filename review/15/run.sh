#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
REVIEW_TOP=$(cd ../.. && pwd) || exit 2
export REVIEW_TOP
[ -x "$REVIEW_TOP/target/review-4/standin" ] || exit 2
exec timeout -k 5 110 "$REVIEW_TOP/target/review-4/standin" busy .
