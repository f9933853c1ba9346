#!/usr/bin/env bash
# One of three gateways is stopped in calm, and callers go on sending requests of six kinds to it all through its grace. Guards
# against requests that are taken late, passed on, and cut without an answer at the end of the grace. Twice: with earlier answers of
# the same kinds, and without any, as of a gateway that has just started.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
engines=
for n in $(seq 4 10); do engines="$engines --engine i-e$n=$(address $((100 + n)))"; done
plain=
for n in 3 4 5 6; do plain="$plain --plain i-p$n=$(address $((120 + n)))"; done
start_site $engines $plain
start_three_gates
KINDS="free free-hold once once-hold ask ask-long" # routes, and what their requests take: a moment or a second, 0.3 or 4 s
EVERY_S=0.25
UNTIL_MS=9000 # from the signal on, which is past the grace
one() { # N KIND ID: a request; keeps "status exit lines"
	local path=/${2%%-*}/x extra=()
	case $2 in
	*-hold) path=/${2%%-*}/hold/x ;;
	ask-long) path=/ask/long/x ;;
	esac
	[[ $2 != ask* ]] || extra=(-H 'X-Token-Usage: 3000,100' -d 'a prompt')
	curl -s -m 12 -o "$RUN/body.$3" -w '%{http_code} %{exitcode}' "http://$(node "$1" 0)$path" -H 'Host: a.example' -H "X-Attempt-Id: $3" \
		-H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: $CALLER_KEY" "${extra[@]}" >"$RUN/status.$3"
	echo " $(cat "$RUN/body.$3" 2>/dev/null | grep -c '^id: ')" >>"$RUN/status.$3"
}
outcome() { # KIND ID: whole, refused (before it ran), gone (no connection), or what else became of it
	local status=$(cat "$RUN/status.$2") events=1
	[[ $1 != ask* ]] || events=10
	case $status in
	"200 0 $events") echo whole ;;
	"503 0 0") [ $(($(tell "runs?id=$2") & 0xffff)) = 0 ] && echo refused || echo "refused after it ran" ;;
	"000 7 "*) echo gone ;;
	*) echo "cut: $1 at $2: $status" ;;
	esac
}
stop() { # LABEL N: gateway N, under requests
	local label=$1 n=$2 from at i=0 kind callers=()
	for at in 1 2; do
		for kind in $KINDS; do i=$((i + 1)); one $n $kind "$label-$kind-$i" & callers+=($!); done
		sleep $EVERY_S
	done
	signal gate$n TERM
	from=$(date +%s%N)
	while [ $((($(date +%s%N) - from) / 1000000)) -lt $UNTIL_MS ]; do
		for kind in $KINDS; do i=$((i + 1)); one $n $kind "$label-$kind-$i" & callers+=($!); done
		sleep $EVERY_S
	done
	wait "${callers[@]}"
	for kind in $KINDS; do
		for at in "$RUN"/status.$label-$kind-[0-9]*; do outcome $kind "${at##*/status.}"; done
	done >"$RUN/outcomes.$label"
	echo "$label: $(cut -d: -f1 "$RUN/outcomes.$label" | sort | uniq -c | tr -s ' ' | tr '\n' ';')"
	is "$label: no request is cut, and what is refused has not run" "$(grep -E '^cut|after' "$RUN/outcomes.$label" | head -n 5)" ""
	is "$label: requests were served" "$(($(grep -c '^whole' "$RUN/outcomes.$label") > 30))" 1
	is "$label: the gateway has ended" "$(($(grep -c '^gone' "$RUN/outcomes.$label") > 0))" 1
}
stop fresh 1 2>/dev/null
for i in 1 2 3; do
	callers=()
	for kind in $KINDS; do one 2 $kind "before-$kind-$i" & callers+=($!); done
	wait "${callers[@]}"
done
stop used 2 2>/dev/null
exit $FAILED
