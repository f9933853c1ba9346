#!/usr/bin/env bash
# The whole path through platform/, with real processes: three gateways before a stand-in of the users' platform.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
ids() { grep -c '^id:' "$RUN/body"; }
FAILED=0
for n in 1 2 3; do settings $n >"$RUN/gate$n.json"; done
"$B/bayhoist-gate" --config "$RUN/gate1.json" --check >/dev/null
is "settings are checked" $? 0
sed 's/"hall":"h1"/"hall":7/' "$RUN/gate1.json" >"$RUN/bad.json"
"$B/bayhoist-gate" --config "$RUN/bad.json" --check 2>"$RUN/error"
is "wrong settings are refused" $? 78
is "the error names the field" "$(grep -c '"hall"' "$RUN/error")" 1
for n in 1 2 3; do start_gate $n; done
sleep 0.5
is "without a configuration nothing is run" "$(ask 1 /ask/x n0)" 503
config 1 key1 >"$RUN/config"
tell config -d "@$RUN/config"
for n in 1 2 3; do wait_for 10 ready $n 200 || is "gateway $n gets ready" no yes; done

is "a stream is served" "$(ask 1 /ask/x s1)" 200
is "with all its events" "$(ids)" 10
is "run once" "$(tell 'runs?id=s1')" 1
fingerprint() { grep -h "event=take request=$1 " "$RUN"/gate?.log | grep -o 'fingerprint=[0-9a-f]*'; }
ask 2 /ask/x s6 >/dev/null
ask 2 /ask/y s7 >/dev/null
sleep 0.2
is "the same request under another id has the same fingerprint on another gateway" "$(fingerprint s6)" "$(fingerprint s1)"
is "and another path another one" "$([ "$(fingerprint s7)" != "$(fingerprint s1)" ] && echo yes)" yes
ask 2 /ask/x s2 -H 'X-Tenant: forged' -H 'Helpers: 1.2.3.4:5' >/dev/null
tell headers >"$RUN/headers"
is "the account is told" "$(grep -c '^X-Tenant: acct' "$RUN/headers")" 1
is "what callers have no right to set is dropped" "$(grep -c 'forged\|1.2.3.4\|key1' "$RUN/headers")" 0
is "an unknown key" "$(CALLER_KEY=other ask 1 /ask/x s3)" 401
is "an unknown path" "$(ask 1 /none/x s4)" 404
is "a plain call" "$(call 3 /once/x p1 -d x)" 200
is "chunked bodies" "$(call 3 /once/x p2 -H 'Transfer-Encoding: chunked' -d x)" 200
is "a body over the limit" "$(head -c 200000 /dev/zero | call 1 /once/x p3 --data-binary @-)" 413

is "a broken stream goes on elsewhere" "$(ask 1 /ask/break/x b1)" 200
is "without a gap or a repeat" "$(grep '^id:' "$RUN/body" | tr -d 'id: ' | tr '\n' ' ')" "1 2 3 4 5 6 7 8 9 10 "
is "a broken call that must not be repeated" "$(call 1 /once/break/x b2 -d x)" 502
is "runs once" "$(tell 'runs?id=b2')" 1
is "a failed call that may be repeated" "$(call 1 /free/fail/x b3)" 200
is "runs twice" "$(tell 'runs?id=b3')" 2
is "a call refused by its only endpoint" "$(call 1 /once/full/x b4 -d x -D "$RUN/head")" 503
is "is told when to come back" "$(grep -ci '^retry-after: 0\.' "$RUN/head")" 1
is "a refused stream goes elsewhere" "$(ask 1 /ask/full/x b5)" 200

smuggled=$(printf 'POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' |
	timeout 3 bash -c "exec 3<>/dev/tcp/127.0.0.11/$((BASE + 20)); cat >&3; head -1 <&3" | tr -d '\r')
is "two lengths" "$smuggled" "HTTP/1.1 400 Bad Request"
is "the directory names the gateways" "$(curl -s "http://$(node 2 2)/resolve?name=a.example&zone=h1" | grep -o '127.0.0.1[123]:' | wc -l)" 3
is "metrics are served" "$(curl -s "http://$(node 1 3)/metrics" | grep -c '^bayhoist_requests_total')" 1

config 2 key2 >"$RUN/config"
tell config -d "@$RUN/config"
sleep 1
is "a revoked key stops working" "$(ask 3 /ask/x r1)" 401
CALLER_KEY=key2
is "the new one works" "$(ask 3 /ask/x r2)" 200

before=$(tell watches)
for version in 3 4 5 6; do
	config $version key$version >"$RUN/config"
	tell config -d "@$RUN/config"
	sleep 0.3
done
sleep 1.7
CALLER_KEY=key6
is "changes in quick succession are in force on all" "$(ask 1 /ask/x c1)$(ask 2 /ask/x c2)$(ask 3 /ask/x c3)" 200200200
is "and watched by one gateway" "$(($(tell watches) - before > 6))" 0

tell down
sleep 5.5
tell up
sleep 0.9
config 7 key7 >"$RUN/config"
tell config -d "@$RUN/config"
sleep 1.9
CALLER_KEY=key7
is "a change soon after the store is back is in force on all" "$(ask 1 /ask/x w1)$(ask 2 /ask/x w2)$(ask 3 /ask/x w3)" 200200200

tell 'drain?id=i-e1'
sleep 2
before=$(tell 'arrivals?id=i-e1')
for i in 1 2 3 4 5 6; do ask $((i % 3 + 1)) /ask/x d$i >/dev/null; done
is "a leaving endpoint gets nothing new" "$(tell 'arrivals?id=i-e1')" "$before"

signal gate2 KILL
is "after a gateway was killed the others serve" "$(ask 1 /ask/x k1)$(ask 3 /ask/x k2)" 200200
early() { until (exec 3<>"/dev/tcp/127.0.0.12/$((BASE + 20))") 2>/dev/null; do :; done; ask 2 /ask/x e1 >"$RUN/early"; }
signal site STOP
start_gate 2
early &
caller=$!
sleep 0.1
signal site CONT
wait $caller
is "a request that comes as a gateway starts waits for the configuration" "$(cat "$RUN/early")" 200
tell down
sleep 0.3
is "with the store down keys are believed for a while" "$(ask 1 /ask/x o1)" 200
sleep 4
is "but not for long" "$(ask 1 /ask/x o2 -D "$RUN/head")" 503
is "and callers are sent elsewhere" "$(ready 1 503 && echo yes)" yes
tell up
wait_for 5 ready 1 200
is "when it is back they are served" "$(ask 1 /ask/x o3)" 200

sleep 1.5
for n in 1 2 3; do signal gate$n KILL; done
sleep 0.2
for n in 1 2 3; do start_gate $n; done
for n in 1 2 3; do wait_for 5 ready $n 200; done
is "after all gateways were killed they serve" "$(ask 1 /ask/x a1)$(ask 2 /ask/x a2)$(ask 3 /ask/x a3)" 200200200
is "and all begin with the scheduler of before" "$(grep -h 'event=duty what=presumed' "$RUN"/gate[123].log |
	sed 's/.*duty=//' | sort | uniq -c | wc -l)" 1

tell down
for n in 1 2 3; do signal gate$n KILL; done
sleep 0.2
for n in 1 2 3; do start_gate $n; done
sleep 1.2
is "gateways that start in an outage refuse" "$(ask 1 /ask/x u1 -D "$RUN/head")" 503
is "and do not call callers back at once" "$(grep -ci '^retry-after: [1-3]' "$RUN/head")" 1
tell up
sleep 0.5
is "half a second after it all serve" "$(ask 1 /ask/x u2)$(ask 2 /ask/x u3)$(ask 3 /ask/x u4)" 200200200

"$B/bayhoist-gate" --config "$RUN/gate1.json" >"$RUN/second"
is "a second gateway on the same addresses ends" $? 69
is "and says why" "$(grep -c 'event=start-failed .*in use' "$RUN/second")" 1

ask 1 /ask/hold/x t1 >"$RUN/stopped" &
caller=$!
sleep 0.5
signal gate1 TERM
wait_for 3 ready 1 503
wait $caller
is "a stop cuts off no request" "$(cat "$RUN/stopped")" 200
gone() { ! kill -0 "$(pid_of gate1)" 2>/dev/null; }
wait_for 9 gone
is "and ends in time" "$?" 0
is "no request was lost from the logs" "$(grep -c 'event=end request=s1 ' "$RUN/gate1.log")" 1
exit $FAILED
