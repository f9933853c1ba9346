#!/usr/bin/env bash
# A randomized soak of the gateways: three real processes before the stand-in of the users' platform are killed,
# stopped, paused, resumed, restarted and reloaded, the platform's store goes away, and connections to the store and the
# endpoints are delayed, reset, silenced or cut one way by a proxy, in series that overlap, while callers keep calling. Judged from what callers and endpoints see:
#   - a call that must not be repeated runs at most once, and not at all where it is refused with a time to come back;
#   - a stream answered 200 has each of its events once and in order;
#   - with CULPRITS=1, a request that crashes what runs it is sent all the time; in the end all gateways refuse it;
#   - with PARTS=1, prompts with a part that crashes what begins to answer it come all the time, no two alike; in the end all
#     gateways refuse them, and serve the prompts that have their other parts;
#   - with HISTORY=1, the store has outages of half a second to six seconds besides, in which entries lapse, and comes back from
#     copies, while an endpoint leaves and returns; one that has left gets nothing in the end;
#   - with CUTS=1, one to three gateways at a time lose their own links to all endpoints or to those of one service, for a
#     part of a second up to four, some of them by turns;
#   - with PATHS=1, gateways and endpoints stand in three halls, and connections between two halls, or between one and both others,
#     can't be set up in one direction or both, for half a second to six, some of them on and off;
#   - with HANGS=1, one endpoint at a time takes requests and answers none, for half a second to six; then it goes on with them;
#   - with PAUSES=1, all engines, or some of them, fall silent at once for half a second to two and a half, and go on;
#   - an answer is not given up for its endpoint's silence unless another endpoint is to go on with it;
#   - with READERS=1, callers read long answers at a crawl or not at all and hold their connections until their gateway's process
#     has gone; what they have read is a clean beginning, and others are served within two seconds while they hang on;
#   - with ODD=1, a stream is resumed at an engine that gives something else, or comes to one that sends bytes without an end; what
#     its caller gets holds nothing but events, in order, and all of them if it ends as whole;
#   - with CONFIGS=1, operators give a key all the time and take it away with a configuration that can't be decoded, wholly or in part;
#     no request runs with a key that was taken away longer ago than keys are trusted, and in the end the last is in force;
#   - afterwards every gateway serves within ten seconds, and none has ended by itself.
# usage: soak-gate.sh FIRST_SEED [SEEDS [SECONDS]]; SAVE=PREFIX keeps the logs of a seed that fails.
set -u
. test/cluster.sh
first=${1:-1} seeds=${2:-1} seconds=${3:-8}
CALLERS=6
KEYS_TRUSTED_MS=3000 # of the settings
violation() { echo "violation seed=$seed $*"; violations=$((violations + 1)); }

caller() { # N: calls until $RUN/over is there; one line a call: kind id status events refused
	local kind path fault id status events n=0
	RANDOM=$((seed * 100 + $1))
	while [ ! -e "$RUN/over" ]; do
		n=$((n + 1))
		id=c$1-$n
		pick kind once free ask ask
		pick fault "" "" "" break/ fail/ full/
		path="/$kind/$fault$id"
		status=$(curl -s -m 12 -o "$RUN/body.$1" -D "$RUN/head.$1" -w '%{http_code}' "http://$(node $((RANDOM % 3 + 1)) 0)$path" \
			-H 'Host: a.example' -H "X-Attempt-Id: $id" -H 'X-Time-Budget-Ms: 5000' -H 'X-Api-Key: key1' \
			-H 'X-Token-Usage: 3000,100' -H "X-Prompt-Prefix: aa:40,d$((n % 4)):300,f0:9" -d 'a prompt')
		events=$(grep '^id:' "$RUN/body.$1" 2>/dev/null | tr -d 'id: \r' | tr '\n' ,)
		echo "$kind $id $status ${events:-none} $(grep -ci '^retry-after: ' "$RUN/head.$1" 2>/dev/null)" >>"$RUN/calls.$1"
		rm -f "$RUN/body.$1" "$RUN/head.$1"
		sleep 0.0$((RANDOM % 9 + 1))
	done
}
series() { # COMMAND NUMBER: one after the other, drawn by numbers of its own, until $RUN/over is there
	local sent=0 copied=
	RANDOM=$((seed * 100 + $2))
	while [ ! -e "$RUN/over" ]; do $1; done
	wait
}
culprit() { # the same request under new ids, at any gateway
	sent=$((sent + 1))
	curl -s -m 12 -o /dev/null -w '%{http_code}\n' "http://$(node $((RANDOM % 3 + 1)) 0)/ask/crash/x" -H 'Host: a.example' \
		-H "X-Attempt-Id: q$sent" -H 'X-Time-Budget-Ms: 5000' -H 'X-Api-Key: key1' -H 'X-Token-Usage: 3000,100' -d crash >>"$RUN/culprit"
	sleep 0.$((RANDOM % 3 + 1))
}
deadly() { # N ID: a prompt of its own with a part that crashes what begins to answer it
	call $1 /ask/x "$2" -H 'X-Token-Usage: 3000,100' -H 'X-Prompt-Prefix: aa:40,dead07:9,d0:300,f0:9' -d "prompt $2"
}
deadly_part() {
	sent=$((sent + 1))
	deadly $((RANDOM % 3 + 1)) "p$sent" >>"$RUN/deadly"
	sleep 0.$((RANDOM % 3 + 1))
}
odd() { # kinds of answers are fake_answers.c's
	local kind status ended events
	pick kind break/resumed=next-500 break/resumed=next-404 break/resumed=next-anew break/resumed=next-none break/resumed=next-half \
		answer=endless-name answer=endless-event answer=slow-endless-lines answer=stop-endless-headers
	sent=$((sent + 1))
	rm -f "$RUN/body.odd"
	status=$(curl -s -m 12 -o "$RUN/body.odd" -w '%{http_code}' "http://$(node $((RANDOM % 3 + 1)) 0)/ask/$kind/x" -H 'Host: a.example' \
		-H "X-Attempt-Id: odd$sent" -H 'X-Time-Budget-Ms: 5000' -H 'X-Api-Key: key1' -H 'X-Token-Usage: 3000,100' -d "odd $sent")
	ended=$?
	events=$(event_ids "$RUN/body.odd" | tr ' ' ,)
	echo "odd$sent $kind $status $ended ${events:-none} $(foreign_lines "$RUN/body.odd")" >>"$RUN/odd"
}
odd_config() { # VERSION KEYS WHAT: with something odd
	local name=$(head -c 90 /dev/zero | tr '\0' n) routes= services= accounts=
	case $3 in
	text) echo "{\"version\":$1,"; return ;;
	number) accounts='{"name":7,"api-keys":["k"]},' ;;
	long) accounts="{\"name\":\"$name\",\"api-keys\":[\"k\"]}," ;;
	kind) routes='{"name":"odd","host":"a.example","path-prefix":"/odd/","route-kind":"sideways","service":"web"},' ;;
	gone) routes='{"name":"odd","host":"a.example","path-prefix":"/odd/","route-kind":"idempotent","service":"gone"},' ;;
	service) services="{\"name\":\"$name\"}," ;;
	esac
	config "$1" "$2" | sed "s|\"routes\":\[|&$routes|;s|\"services\":\[|&$services|;s|\"tenants\":\[|&$accounts|"
}
write_config() { # KEYS [WHAT]: under a version of its own; two writers at once take turns
	local version
	{
		flock 8
		version=$(($(cat "$RUN/version" 2>/dev/null || echo 1) + 1))
		echo $version >"$RUN/version"
		odd_config $version "$1" "${2:-}" >"$RUN/config"
		tell config -d "@$RUN/config" >/dev/null
	} 8>"$RUN/version.lock"
}
configs() { # a key comes with a configuration, and goes with one that holds something odd; keys that went are tried
	local what n key since
	pick what text number long kind gone service none
	sent=$((sent + 1))
	echo "config $what" >>"$RUN/faults"
	write_config "key1\",\"given$sent"
	sleep 0.$((RANDOM % 9 + 1))
	write_config key1 $what
	echo "given$sent $(date +%s%3N)" >>"$RUN/taken"
	sleep $((RANDOM % 4)).$((RANDOM % 9 + 1))
	while read -r key since; do
		n=$((RANDOM % 3 + 1))
		[ $(($(date +%s%3N) - since)) -gt $KEYS_TRUSTED_MS ] && echo "$key $(CALLER_KEY=$key call $n /free/x "t$key-$RANDOM")" >>"$RUN/tried"
	done < <(tail -n 3 "$RUN/taken")
}
judge_configs() {
	local n given=given$(wc -l <"$RUN/taken") # the last
	sleep $((KEYS_TRUSTED_MS / 1000)).1
	for n in 1 2 3; do
		[ "$(CALLER_KEY=last call $n /free/x last$n)" = 200 ] || violation "gate$n has not the last configuration"
		[ "$(CALLER_KEY=$given call $n /free/x given$n)" != 200 ] || violation "gate$n serves a key that was taken away"
	done
	! grep -q ' 200$' "$RUN/tried" || violation "keys that were taken away: $(grep -c ' 200$' "$RUN/tried") of $(wc -l <"$RUN/tried") were served"
	echo "configurations: $(wc -l <"$RUN/taken"), keys tried that had been taken away: $(wc -l <"$RUN/tried")"
}
history() { # outages, copies, and an endpoint that leaves and returns
	local what
	pick what outage outage copy back leave return
	case $what in
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
		[ -n "$copied" ] || return
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
}
cuts() { # gateways lose their own links to endpoints
	local face cut
	pick face reset refuse dark
	pick cut 1 2 3 "1 2" "2 3" "1 3" "1 2 3"
	pick ENDPOINT_LINKS "e1 e2 e3 p1 p2" "e1 e2 e3 p1 p2" "e1 e2 e3" "p1 p2" "e1 p1"
	echo "links $ENDPOINT_LINKS" >>"$RUN/faults"
	on_and_off 4 1 cut_endpoints $face $cut
}
on_and_off() { # SECONDS LEAST_TENTHS COMMAND MODE ARGUMENT...: a cut, or four shorter ones; its end is the mode "pass"
	local times
	pick times 1 1 1 4
	echo "${*:3} times $times" >>"$RUN/faults"
	while [ $times -gt 0 ]; do
		"${@:3}"
		sleep $((RANDOM % $1 / times)).$((RANDOM % (10 - $2) + $2))
		$3 pass "${@:5}"
		times=$((times - 1))
		sleep 0.$((RANDOM % 9 + 1))
	done
}
pick() { # NAME WORD...: sets a variable to one of the words; in this shell, since one of its own would draw without the seed
	local to=$1
	shift $((RANDOM % ($# - 1) + 1))
	printf -v "$to" %s "$1"
}
set_paths() { # MODE PATH...: connections from one hall to another, "13" being from the first to the third
	local path l
	for path in "${@:2}"; do for l in $(links_into ${path:1}); do set_link $l "$1" 0 "127.0.0.$((10 + ${path:0:1}))"; done; done
}
paths() { # halls hear nothing of each other
	local cut
	pick cut 13 21 "12 21" "13 31" "23 32" "13 23" "21 31" "13 31 23 32" "12 21 13 31" "12 21 23 32"
	on_and_off 6 5 set_paths dark $cut
}
hangs() { # one endpoint answers nothing: its process, or what it says or is told waits on the way
	local link face
	pick link e1 e2 e3 p1 p2
	pick face hang hang out silent
	echo "hangs $link $face" >>"$RUN/faults"
	[ $face = hang ] && tell "hang?id=i-$link" || set_link $link $face
	sleep $((RANDOM % 6)).$((RANDOM % 5 + 5))
	[ $face = hang ] && tell "go-on?id=i-$link" || set_link $link pass
	sleep 0.$((RANDOM % 9 + 1))
}
pauses() { # sound engines fall silent in the same moment
	local links link
	pick links "e1 e2 e3" "e1 e2 e3" "e1 e2" "e2"
	echo "pauses $links" >>"$RUN/faults"
	for link in $links; do set_link $link silent; done
	sleep $((RANDOM % 2 + 1)).$((RANDOM % 10))
	for link in $links; do set_link $link pass; done
	sleep 0.$((RANDOM % 9 + 1))
}
hang_on() { # ID GATEWAY KIND BYTES_PER_S: a caller that reads a long answer so fast, until its gateway's process has gone
	curl -s -N --limit-rate "$4" -o "$RUN/read.$1" -D "$RUN/read-head.$1" "http://$(node "$2" 0)/$3/bulk/$1" -H 'Host: a.example' \
		-H "X-Attempt-Id: $1" -H 'X-Time-Budget-Ms: 9000' -H 'X-Api-Key: key1' -H 'X-Token-Usage: 3000,100' & # a body would be sent as slowly
	tail --pid="$(pid_of "gate$2")" -s 0.2 -f /dev/null
	kill %1 2>/dev/null
	wait
}
readers() { # one more
	local kind rate
	sent=$((sent + 1))
	pick kind free ask
	pick rate 1 1 50k 1M
	hang_on r$sent $((RANDOM % 3 + 1)) $kind $rate &
	sleep $((RANDOM % 2)).$((RANDOM % 9 + 1))
}
is_alive() { kill -0 "$(pid_of "gate$1")" 2>/dev/null; }
renew() { # N: kills what is left of a gateway and starts it again
	local tries=100
	signal "gate$1" KILL
	# its ports are taken until it is gone, which takes a moment on a busy machine
	while is_alive "$1" && [ $((tries -= 1)) -gt 0 ]; do sleep 0.02; done
	start_gate "$1"
}
one_fault() { # with what ends it later on, in the background, so that faults overlap
	local n=$((RANDOM % 3 + 1)) later=0.$((RANDOM % 9 + 1)) long kind link mode
	pick long 0 1 3 10
	long=$long.$((RANDOM % 9 + 1))
	pick kind kill stop pause reload store config link link link
	echo "$kind gate$n $later $long" >>"$RUN/faults"
	case $kind in
	kill) renew $n ;;
	stop)
		signal gate$n TERM
		sleep $later
		renew $n
		;;
	pause)
		signal gate$n STOP
		(sleep $long; signal gate$n CONT) &
		;;
	reload) signal gate$n HUP ;;
	link)
		pick link $LINKS
		pick mode delay silent in out reset
		echo "link $link $mode $long" >>"$RUN/faults"
		set_link $link $mode $((RANDOM % 400 + 20))
		(sleep $long; set_link $link pass) &
		;;
	store)
		tell down
		(sleep $long; tell up) &
		;;
	config)
		write_config key1
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
	n=$(cat "$RUN"/gate[123].log | grep -c "event=sent .* end=silent .* next=\(break-off\|time-out\|fail\) ")
	[ "$n" = 0 ] || violation "$n answers were given up for a silence"
	for n in 1 2 3; do
		is_alive $n || violation "gate$n has ended"
		for i in 1 2 3; do
			[ "$(ask $n /ask/x end$n$i)" = 200 ] || violation "gate$n does not serve in the end"
		done
	done
}
judge_others() { # slow readers hang on at every gateway, and others are served
	local n
	for n in 1 2 3; do
		hang_on late$n $n ask 1 & hang_on slow$n $n free 50k &
	done
	sleep 0.5
	for n in 1 2 3 1 2 3 1 2 3 1 2 3; do
		[ "$(call $n /free/x o$RANDOM -m 2) $(ask $n /ask/x o$RANDOM -m 2)" = "200 200" ] || violation "gate$n does not serve beside slow readers"
	done
}
judge_readers() { # all gateways have been killed, and so their readers have ended; BULK_EVENTS and BULK_BYTES are fake_site.c's
	local n id pad=$(head -c 131065 /dev/zero | tr '\0' x)
	for n in $(seq 80); do printf 'id: %s\ndata: piece %s\ndata: %s\n\n' $n $n $pad; done >"$RUN/bulk"
	for n in "$RUN"/read.*; do
		id=${n##*/read.}
		grep -q '^HTTP/1.1 200' "$RUN/read-head.$id" || continue
		cmp -s -n "$(stat -c %s "$n")" "$n" "$RUN/bulk" || violation "id=$id has read what is no beginning of its answer"
	done
	echo "readers=$(ls "$RUN"/read-head.* | wc -l) bytes_read=$(cat "$RUN"/read.* | wc -c)"
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
judge_odd() {
	local id kind status ended events foreign
	while read -r id kind status ended events foreign; do
		[ "$status" = 200 ] || continue
		[ "${foreign:-0}" = 0 ] || violation "id=$id kind=$kind got $foreign foreign lines"
		[[ 1,2,3,4,5,6,7,8,9,10, = "$events"* || $events = none ]] || violation "id=$id kind=$kind events=$events"
		[ "$ended" != 0 ] || [ "$events" = 1,2,3,4,5,6,7,8,9,10, ] || violation "id=$id kind=$kind ended as whole with events=$events"
	done <"$RUN/odd"
	echo "odd streams: $(wc -l <"$RUN/odd"), whole: $(grep -c ' 200 0 ' "$RUN/odd")"
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
judge_parts() { # as judge_culprit
	local n before
	for n in 1 2 3 1 2; do
		deadly $n lateprompt$n$RANDOM >/dev/null
		sleep 2.5
	done
	before=$(tell crashes)
	for n in 1 2 3; do
		[ "$(deadly $n endprompt$n)" = 503 ] || violation "gate$n sends a part that crashes engines"
		[ "$(call $n /ask/x sound$n -H 'X-Token-Usage: 3000,100' -H 'X-Prompt-Prefix: aa:40,d0:300,f0:9' -d sound)" = 200 ] ||
			violation "gate$n does not serve the other parts"
	done
	[ "$(tell crashes)" = "$before" ] || violation "engines still crash"
}
one_seed() {
	local until n
	RANDOM=$seed
	if [ -n "${PATHS:-}" ]; then
		LINKS="$LINKS n1 n2 n3"
		start_site_in_halls
	else
		start_site_behind_proxy
	fi
	for n in 1 2 3; do settings${PATHS:+_in_halls} $n >"$RUN/gate$n.json"; start_gate $n; done
	config 1 key1 >"$RUN/config"
	wait_for 5 tell config -d "@$RUN/config"
	for n in 1 2 3; do wait_for 10 ready $n 200; done
	callers=
	for n in $(seq $CALLERS); do
		caller "$n" &
		callers="$callers $!"
	done
	for n in ${CULPRITS:+culprit,99} ${PARTS:+deadly_part,93} ${HISTORY:+history,98} ${CUTS:+cuts,97} ${PATHS:+paths,96} ${HANGS:+hangs,95} ${PAUSES:+pauses,90} ${ODD:+odd,92} ${CONFIGS:+configs,91}; do
		series ${n/,/ } &
		callers="$callers $!"
	done
	[ -z "${READERS:-}" ] || series readers 94 & # its callers stay when the others have ended
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
	for link in $LINKS; do set_link $link pass; tell "go-on?id=i-$link"; done
	[ -z "${CONFIGS:-}" ] || write_config 'key1","last'
	for n in 1 2 3; do wait_for 10 ready $n 200 || violation "gate$n is not ready"; done
	judge
	[ -z "${ODD:-}" ] || judge_odd
	[ -z "${CONFIGS:-}" ] || judge_configs
	[ -z "${CULPRITS:-}" ] || judge_culprit
	[ -z "${PARTS:-}" ] || judge_parts
	[ -z "${HISTORY:-}" ] || judge_history
	[ -z "${READERS:-}" ] || judge_others
}
violations=0
for seed in $(seq "$first" $((first + seeds - 1))); do
	before=$violations
	begin_run
	MORE_LINKS=
	. test/gate.sh
	one_seed
	CRASHED=$(tell crashes)
	stop_all
	[ -z "${READERS:-}" ] || judge_readers
	echo "seed=$seed crashes=$CRASHED calls=$(cat "$RUN"/calls.* | wc -l) served=$(cat "$RUN"/calls.* | grep -c ' 200 ') faults=$(wc -l <"$RUN/faults") violations=$((violations - before))"
	[ $violations = $before ] || [ -z "${SAVE:-}" ] || cp -r "$RUN" "$SAVE.$seed"
	rm -rf "$RUN"
done
echo "soak-gate seeds=$seeds violations=$violations"
[ $violations = 0 ]
