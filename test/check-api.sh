#!/usr/bin/env bash
# The callers' and operators' API of real processes: each bad request is refused with field, cause and verdict,
# good ones are answered whole, accounts are kept apart, and a node stopped by SIGTERM cuts nothing off.
set -u
. "$(dirname "$0")/cluster.sh"
begin_run
failed=0
A="http://$(caller_address 1)"
K="Authorization: Bearer ${CALLER_KEY_PREFIX}1"
K2="Authorization: Bearer ${CALLER_KEY_PREFIX}2"
O="Authorization: Bearer $KEY"
expect() { # STATUS TEXT CURL_ARGUMENTS...
	local status=$1 text=$2 out
	shift 2
	out=$(curl -s -m 30 -w '\nHTTP %{http_code}' "$@")
	if ! grep -q "^HTTP $status\$" <<<"$out" || ! grep -qF -- "$text" <<<"$out"; then
		echo "expected $status and \"$text\" of: $*"
		echo "  got: $(head -c 400 <<<"$out")"
		failed=1
	fi
}
start_platform
for i in 1 2 3; do start_engine $i --kv-bytes 400000; done
start_service 1
start_node 1
start_node 2
wait_for 20 ctl 1 status && wait_for 20 ctl 2 status || exit 1
write_resources 3 1 2 400000 >"$RUN/resources.json"
ctl 1 apply "$RUN/resources.json" >/dev/null || exit 1
ready() { [ "$(ctl 1 status --json | grep -c '"ready":true')" = 4 ] && [ "$(ctl 2 status --json | grep -c '"state":"alive"')" = 2 ]; }
wait_for 30 ready || exit 1

good='{"model":"archive","prompt":"hello","max_tokens":3}'
expect 401 '"verdict":"not-run"' -d "$good" "$A/v1/completions"
expect 401 'not known' -H 'Authorization: Bearer wrong' -d "$good" "$A/v1/completions"
expect 400 'malformed JSON' -H "$K" -d '{"model":' "$A/v1/completions"
expect 400 'field \"model\": required but absent' -H "$K" -d '{}' "$A/v1/completions"
expect 404 'there is no model \"none\"' -H "$K" -d '{"model":"none","prompt":"x"}' "$A/v1/completions"
expect 404 'has no adapter \"none\"' -H "$K" -d '{"model":"archive+none","prompt":"x"}' "$A/v1/completions"
expect 400 'X-Bayhoist-Deadline-Ms' -H "$K" -H 'X-Bayhoist-Deadline-Ms: soon' -d "$good" "$A/v1/completions"
expect 504 '"type":"deadline"' -H "$K" -H 'X-Bayhoist-Deadline-Ms: 1' -d '{"model":"archive","prompt":"x","max_tokens":1000}' "$A/v1/completions"
expect 400 'X-Bayhoist-Repeatable' -H "$K" -H 'X-Bayhoist-Repeatable: maybe' -d "$good" "$A/v1/completions"
expect 400 'needs the stamp' -H "$K" -H 'Idempotency-Key: k1' -d "$good" "$A/v1/completions"
expect 409 'may-have-run' -H "$K" -H 'Idempotency-Key: k1' -H 'X-Bayhoist-Stamp: 1-2-3' -d "$good" "$A/v1/completions"
expect 404 'there is no such path' -H "$K" -d "$good" "$A/v1/nothing"
expect 404 'there is no such service' -H "$K" -d x "$A/v1/services/none/x"
expect 405 'use POST' -H "$K" "$A/v1/completions"
head -c 20000000 /dev/zero | tr '\0' 'x' >"$RUN/huge"
code=$(curl -s -m 30 -o /dev/null -w '%{http_code}' -H "$K" -H 'Expect:' --data-binary "@$RUN/huge" "$A/v1/completions")
[ "$code" = 413 ] || { echo "a body over the limit got $code"; failed=1; }
code=$(curl -s -m 30 -o /dev/null -w '%{http_code}' -H "$K" -H "X-Long: $(head -c 30000 "$RUN/huge")" -d "$good" "$A/v1/completions")
[ "$code" = 400 ] || [ "$code" = 000 ] || { echo "headers over the limit got $code"; failed=1; }

hash=$(curl -s -m 30 -H "$K" -d "$good" "$A/v1/completions")
grep -q '"completion_tokens":3' <<<"$hash" || { echo "no whole answer: $hash"; failed=1; }
expect 200 'data: [DONE]' -H "$K" -d '{"model":"archive","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":3}' "$A/v1/chat/completions"
expect 200 '"path":"/offer/7?x=1"' -H "$K" -d body "$A/v1/services/notices/offer/7?x=1"

# at most once: a retry by way of another node, another account's use of the key, another body
stamp=$(curl -s -H "$K" "$A/v1/where" | sed 's/.*"stamp":"\([^"]*\)".*/\1/')
once=(-H 'Idempotency-Key: offer-1' -H "X-Bayhoist-Stamp: $stamp")
expect 200 '"completion_tokens":3' -H "$K" "${once[@]}" -d "$good" "$A/v1/completions"
expect 200 '"completion_tokens":3' -H "$K" "${once[@]}" -d "$good" "http://$(caller_address 2)/v1/completions"
expect 400 'used for another request' -H "$K" "${once[@]}" -d '{"model":"archive","prompt":"other"}' "$A/v1/completions"
expect 200 '"completion_tokens":2' -H "$K2" "${once[@]}" -d '{"model":"archive","prompt":"theirs","max_tokens":2}' "$A/v1/completions"
runs=$(cat "$RUN"/engine*.log | grep -c 'event=engine-run')
expect 200 '"completion_tokens":3' -H "$K" "${once[@]}" -d "$good" "$A/v1/completions"
[ "$(cat "$RUN"/engine*.log | grep -c 'event=engine-run')" = "$runs" ] || { echo "a replay ran again"; failed=1; }

# a caller that hangs up while its request waits is noticed, and the engine's memory is freed; the callers have time for
# engines as slow as these, or a node that knows how slow they are by now refuses them
fault "$(engine_address 1)" '{"slow":0.001}'
fault "$(engine_address 2)" '{"slow":0.001}'
fault "$(engine_address 3)" '{"slow":0.001}'
for i in 1 2 3; do
	curl -s -m 30 -H "$K" -H 'X-Bayhoist-Deadline-Ms: 3600000' -d "{\"model\":\"archive\",\"prompt\":\"gone $i $(head -c 40000 "$RUN/huge")\"}" "$A/v1/completions" >/dev/null &
	hung="${hung:-} $!"
done
live() { curl -s "$A/metrics" | grep -q "^bayhoist_live $1\$"; }
wait_for 20 live 3 || { echo "requests did not wait"; failed=1; }
kill $hung
wait_for 20 live 0 || { echo "a caller that hung up was not noticed"; failed=1; }
for i in 1 2 3; do
	freed() { curl -s "http://$(engine_address $i)/v1/load" | grep -q '"kv_used_bytes":0,'; }
	wait_for 20 freed || { echo "engine$i still holds memory for a caller that is gone"; failed=1; }
	fault "$(engine_address $i)" '{"slow":1}'
done

# operators
expect 403 "operator's key" -H "$K" "$A/admin/v1/status"
expect 400 'X-Bayhoist-Change-Id' -H "$O" -d '{}' "$A/admin/v1/apply"
expect 400 'unknown kind' -H "$O" -H 'X-Bayhoist-Change-Id: c1' -d '{"resources":[{"kind":"x","name":"y","spec":{}}]}' "$A/admin/v1/apply"
expect 409 'last changed by operator' -H "$O" -H 'X-Bayhoist-Change-Id: c2' -d '{"resources":[{"kind":"model","name":"archive","if_generation":9,"spec":{}}]}' "$A/admin/v1/apply"
expect 200 '"generation":1' -H "$O" "$A/admin/v1/resources/model/archive"
expect 404 'no such kind' -H "$O" "$A/admin/v1/resources/none"
expect 200 'bayhoist_requests_total' "$A/metrics"
expect 200 'bayhoist_first_token_ms_bucket{size="4k",le="+Inf"}' "$A/metrics"
ctl 1 drain engine3 >/dev/null || { echo "drain failed"; failed=1; }
ctl 1 watch --count 1 | grep -q 'revision=2' || { echo "watch shows nothing"; failed=1; }
ctl 1 timeline | grep -q 'config what=installed' || { echo "timeline shows nothing"; failed=1; }

# a new version and an adapter, from the rate-limited weight store, one endpoint after another
write_resources 3 1 2 400000 | grep -E '"engine[12]"' | sed 's/"version":"v1"/"version":"v2","adapters":["welsh"]/; s/,$//' | paste -sd, | sed 's/.*/{"resources":[&]}/' >"$RUN/v2.json"
ctl 1 apply "$RUN/v2.json" >/dev/null || { echo "the version was not applied"; failed=1; }
holds_v2() { for i in 1 2; do curl -s "http://$(engine_address $i)/v1/load" | grep -q '"loaded":\["v2","welsh"\]' || return 1; done; }
wait_for 60 holds_v2 || { echo "the engines do not hold v2 and its adapter"; failed=1; }
adapter_ready() { curl -s -m 5 -H "$K" -d '{"model":"archive+welsh","prompt":"shwmae","max_tokens":3}' "$A/v1/completions" | grep -q '"completion_tokens":3'; }
wait_for 20 adapter_ready || { echo "no answer with an adapter"; failed=1; }

# a data hall drains: its engine gets nothing new, another serves; then it is used again
runs() { grep -c event=engine-run "$RUN/engine1.log"; }
hall=$(hall_of 1)
ctl 1 drain --hall "$hall" >/dev/null || { echo "the hall does not drain"; failed=1; }
leaves() { ctl 1 status | awk '$1 == "engine1" { print $6 }' | grep -q "$1"; }
wait_for 5 leaves true || { echo "status does not show the engine of a hall that drains"; failed=1; }
sleep 2
before=$(runs)
for i in 1 2 3 4; do
	expect 200 '"completion_tokens":3' -H "$K" -d '{"model":"archive","prompt":"shwmae","max_tokens":3}' "http://$(caller_address $((i % 2 + 1)))/v1/completions"
done
[ "$(runs)" = "$before" ] || { echo "a hall that drains got $(($(runs) - before)) requests"; failed=1; }
ctl 1 drain --hall "$hall" off >/dev/null || { echo "the hall is not taken back"; failed=1; }
wait_for 5 leaves false || { echo "status does not show the engine in use again"; failed=1; }

# a stranger cannot speak to nodes: what it sends is refused and nothing stops
printf 'GET / HTTP/1.0\r\n\r\n0123456789012345678901234567890123456789' | timeout 2 bash -c "cat >/dev/tcp/127.0.0.1/$((BASE + 201))" || true
wait_for 5 grep -q 'peer-frame-refused' "$RUN/node1.log" || { echo "a stranger's frame was not refused"; failed=1; }

# the engines' speed is known again: until then a long answer is refused as too late
long='{"model":"archive","prompt":"long","stream":true,"max_tokens":400}'
recovered() { curl -s -m 30 -H "$K" -d "$long" "http://$(caller_address 2)/v1/completions" | grep -q DONE; }
wait_for 30 recovered || { echo "the engines did not recover"; failed=1; }

# a stream that runs while its node is stopped by SIGTERM ends whole, and the node exits 0
curl -sN -m 60 -H "$K" -d "$long" "http://$(caller_address 2)/v1/completions" >"$RUN/stream" &
stream=$!
wait_for 20 grep -q 'data: {' "$RUN/stream"
signal node2 TERM
wait $stream
grep -q '\[DONE\]' "$RUN/stream" && [ "$(grep -c 'data: {' "$RUN/stream")" = 400 ] || { echo "a planned stop cut a stream off"; failed=1; }
wait "$(pid_of node2)"
[ $? = 0 ] || { echo "the stopped node did not exit 0"; failed=1; }
expect 200 '"completion_tokens":3' -H "$K" -d "$good" "$A/v1/completions"
[ $failed = 0 ] && echo "check-api: passed"
exit $failed
