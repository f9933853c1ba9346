#!/usr/bin/env bash
# A key of any length is served, and no other that begins alike.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
long() { head -c "$1" /dev/zero | tr '\0' "${2:-k}"; } # BYTES [SIGN]
K199=$(long 199)
K300=$(long 300 m)
config 1 "key1\",\"$K199\",\"$K300" >"$RUN/config"
for n in 1 2 3; do settings $n >"$RUN/gate$n.json"; start_gate $n; done
tell config -d "@$RUN/config"
for n in 1 2 3; do wait_for 10 ready $n 200 || is "gateway $n gets ready" no yes; done
sleep 1.5

answer() { CALLER_KEY=$1 call 1 /free/x "a$RANDOM$RANDOM"; } # KEY
is "a key of 199 characters is served" "$(answer "$K199")" 200
is "the same with more behind it is another" "$(answer "${K199}x")" 401
is "a beginning of it too" "$(answer "${K199%k}")" 401
is "a key of 300 characters is served" "$(answer "$K300")" 200
is "its beginning is another" "$(answer "$(long 299 m)")" 401
is "the same with more behind it too" "$(answer "${K300}x")" 401

exit $FAILED
