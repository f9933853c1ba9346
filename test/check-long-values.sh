#!/usr/bin/env bash
# A key, a request's id and the id of the event that a stream resumes from may have any length. One that is cut is another's
# that begins alike.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
long() { head -c "$1" /dev/zero | tr '\0' "${2:-k}"; } # BYTES [SIGN]
header() { tell headers | tr -d '\r' | sed -n "s/^$1: //p"; } # NAME: of the last request that an endpoint got
K199=$(long 199)
K300=$(long 300 m)
start_three_gates "$(config 1 "key1\",\"$K199\",\"$K300")"

answer() { CALLER_KEY=$1 call 1 /free/x "a$RANDOM$RANDOM"; } # KEY
is "a key of 199 characters is served" "$(answer "$K199")" 200
is "the same with more behind it is another" "$(answer "${K199}x")" 401
is "a beginning of it too" "$(answer "${K199%k}")" 401
is "a key of 300 characters is served" "$(answer "$K300")" 200
is "its beginning is another" "$(answer "$(long 299 m)")" 401
is "the same with more behind it too" "$(answer "${K300}x")" 401

ID=$(long 90 i)
is "a request with an id of 91 characters is served" "$(call 1 /once/x "${ID}1")" 200
is "the endpoint gets that whole" "$(header X-Attempt-Id)" "${ID}1"
is "one whose id begins alike is served" "$(call 1 /once/x "${ID}2")" 200
is "and is another" "$(header X-Attempt-Id) $(tell "runs?id=${ID}1") $(tell "runs?id=${ID}2")" "${ID}2 1 1"
is "a stream with such an id is resumed" "$(ask 2 /ask/break/x "${ID}3") $(event_ids "$RUN/body")" "200 1 2 3 4 5 6 7 8 9 10 "
is "an id of 3,000 characters is passed on" "$(call 3 /free/x "$(long 3000 j)") $(header X-Attempt-Id | tr -d '\n' | wc -c)" "200 3000"
is "a refusal names it" "$(CALLER_KEY=none call 1 /free/x "${ID}4" -D "$RUN/head") $(tr -d '\r' <"$RUN/head" | sed -n 's/^X-Attempt-Id: //p')" "401 ${ID}4"

EVENT=$(long 100 7)
ask 1 /ask/x e1 -H "Last-Event-Id: $EVENT" >/dev/null
is "an event's id is passed on whole" "$(header Last-Event-Id)" "$EVENT"
exit $FAILED
