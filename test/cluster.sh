# Shell functions that start and stop a small system on loopback; sourced by the demo, the soak and the tests.
# Needs B, the build folder. Everything lives in the folder $RUN; every process started is in $RUN/pids.
BASE=${BASE:-21000}
KEY=operator-key-for-tests
PEER_KEY=a-shared-secret-for-tests
CALLER_KEY_PREFIX=caller-key-
MODEL=${MODEL:-archive}
HALLS="abertawe caerdydd casnewydd"

choose_base() { # sets BASE to the start of 500 ports that nobody listens on now, nor another run is about to
	local used lock
	while :; do
		used=$(awk '$4 == "0A" { split($2, a, ":"); print "0x" a[2] }' /proc/net/tcp /proc/net/tcp6 2>/dev/null | sort -u |
			xargs -r printf '%d\n')
		for BASE in $(seq 10000 500 31500); do
			exec {lock}>"${TMPDIR:-/tmp}/bayhoist-ports-$BASE" # held until this run's last process has ended
			if flock -n "$lock" && awk -v from="$BASE" '$1 >= from && $1 < from + 500 { exit 1 }' <<<"$used"; then
				PLATFORM="127.0.0.1:$BASE"
				return
			fi
			exec {lock}>&-
		done
		sleep 1
	done
}
begin_run() { # a folder and ports of this run's own, and everything stopped and removed at its end
	# In memory, as on the diskless VMs: a process whose log is a file on a busy disk waits for that disk.
	if [ -w /dev/shm ]; then RUN=$(mktemp -d -p /dev/shm bayhoist.XXXXXX); else RUN=$(mktemp -d); fi
	choose_base
	trap 'stop_all; rm -rf "$RUN"' EXIT
}
sha256() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
start() { # NAME COMMAND...: runs a process of the system in the background
	local name=$1
	shift
	"$@" >>"$RUN/$name.log" 2>&1 &
	echo $! >"$RUN/$name.pid"
	echo $! >>"$RUN/pids"
}
pid_of() { cat "$RUN/$1.pid"; }
signal() { kill "-$2" "$(pid_of "$1")" 2>/dev/null || true; }
stop_all() {
	local p
	[ -f "$RUN/pids" ] || return 0
	for p in $(cat "$RUN/pids"); do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
	true
}
hall_of() { set -- $1 $HALLS; local n=$(( ($1 - 1) % 3 + 2 )); eval echo "\${$n}"; }
caller_address() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
peer_address() { echo "127.0.0.1:$((BASE + 200 + $1))"; }
engine_address() { echo "127.0.0.1:$((BASE + 300 + $1))"; }
service_address() { echo "127.0.0.1:$((BASE + 400 + $1))"; }
PLATFORM="127.0.0.1:$BASE"

start_platform() { start platform "$B/bh-fake-platform" --listen "$PLATFORM"; }
start_engine() { # N [OPTIONS]
	local n=$1
	shift
	start "engine$n" "$B/bh-fake-engine" --listen "$(engine_address "$n")" --name "engine$n" --loaded v1 --weights "$PLATFORM" "$@"
}
start_service() { start "service$1" "$B/bh-fake-service" --listen "$(service_address "$1")" --name "service$1"; }
write_settings() { # N
	cat >"$RUN/node$1.json" <<-SETTINGS
	{ // entry VM $1
		"name": "vm$1", "hall": "$(hall_of "$1")",
		"caller_address": "$(caller_address "$1")", "peer_address": "$(peer_address "$1")",
		"seeds": ["$(peer_address 1)", "$(peer_address 2)", "$(peer_address 3)"],
		"store_address": "$PLATFORM", "vm_list_address": "$PLATFORM",
		"peer_key": "$PEER_KEY", "operator_key_sha256": "$(sha256 $KEY)",
		"leave_grace_ms": ${GRACE_MS:-2000}
	}
	SETTINGS
}
start_node() { write_settings "$1"; start "node$1" "$B/bayhoistd" --config "$RUN/node$1.json"; }
ctl() { local n=$1; shift; "$B/bayhoistctl" --node "$(caller_address "$n")" --key $KEY "$@"; }
fault() { curl -s -m 5 -X POST -d "$2" "http://$1/fault" >/dev/null || true; }
wait_for() { # SECONDS COMMAND...: tries a command until it succeeds
	local tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || { echo "gave up waiting for: $*" >&2; return 1; }
		sleep 0.05
	done
}
write_resources() { # ENGINES SERVICES ACCOUNTS KV_BYTES: the configuration, on standard output
	local i
	printf '{"resources": [\n'
	printf '{"kind":"model","name":"%s","spec":{"kv_bytes_per_token":1,"bytes_per_token":4,"context_tokens":1100000}},\n' "$MODEL"
	printf '{"kind":"model","name":"notices","spec":{"service":true}},\n'
	printf '{"kind":"version","name":"v1","spec":{"model":"%s","weight_bytes":1000000}},\n' "$MODEL"
	printf '{"kind":"version","name":"v2","spec":{"model":"%s","weight_bytes":6000000000}},\n' "$MODEL"
	printf '{"kind":"adapter","name":"welsh","spec":{"model":"%s","weight_bytes":1000000}},\n' "$MODEL"
	printf '{"kind":"priority","name":"normal","spec":{"weight":1,"level":1}},\n'
	printf '{"kind":"role","name":"any","spec":{"serves_short":true,"serves_long":true}},\n'
	printf '{"kind":"policy","name":"default","spec":{"long_tokens":32768,"default_deadline_ms":60000}},\n'
	for i in $(seq "$3"); do
		printf '{"kind":"account","name":"account%s","spec":{"weight":1,"priority":"normal","key_sha256":["%s"]}},\n' "$i" "$(sha256 "$CALLER_KEY_PREFIX$i")"
	done
	for i in $(seq "$2"); do
		printf '{"kind":"endpoint","name":"service%s","spec":{"address":"%s","hall":"%s","model":"notices"}},\n' "$i" "$(service_address "$i")" "$(hall_of "$i")"
	done
	for i in $(seq "$1"); do
		printf '{"kind":"endpoint","name":"engine%s","spec":{"address":"%s","hall":"%s","role":"any","model":"%s","version":"v1","kv_bytes":%s,"fenced":true}}' \
			"$i" "$(engine_address "$i")" "$(hall_of "$i")" "$MODEL" "$4"
		[ "$i" -lt "$1" ] && printf ',\n'
	done
	printf '\n]}\n'
}
