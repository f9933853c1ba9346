#!/usr/bin/env bash
# `bayhoistctl explain` on planted logs: the way of a request, what was believed around it, and its outcome.
set -u
. test/cluster.sh
begin_run # for ports of its own: two runs on one machine counted each other's requests
FAILED=0
is() { # WHAT HAVE WANTED
	if [ "$2" = "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: have \"$2\", wanted \"$3\""; FAILED=1; fi
}
cat >"$RUN/a.log" <<'LOG'
time_us=1000000 process=vm1 hall=h boot=1 seq=1 level=info event=store what=lost key=x status=0
time_us=3000000 process=vm1 hall=h boot=1 seq=2 level=info event=take request=r1 route=ask age_ms=100
time_us=3000000 process=vm1 hall=h boot=1 seq=3 level=info event=queued request=r1 scheduler=vm2
time_us=3200000 process=vm1 hall=h boot=1 seq=4 level=info event=refuse request=r1 cause=overload scheduler=vm2
time_us=3200000 process=vm1 hall=h boot=1 seq=5 level=info event=end request=r1 outcome=overload state=asking
time_us=3300000 process=vm1 hall=h boot=1 seq=6 level=info event=end request=r11 outcome=served state=sending
LOG
cat >"$RUN/b.log" <<'LOG'
time_us=2900000 process=vm2 hall=h boot=2 seq=1 level=info event=member node=vm3 state=dead
time_us=5000000 process=vm2 hall=h boot=2 seq=2 level=info event=take request=r2 route=ask age_ms=100
LOG
cat >"$RUN/c.log" <<'LOG'
time_us=1000000 process=vm3 hall=h boot=1 seq=1 level=info event=signal kind=leaving what=told endpoint=i-1 born_ms=1
time_us=70000000 process=vm3 hall=h boot=1 seq=2 level=info event=signal kind=backoff what=heard endpoint=i-2 for_ms=9000 was_ms=0 request=r0
time_us=71000000 process=vm3 hall=h boot=1 seq=3 level=info event=signal kind=backoff what=heard endpoint=i-3 for_ms=500 was_ms=0 request=r0
time_us=78000000 process=vm3 hall=h boot=1 seq=4 level=info event=take request=r3 route=ask age_ms=100
time_us=78000000 process=vm3 hall=h boot=1 seq=5 level=info event=end request=r3 outcome=no-endpoint state=asking
LOG
cat >"$RUN/d.log" <<'LOG'
time_us=1000000 process=vm1 hall=h boot=1 seq=1 level=info event=sent request=r4 endpoint=i-1 end=broken status=200 sendings=1 took_ms=9 next=resume at_fault= begun=yes events=3 first_event=1 last_event=3 forwarded_bytes=60 cause=""
time_us=2000000 process=vm1 hall=h boot=1 seq=2 level=info event=sent request=r4 endpoint=i-2 end=failed status=500 sendings=2 took_ms=1 next=break-off at_fault= begun=no events=3 first_event= last_event= forwarded_bytes=0 cause=""
time_us=2000000 process=vm1 hall=h boot=1 seq=3 level=info event=end request=r4 outcome=broken-off state=sending
LOG
out=$("$B/bayhoistctl" explain r4 "$RUN/d.log")
is "each dispatch is named with its status and what it gave" "$(grep '^dispatch' <<<"$out" | tr '\n' ';')" \
	"dispatch to i-1: broken, status 200, events 1 to 3, 60 bytes to the caller;dispatch to i-2: failed, status 500, no numbered events, 0 bytes to the caller;"
out=$("$B/bayhoistctl" explain r3 "$RUN/c.log")
is "an endpoint that leaves and one that rests are named, however long ago they said so" "$(grep -o 'endpoint=i-.' <<<"$out" | tr '\n' ' ')" "endpoint=i-1 endpoint=i-2 "
out=$("$B/bayhoistctl" explain r1 "$RUN/b.log" "$RUN/a.log")
is "its own lines are shown" "$(grep -c '^\*' <<<"$out")" 4
is "and what its node believed" "$(grep -c 'event=store' <<<"$out")" 1
is "not what others did" "$(grep -c 'process=vm2' <<<"$out")" 0
is "its outcome is named" "$(grep -c '^outcome: overload' <<<"$out")" 1
is "and explained" "$(tail -1 <<<"$out")" "No engine could take it in time: it was refused and did not run."
is "a request without an end" "$("$B/bayhoistctl" explain r2 "$RUN/b.log" | grep -c 'none in these logs')" 1
"$B/bayhoistctl" explain r9 "$RUN/a.log" >/dev/null
is "an unknown request" $? 1
"$B/bayhoistctl" explain r1 "$RUN/none" 2>/dev/null
is "a missing log" $? 66
# a reader of standard output that stops reading stops nobody
mkfifo "$RUN/pipe"
sleep 30 <"$RUN/pipe" &
reader=$!
printf '{"name":"g","hall":"h","caller_address":"127.0.0.21:%s","readiness_address":"127.0.0.21:%s","directory_address":"127.0.0.21:%s","control_address":"127.0.0.21:%s","peer_address":"127.0.0.21:%s","peer_key":"k","store_address":"127.0.0.21:9"}' $((BASE + 1)) $((BASE + 2)) $((BASE + 3)) $((BASE + 4)) $((BASE + 5)) >"$RUN/g.json"
"$B/bayhoist-gate" --config "$RUN/g.json" >"$RUN/pipe" 2>&1 &
gate=$!
sleep 1
for i in $(seq 300); do
	curl -s -m 1 -o /dev/null -H 'Host: x' -H "X-Long: $(head -c 900 /dev/zero | tr '\0' x)" "http://127.0.0.21:$((BASE + 1))/$i"
done
is "a stopped reader does not stop the process" "$(curl -s -m 2 "http://127.0.0.21:$((BASE + 4))/metrics" | grep -c '^bayhoist_requests_total 300')" 1
kill $gate $reader
wait $gate $reader 2>/dev/null
exit $FAILED
