#!/usr/bin/env bash
# A randomized soak of the gateways: three real processes before the stand-in of the users' platform are killed,
# stopped, paused, resumed, restarted and reloaded, the platform's store goes away, and connections to the store and the
# endpoints are delayed, reset, silenced or cut one way by a proxy, in series that overlap, while callers keep calling. Judged from what callers and endpoints see:
#   - a call that must not be repeated runs at most once, and not at all where it is refused with a time to come back;
#   - a stream answered 200 has each of its events once and in order;
#   - with CULPRITS=1, a request that crashes what runs it is sent all the time; in the end all gateways refuse it;
#   - with HISTORY=1, the store has outages of half a second to six seconds besides, in which entries lapse, and comes back from
#     copies, while an endpoint leaves and returns; one that has left gets nothing in the end;
#   - with CUTS=1, one to three gateways at a time lose their own links to all endpoints or to those of one service, for a
#     part of a second up to four, some of them by turns;
#   - afterwards every gateway serves within ten seconds, and none has ended by itself.
# usage: soak-gate.sh FIRST_SEED [SEEDS [SECONDS]]; SAVE=PREFIX keeps the logs of a seed that fails.
set -u
. test/cluster.sh
first=${1:-1} seeds=${2:-1} seconds=${3:-8}
CALLERS=6
violation() { echo "violation seed=$seed $*"; violations=$((violations + 1)); }

caller() { # N: calls until $RUN/over is there; one line a call: kind id status events refused
	local kind path fault id status events n=0
	RANDOM=$((seed * 100 + $1))
	while [ ! -e "$RUN/over" ]; do
		n=$((n + 1))
		id=c$1-$n
		kind=$(pick once free ask ask)
		fault=$(pick "" "" "" break/ fail/ full/)
		path="/$kind/$fault$id"
		status=$(curl -s -m 12 -o "$RUN/body.$1" -D "$RUN/head.$1" -w '%{http_code}' "http://$(node $((RANDOM % 3 + 1)) 0)$path" \
			-H 'Host: a.example' -H "X-Attempt-Id: $id" -H 'X-Time-Budget-Ms: 5000' -H 'X-Api-Key: key1' \
			-H 'X-Token-Usage: 3000,100' -d 'a prompt')
		events=$(grep '^id:' "$RUN/body.$1" 2>/dev/null | tr -d 'id: \r' | tr '\n' ,)
		echo "$kind $id $status ${events:-none} $(grep -ci '^x-not-executed' "$RUN/head.$1" 2>/dev/null)" >>"$RUN/calls.$1"
		rm -f "$RUN/body.$1" "$RUN/head.$1"
		sleep 0.0$((RANDOM % 9 + 1))
	done
}
culprit() { # the same request under new ids, at any gateway, until $RUN/over is there
	local n=0
	RANDOM=$((seed * 100 + 99))
	while [ ! -e "$RUN/over" ]; do
		n=$((n + 1))
		curl -s -m 12 -o /dev/null -w '%{http_code}\n' "http://$(node $((RANDOM % 3 + 1)) 0)/ask/crash/x" -H 'Host: a.example' \
			-H "X-Attempt-Id: q$n" -H 'X-Time-Budget-Ms: 5000' -H 'X-Api-Key: key1' -H 'X-Token-Usage: 3000,100' -d crash >>"$RUN/culprit"
		sleep 0.$((RANDOM % 3 + 1))
	done
}
history() { # outages, copies, and an endpoint that leaves and returns, until $RUN/over is there
	local copied=
	RANDOM=$((seed * 100 + 98))
	while [ ! -e "$RUN/over" ]; do
		case $(pick outage outage copy back leave return) in
		outage)
			tell down
			sleep $((RANDOM % 6)).5
			[ $((RANDOM % 2)) = 0 ] && tell lapse
			tell up
			;;
		copy)
			tell copy
			copied=1
			;;
		back)
			[ -n "$copied" ] || continue
			tell down
			sleep 0.3
			tell go-back
			tell up
			copied=
			;;
		leave) tell 'gone?id=i-p1' ;;
		return) tell 'back?id=i-p1' ;;
		esac
		sleep 0.$((RANDOM % 9 + 1))
	done
}
cuts() { # gateways lose their own links to endpoints, until $RUN/over is there
	local face cut times
	RANDOM=$((seed * 100 + 97))
	while [ ! -e "$RUN/over" ]; do
		face=$(pick reset refuse dark)
		cut=$(pick 1 2 3 "1 2" "2 3" "1 3" "1 2 3")
		ENDPOINT_LINKS=$(pick "e1 e2 e3 p1 p2" "e1 e2 e3 p1 p2" "e1 e2 e3" "p1 p2" "e1 p1")
		times=$(pick 1 1 1 4)
		echo "cut $face gates $cut links $ENDPOINT_LINKS times $times" >>"$RUN/faults"
		while [ $times -gt 0 ]; do
			cut_endpoints $face $cut
			sleep $((RANDOM % 4 / times)).$((RANDOM % 9 + 1))
			cut_endpoints pass $cut
			times=$((times - 1))
			sleep 0.$((RANDOM % 9 + 1))
		done
	done
}
pick() { shift $((RANDOM % $#)); echo "$1"; }
is_alive() { kill -0 "$(pid_of "gate$1")" 2>/dev/null; }
renew() { # N: kills what is left of a gateway and starts it again
	local tries=100
	signal "gate$1" KILL
	# its ports are taken until it is gone, which takes a moment on a busy machine
	while is_alive "$1" && [ $((tries -= 1)) -gt 0 ]; do sleep 0.02; done
	start_gate "$1"
}
one_fault() { # with what ends it later on, in the background, so that faults overlap
	local n=$((RANDOM % 3 + 1)) later=0.$((RANDOM % 9 + 1))
	local kind=$(pick kill stop pause reload store config link link link)
	echo "$kind gate$n $later" >>"$RUN/faults"
	case $kind in
	kill) renew $n ;;
	stop)
		signal gate$n TERM
		sleep $later
		renew $n
		;;
	pause)
		signal gate$n STOP
		(sleep 1$later; signal gate$n CONT) &
		;;
	reload) signal gate$n HUP ;;
	link)
		link=$(pick $LINKS) mode=$(pick delay silent in out reset)
		echo "link $link $mode 1$later" >>"$RUN/faults"
		set_link $link $mode $((RANDOM % 400 + 20))
		(sleep 1$later; set_link $link pass) &
		;;
	store)
		tell down
		(sleep 1$later; tell up) &
		;;
	config)
		version=$((version + 1))
		config $version key1 >"$RUN/config"
		tell config -d "@$RUN/config" >/dev/null
		;;
	esac
}
judge() {
	local kind id status events refused runs n
	while read -r kind id status events refused; do
		if [ "$kind" = once ]; then
			runs=$(tell "runs?id=$id")
			runs=$((${runs:-0} & 65535)) # above that the stand-in counts what it refused
			[ $runs -le 1 ] || violation "id=$id ran $runs times"
			[ "$refused" = 0 ] || [ $runs = 0 ] || violation "id=$id refused as not run, and ran"
		elif [ "$kind" = ask ] && [ "$status" = 200 ]; then
			# a caller whose gateway was killed has a part of the answer, from the beginning
			[[ 1,2,3,4,5,6,7,8,9,10, = "$events"* || $events = none ]] || violation "id=$id events=$events"
		fi
	done < <(cat "$RUN"/calls.*)
	for n in 1 2 3; do
		is_alive $n || violation "gate$n has ended"
		for i in 1 2 3; do
			[ "$(ask $n /ask/x end$n$i)" = 200 ] || violation "gate$n does not serve in the end"
		done
	done
}
judge_history() { # the end of it: an endpoint leaves in peace, and gets nothing more
	local before n
	tell up
	tell 'back?id=i-p1'
	sleep 1
	tell 'gone?id=i-p1'
	sleep 3
	before=$(tell 'arrivals?id=i-p1')
	for n in 1 2 3 1 2 3; do
		[ "$(call $n /free/x left$n$RANDOM)" = 200 ] || violation "gate$n does not serve a lookup in the end"
	done
	[ "$(tell 'arrivals?id=i-p1')" = "$before" ] || violation "an endpoint that left gets requests"
}
judge_culprit() { # what was seen of it amid the faults may be less than three crashes: it is sent some times more
	local n before
	for n in 1 2 3 1 2; do
		call $n /ask/crash/x late$n -H 'X-Token-Usage: 3000,100' -d crash >/dev/null
		sleep 2.5 # until an endpoint that is back has said so: behind a proxy nothing else proves its crash
	done
	before=$(tell crashes)
	for n in 1 2 3; do
		[ "$(call $n /ask/crash/x end$n -H 'X-Token-Usage: 3000,100' -d crash)" = 503 ] || violation "gate$n sends what crashes endpoints"
	done
	[ "$(tell crashes)" = "$before" ] || violation "endpoints still crash"
}
one_seed() {
	local until n
	RANDOM=$seed
	version=1
	start_site_behind_proxy
	for n in 1 2 3; do settings $n >"$RUN/gate$n.json"; start_gate $n; done
	config 1 key1 >"$RUN/config"
	wait_for 5 tell config -d "@$RUN/config"
	for n in 1 2 3; do wait_for 10 ready $n 200; done
	callers=
	for n in $(seq $CALLERS); do
		caller "$n" &
		callers="$callers $!"
	done
	if [ -n "${CULPRITS:-}" ]; then
		culprit &
		callers="$callers $!"
	fi
	if [ -n "${HISTORY:-}" ]; then
		history &
		callers="$callers $!"
	fi
	if [ -n "${CUTS:-}" ]; then
		cuts &
		callers="$callers $!"
	fi
	until=$((SECONDS + seconds))
	while [ $SECONDS -lt $until ]; do
		one_fault
		sleep 0.$((RANDOM % 8 + 2))
	done
	sleep 2 # for what is under way to end
	tell up
	for link in $LINKS; do set_link $link pass; done
	for n in 1 2 3; do signal gate$n CONT; done
	touch "$RUN/over"
	wait $callers
	for link in $LINKS; do set_link $link pass; done
	for n in 1 2 3; do wait_for 10 ready $n 200 || violation "gate$n is not ready"; done
	judge
	[ -z "${CULPRITS:-}" ] || judge_culprit
	[ -z "${HISTORY:-}" ] || judge_history
}
violations=0
for seed in $(seq "$first" $((first + seeds - 1))); do
	before=$violations
	begin_run
	. test/gate.sh
	one_seed
	CRASHED=$(tell crashes)
	stop_all
	echo "seed=$seed crashes=$CRASHED calls=$(cat "$RUN"/calls.* | wc -l) served=$(cat "$RUN"/calls.* | grep -c ' 200 ') faults=$(wc -l <"$RUN/faults") violations=$((violations - before))"
	[ $violations = $before ] || [ -z "${SAVE:-}" ] || cp -r "$RUN" "$SAVE.$seed"
	rm -rf "$RUN"
done
echo "soak-gate seeds=$seeds violations=$violations"
[ $violations = 0 ]
