# Shell functions for three gateways before a stand-in of the users' platform; sourced after cluster.sh.
# Needs B, the build folder, and a run begun by begin_run.
is() { # WHAT HAVE WANTED: a check; sets FAILED
	if [ "$2" = "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: have \"$2\", wanted \"$3\""; FAILED=1; fi
}
address() { echo "127.0.0.1:$((BASE + $1))"; }
CALLER_KEY=key1
STORE=$(address 0)
start_site() {
	start site "$B/bh-fake-site" --store "$STORE" --engine i-e1="$(address 1)" --engine i-e2="$(address 2)" \
	--engine i-e3="$(address 3)" --plain i-p1="$(address 4)" --plain i-p2="$(address 5)" "$@"
	wait_for 30 tell calls # what a test tells it before it listens is lost
}
# The same with every connection to the store (one link a gateway) and to the endpoints going through a proxy.
LINKS="store1 store2 store3 e1 e2 e3 p1 p2"
start_site_behind_proxy() {
	local n args=
	for n in 1 2 3; do args="$args --link store$n=$(address $((40 + n))),$STORE --link e$n=$(address $((50 + n))),$(address $n)"; done
	for n in 1 2; do args="$args --link p$n=$(address $((60 + n))),$(address $((3 + n)))"; done
	start proxy "$B/bh-fault-proxy" --control "$(address 70)" $args ${MORE_LINKS:-}
	start site "$B/bh-fake-site" --store "$STORE" --engine i-e1="$(address 1),$(address 51)" --engine i-e2="$(address 2),$(address 52)" \
	--engine i-e3="$(address 3),$(address 53)" --plain i-p1="$(address 4),$(address 61)" --plain i-p2="$(address 5),$(address 62)" "$@"
	wait_for 30 tell calls
	BEHIND_PROXY=1
}
# The same in three halls, a gateway in each (settings_in_halls), which the others reach through the proxy too.
start_site_in_halls() {
	local n
	for n in 1 2 3; do MORE_LINKS="${MORE_LINKS:-} --link n$n=$(address $((80 + n))),$(node $n 4)"; done
	start_site_behind_proxy --hall i-e1=h1 --hall i-e2=h2 --hall i-e3=h3 --hall i-p1=h1 --hall i-p2=h3
}
links_into() { case $1 in 1) echo "n1 e1 p1" ;; 2) echo "n2 e2" ;; 3) echo "n3 e3 p2" ;; esac; } # HALL
set_link() { # LINK MODE [MS [FROM]]
	curl -sf -m 3 "http://$(address 70)/set?link=$1&mode=$2&ms=${3:-0}&from=${4:-}"
}
ENDPOINT_LINKS="e1 e2 e3 p1 p2"
cut_endpoints() { # MODE GATEWAY...: the links of some gateways to all endpoints
	local l n
	for n in "${@:2}"; do for l in $ENDPOINT_LINKS; do set_link $l "$1" 0 "127.0.0.$((10 + n))"; done; done
}
tell() { curl -s -m 3 "http://$STORE/test/$1" "${@:2}"; }
node() { # N FIELD: an address of gateway N
	echo "127.0.0.$((10 + $1)):$((BASE + 20 + $2))"
}
settings() { # N; MORE_SETTINGS: further fields, each with a comma behind it
	printf '{"name":"gate%s","hall":"h1","region":"r","caller_address":"%s","readiness_address":"%s",' "$1" "$(node "$1" 0)" "$(node "$1" 1)"
	printf '"directory_address":"%s","control_address":"%s","peer_address":"%s","peer_key":"k",' "$(node "$1" 2)" "$(node "$1" 3)" "$(node "$1" 4)"
	[ -z "${BEHIND_PROXY:-}" ] || printf '"endpoint_source":"%s",' "127.0.0.$((10 + $1))"
	printf '"seeds":["%s","%s"],"store_address":"%s","stop_grace_ms":8000,%s"key_trust_ms":%s} // settings of a test\n' "$(node 1 4)" "$(node 2 4)" \
		"$([ -z "${BEHIND_PROXY:-}" ] && echo "$STORE" || address $((40 + $1)))" "${MORE_SETTINGS:-}" "${KEY_TRUST_MS:-3000}"
}
settings_in_halls() { # N: as settings(), for start_site_in_halls
	settings "$1" | sed "s/\"hall\":\"h1\"/\"hall\":\"h$1\"/;s/\"peer_address\":\"[^\"]*\"/\"peer_address\":\"$(address $((80 + $1)))\",\"peer_listen_address\":\"$(node "$1" 4)\"/;s/\"seeds\":\[[^]]*\]/\"seeds\":[\"$(address 81)\",\"$(address 82)\",\"$(address 83)\"]/"
}
config() { # VERSION KEY; ASK_ATTEMPTS: most engines for a stream; ONCE_ATTEMPTS: most endpoints for what may run only once; MAX_BODY: bytes of a request's body
	cat <<JSON
{"version":$1,"routes":[
{"name":"ask","host":"a.example","path-prefix":"/ask/","route-kind":"streaming","timeout-ms":8000,"target-latency-ms":300,"service":"llm","max-attempts":${ASK_ATTEMPTS:-2},"resumable":true,"gap_aim_ms":200},
{"name":"once","host":"a.example","path-prefix":"/once/","route-kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":300,"service":"web","max-attempts":${ONCE_ATTEMPTS:-1}},
{"name":"free","host":"a.example","path-prefix":"/free/","route-kind":"idempotent","timeout-ms":3000,"target-latency-ms":300,"service":"web","max-attempts":2}],
"services":[{"name":"llm","engine-kind":{"slots":16,"kv-tokens":450000,"stride":46,"step_ms":0.925,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048}},{"name":"web"}],
"limits":{"max-header-bytes":4096,"max-body-bytes":${MAX_BODY:-100000},"header-timeout-ms":1000,"idle-timeout-ms":5000},
"tenants":[{"name":"acct","api-keys":["$2"]}]}
JSON
}
call() { # N PATH ID [CURL OPTIONS...]: prints the body and, last, the status
	curl -s -m 12 -o "$RUN/body" -w '%{http_code}' "http://$(node "$1" 0)$2" -H 'Host: a.example' -H "X-Attempt-Id: $3" \
		-H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: $CALLER_KEY" "${@:4}"
}
# Of the body of a stream: the ids of its events, and how many of its lines are none of an engine's.
event_ids() { grep '^id:' "$1" 2>/dev/null | tr -d 'id: \r' | tr '\n' ' '; }
foreign_lines() { grep -vcE '^(id: [0-9]+|data: piece +[0-9]+|)$' "$1" 2>/dev/null; }
ask() { call "$1" "$2" "$3" -H 'X-Token-Usage: 3000,100' -d 'a prompt' "${@:4}"; }
ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(node "$1" 1)/readiness")" = "$2" ]; }
start_gate() {
	start "gate$1" "$B/bayhoist-gate" --config "$RUN/gate$1.json"
	disown # a shell says of each job that it was killed
}
start_three_gates() { # [TEXT]: before the site, with the first configuration, or this one; they know each other in the end
	local n
	for n in 1 2 3; do settings $n >"$RUN/gate$n.json"; start_gate $n; done
	printf %s "${1:-$(config 1 key1)}" >"$RUN/config"
	tell config -d "@$RUN/config"
	for n in 1 2 3; do wait_for 10 ready $n 200 || is "gateway $n gets ready" no yes; done
	sleep 1.5
}
kill_all_gates() { # at once; they start again, and are ready in the end
	local n
	for n in 1 2 3; do signal gate$n KILL; done
	sleep 0.2
	for n in 1 2 3; do start_gate $n; done
	for n in 1 2 3; do wait_for 5 ready $n 200; done
}
requests=0
lookups() { # SECONDS: one lookup each tenth of a second, at a gateway in turn; counted in `requests`
	local until=$(($(date +%s%N) + $1 * 1000000000))
	while [ "$(date +%s%N)" -lt $until ]; do
		requests=$((requests + 1))
		call $((requests % 3 + 1)) /free/x "l$requests" >"$RUN/status.l$requests"
		sleep 0.1
	done
}
busiest() { # ENDPOINT...: the one that got the most requests
	local id
	for id in "$@"; do echo "$(arrivals "$id") $id"; done | sort -n | tail -n 1 | cut -d' ' -f2
}
arrivals() { tell "arrivals?id=$1"; }
sent=0
load() { # SECONDS: 11 prompts (kind a) and 11 lookups (kind f) a second, over all gateways; their heads, statuses and times are kept
	local until=$(($(date +%s%N) + $1 * 1000000000)) n callers=()
	while [ "$(date +%s%N)" -lt $until ]; do
		sent=$((sent + 1))
		n=$((sent % 3 + 1))
		ask $n /ask/x "$(id_of a $sent)" -D "$RUN/head.a$sent" >"$RUN/status.a$sent" &
		callers+=($!)
		call $n /free/x "$(id_of f $sent)" -D "$RUN/head.f$sent" -w '%{http_code} %{time_total}' >"$RUN/status.f$sent" &
		callers+=($!)
		sleep 0.08
	done
	sleep 1
	wait "${callers[@]}" # a caller that has no answer yet has no status either
}
# Of a request of load(), by its KIND and NUMBER: its id, which names its gateway, and its status.
id_of() { echo "g$(($2 % 3 + 1))-$1$2"; }
status_of() { cut -d' ' -f1 "$RUN/status.$1$2"; }
statuses() { # KIND FIRST: how often each came, from a request on
	local i
	for i in $(seq "$2" "$sent"); do status_of "$1" $i; done | sort | uniq -c | tr -s ' '
}
share() { # FIRST GATEWAY...: of the requests of load() from one on that these gateways took, how many in 100 were served
	local i total=0 served=0
	for i in $(seq "$1" "$sent"); do
		case " ${*:2} " in *" $((i % 3 + 1)) "*) ;; *) continue ;; esac
		total=$((total + 2))
		[ "$(status_of a $i)" = 200 ] && served=$((served + 1))
		[ "$(status_of f $i)" = 200 ] && served=$((served + 1))
	done
	echo $((served * 100 / total))
}
free_at_once() { # AddressSanitizer keeps freed memory, which would count as the process's own
	export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=0:thread_local_quarantine_size_kb=0"
}
at_least() { is "$1: $2 of 100, of which $3 are wanted" "$(($2 >= $3))" 1; }
