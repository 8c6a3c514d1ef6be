#!/bin/bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 plays it without the disruption. Build with review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
PLAYER=target/review-2/release/review-standins-2
[ -x "$PLAYER" ] && [ -x target/release/jujubedeal-front ] || exit 2
timeout 115 "$PLAYER" late-request review/8/record.txt
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
