#!/usr/bin/env bash
# Two of fourteen replicas crash while streams are under way, twice, and two others fail part of their requests with 500.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/2
. review/lib.sh
REPLICAS=14
GREY="2 9" # srv_grey: .143 of the replicas fail .4 of their requests
PIECES=30  # 100 ms apart
CLIENTS=150
EACH=4 # streams, one after the other
begin_case
start_store
start_replica() { # N AGAIN [OPTION VALUE]: each start is a new lifetime, with a new id
	local n=$1 again=$2
	shift 2
	start "replica$n" "$B/review/review-replica" "$@" "$STORE" "$RECORD" "i-e$n$again=$(replica_address "$n"),llm,h$((n % 3 + 1))"
	disown
}
for n in $(seq $REPLICAS); do
	case " $GREY " in
	*" $n "*) [ "$TROUBLE" = 0 ] && start_replica "$n" a || start_replica "$n" a --fail-share 40 ;;
	*) start_replica "$n" a ;;
	esac
done
start_gates 3
clients=()
for i in $(seq $CLIENTS); do
	ask $((i % 3 + 1)) "/ask/events=$PIECES/gap=100/x" "s$i" --repeat $EACH &
	clients+=($!)
done
if [ "$TROUBLE" != 0 ]; then
	for crash in "b 3 5" "c 7 12"; do # srv_crash: .143 of the replicas are down for 4.5 s
		set -- $crash
		sleep 1.5
		note "i-e$2a and i-e$3a crash"
		signal "replica$2" KILL
		signal "replica$3" KILL
		sleep 4.5
		start_replica "$2" "$1"
		start_replica "$3" "$1"
	done
fi
wait "${clients[@]}"
whole() { grep 'status=200 .*complete=yes' "$RUN/answers"; }
foreign=$(whole | grep -vc " pieces=$PIECES foreign=0 ")
for attempt in $(whole | grep -v " pieces=$PIECES foreign=0 " | grep -o 'attempt=[^ ]*'); do
	note "of $attempt: $(grep " $attempt " "$RECORD" | grep -o 'replica run .*\|replica answered .*' | cut -d' ' -f2,4- | paste -sd';')"
done
verdict "$foreign" "of $(whole | wc -l) streams that came whole with status 200, $foreign hold other bytes than their pieces"
