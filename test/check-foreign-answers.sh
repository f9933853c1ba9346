#!/usr/bin/env bash
# An endpoint runs a request, and an answer that names another one comes in the place of its own. Guards against a word of that
# answer on this request: "not run" above all, after which a request that may run only once ran twice, or its caller was told that
# it had not run.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
engines=
for n in $(seq 4 10); do engines="$engines --engine i-e$n=$(address $((100 + n)))"; done
plain=
for n in $(seq 3 10); do plain="$plain --plain i-p$n=$(address $((120 + n)))"; done
start_site $engines $plain
ASK_ATTEMPTS=3
ONCE_ATTEMPTS=2
MORE_SETTINGS='"repeat_extra":1000,' # which all these retries fit in
start_three_gates
is "a refusal that names no request is one: another endpoint serves" "$(call 1 /once/full/x earlier) $(($(tell 'runs?id=earlier') & 0xffff))" "200 1"
n=0
for kind in ${KINDS:-503 503-proof 503-run 429 421 421-bare 408 400 500 200 200-not-run}; do
	n=$((n + 1))
	gate=$((n % 3 + 1))
	is "$kind: what may run only once runs once, and its caller is promised nothing" \
		"$(call $gate "/once/answer=other-$kind/x" "o$n" -D "$RUN/head") $(tell "runs?id=o$n") $(grep -ci '^retry-after' "$RUN/head")" "502 1 0"
	is "$kind: with its own id" "$(grep -i '^x-attempt-id' "$RUN/head" | tr -d '\r' | cut -d' ' -f2)" "o$n"
	is "$kind: nor after a refusal by the endpoint before" \
		"$(call $gate "/once/full/answer=other-$kind/x" "f$n") $(($(tell "runs?id=f$n") & 0xffff))" "502 1"
	is "$kind: what may be repeated fails where all its endpoints give such answers" \
		"$(call $gate "/free/answer=other-$kind/then=other-$kind/x" "a$n") $(tell "runs?id=a$n")" "502 2"
	is "$kind: what may be repeated is served by another endpoint" "$(call $gate "/free/answer=other-$kind/x" "r$n") $(tell "runs?id=r$n")" "200 2"
	is "$kind: a stream comes whole from another engine" \
		"$(ask $gate "/ask/answer=other-$kind/x" "s$n") $(event_ids "$RUN/body")$(foreign_lines "$RUN/body")" "200 1 2 3 4 5 6 7 8 9 10 0"
	is "$kind: a stream that is resumed goes on at a third one" \
		"$(ask $gate "/ask/break/then=other-$kind/x" "t$n") $(event_ids "$RUN/body")$(foreign_lines "$RUN/body")" "200 1 2 3 4 5 6 7 8 9 10 0"
done
exit $FAILED
