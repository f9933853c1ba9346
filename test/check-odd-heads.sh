#!/usr/bin/env bash
# Heads that are none by RFC 9110 and 9112, of endpoints and of callers: a status that is no status, a blank or a control byte in a
# field's name, a folded line. Guards against such a head as an answer or a request: what a lenient parser takes for a field of its own
# may have been the framing, the id or the proof to another reader.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
WHOLE="1 2 3 4 5 6 7 8 9 10 "
KINDS=$(grep -o '{"head-[a-z0-9-]*"' test/platform/fake_answers.c | tr -d '{"')
for n in $(seq 4 10); do MORE_LINKS="${MORE_LINKS:-} --link e$n=$(address $((130 + n))),$(address $((100 + n)))"; done
for n in 3 4 5 6; do MORE_LINKS="$MORE_LINKS --link p$n=$(address $((150 + n))),$(address $((120 + n)))"; done
engines=
for n in $(seq 4 10); do engines="$engines --engine i-e$n=$(address $((100 + n))),$(address $((130 + n)))"; done
plain=
for n in 3 4 5 6; do plain="$plain --plain i-p$n=$(address $((120 + n))),$(address $((150 + n)))"; done
start_site_behind_proxy $engines $plain
ENDPOINT_LINKS="e1 e2 e3 e4 e5 e6 e7 e8 e9 e10 p1 p2 p3 p4 p5 p6"
MORE_SETTINGS='"repeat_extra":1000,' # which all these retries fit in
ASK_ATTEMPTS=3
start_three_gates
failure() { grep -c '"error"' "$RUN/body"; } # how many lines of the body are a failure of the gateway's own
is "there are kinds: $(wc -w <<<"$KINDS")" "$(($(wc -w <<<"$KINDS") > 20))" 1
answers() { # LABEL GATEWAYS
	local kind id n=0 gate gates=($2)
	for kind in $KINDS; do
		n=$((n + 1))
		gate=${gates[$((n % ${#gates[@]}))]}
		id=$1-$kind
		is "$id: a lookup comes whole from another endpoint" "$(call $gate "/free/answer=$kind/x" "f-$id" -D "$RUN/head") $(wc -l <"$RUN/body") $(grep -ciE '^ *x.?bad|^x-a:| folded' "$RUN/head")" "200 3 0"
		is "$id: what may run only once fails, and ran once" "$(call $gate "/once/answer=$kind/x" "o-$id" -d x) $(failure) $(tell "runs?id=o-$id")" "502 1 1"
		is "$id: a stream comes whole from another engine" "$(ask $gate "/ask/answer=$kind/x" "a-$id") $(event_ids "$RUN/body")$(foreign_lines "$RUN/body")" "200 ${WHOLE}0"
		is "$id: one that is resumed goes on at a third one" "$(ask $gate "/ask/break/resumed=$kind/x" "r-$id") $(event_ids "$RUN/body")$(foreign_lines "$RUN/body")" "200 ${WHOLE}0"
	done
	is "$1: a head with all that names and values may hold is handed on" "$(call ${gates[0]} /once/answer=sound/x "s-$1" -D "$RUN/head") $(cat "$RUN/body") $(grep -c '^X-Odd' "$RUN/head")" "200 whole 1"
	is "$1: an answer with trailers is" "$(call ${gates[0]} /once/answer=trailer/x "t-$1") $(cat "$RUN/body")" "200 whole"
}
answers direct "1 2 3"

# Callers' heads: nothing is sent to an endpoint. Each request has an id, by which its runs are counted.
raw() { # ID TEXT: sends a request to gateway 1 as it stands, in printf's format, and prints the status of the answer
	exec 3<>"/dev/tcp/127.0.0.11/$((BASE + 20))"
	printf "$2" >&3
	timeout 2 head -n 1 <&3 | cut -d' ' -f2
	exec 3>&-
}
fields() { # ID: the fields of a sound request
	printf 'Host: a.example\\r\\nX-Attempt-Id: %s\\r\\nX-Api-Key: %s\\r\\nX-Time-Budget-Ms: 2000\\r\\n' "$1" "$CALLER_KEY"
}
n=0
refused() { # WHAT REQUEST_LINE LINES BODY: a request with further lines, which are at its end and, where that says more, at its beginning
	n=$((n + 1))
	is "a caller's head, $1: is refused, and sent nowhere" "$(raw c$n "$2\\r\\n$(fields c$n)$3\\r\\n$4") $(tell "runs?id=c$n")" "400 0"
}
served() {
	n=$((n + 1))
	is "a caller's head, $1: is taken" "$(raw c$n "$2\\r\\n$(fields c$n)$3\\r\\n$4") $(tell "runs?id=c$n")" "200 1"
}
GET='GET /once/x HTTP/1.1'
POST='POST /once/x HTTP/1.1'
served "sound" "$GET" 'X-A: b\r\n' ''
served "with a body" "$POST" 'Content-Length: 5\r\n' 'bytes'
served "in chunks, with trailers" "$POST" 'Transfer-Encoding: chunked\r\n' '5\r\nbytes\r\n0\r\nX-A: b\r\n\r\n'
served "with empty lines before it" "\r\n\r\n$GET" '' ''
served "with all that names and values may hold" "$GET" "X-Odd!#\$%%&'*+-.^_\`|~: \t\"(x): \351 \t\r\nX-Empty:\r\n" ''
refused "a blank in a name" "$GET" 'X Bad: v\r\n' ''
refused "a blank behind a name" "$GET" 'X-Bad : v\r\n' ''
refused "a blank before the first name" "$GET\r\n X-Bad: v" '' ''
refused "a tab in a name" "$GET" 'X\tBad: v\r\n' ''
refused "a control byte in a name" "$GET" 'X\001Bad: v\r\n' ''
refused "a NUL in a name" "$GET" 'X\000Bad: v\r\n' ''
refused "a byte over 127 in a name" "$GET" 'X\351: v\r\n' ''
refused "a parenthesis in a name" "$GET" 'X(Bad): v\r\n' ''
refused "no name" "$GET" ': v\r\n' ''
refused "no colon" "$GET" 'X-Bad\r\n' ''
refused "a control byte in a value" "$GET" 'X-Bad: a\001b\r\n' ''
refused "a NUL in a value" "$GET" 'X-Bad: a\000b\r\n' ''
refused "a carriage return in a value" "$GET" 'X-Bad: a\rb\r\n' ''
refused "a folded line" "$GET" 'X-A: b\r\n folded\r\n' ''
refused "a blank behind Content-Length" "$POST" 'Content-Length : 5\r\n' 'bytes'
refused "a blank in Transfer-Encoding" "$POST" 'Transfer Encoding: chunked\r\nContent-Length: 5\r\n' 'bytes'
refused "a blank behind Transfer-Encoding" "$POST" 'Transfer-Encoding : chunked\r\nContent-Length: 5\r\n' 'bytes'
refused "a control byte in the request line" 'GET /once/\001x HTTP/1.1' '' ''
refused "a tab in the request line" 'GET /once/\tx HTTP/1.1' '' ''
refused "a blank in a trailer's name" "$POST" 'Transfer-Encoding: chunked\r\n' '5\r\nbytes\r\n0\r\nX Bad: v\r\n\r\n'
refused "a folded trailer" "$POST" 'Transfer-Encoding: chunked\r\n' '5\r\nbytes\r\n0\r\nX-A: b\r\n folded\r\n\r\n'
head -c 90000 /dev/zero | tr '\0' 'u' >"$RUN/upload"
for i in 1 2 3 4 5 6 7 8; do
	is "a caller that goes on sending a body behind such a head reads the refusal, $i" "$(call 1 /once/x "long$i" -H 'X Bad: v' -H 'Expect:' --data-binary "@$RUN/upload") $?" "400 0"
done
second() { # LINE: of two requests on one connection, the second with this line: the statuses, and whether its answer names the first
	n=$((n + 1))
	exec 3<>"/dev/tcp/127.0.0.11/$((BASE + 20))"
	printf "$GET\r\n$(fields "d$n")\r\n$GET\r\n$(fields "e$n")$1\r\n" >&3
	timeout 2 cat <&3 >"$RUN/both"
	exec 3>&-
	echo "$(grep -a '^HTTP' "$RUN/both" | cut -d' ' -f2 | tr '\n' ' ')$(grep -aci "x-attempt-id: d$n" "$RUN/both") $(tell "runs?id=d$n") $(tell "runs?id=e$n")"
}
is "a head that is refused behind a sound request: that is answered, and named once" "$(second 'X Bad: v\r\n')" "200 400 1 1 0"

cut_endpoints reset 1 2
for i in 1 2 3 4; do for g in 1 2; do call $g /free/x "look$g$i" >/dev/null; ask $g /ask/x "learn$g$i" >/dev/null; done; done
sleep 0.5
relayed() { cat "$RUN"/gate[12].log | grep -c 'event=relay what=through'; }
before=$(relayed)
answers relay "1 2"
is "requests went through a peer: $(($(relayed) - before))" "$(($(relayed) - before > 200))" 1
exit $FAILED
