#!/bin/sh
# Runs the unit tests, the scenarios and the scripted tests, side by side; the README's test command calls this.
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
run() { # NAME COMMAND...: runs a test, and says at its end how it went
	name=$1
	shift
	if "$@" >"$out/$name" 2>&1; then
		echo "$name" >>"$out/.passed"
		echo "ok $name"
	else
		echo "$name" >>"$out/.failed"
		cat "$out/$name"
		echo "FAILED $name"
	fi
}
: >"$out/.passed"
: >"$out/.failed"
for t in "$@"; do
	run "$t" "$B/$t" &
done
for t in settings checker words explain; do
	run "check-$t" bash "test/check-$t.sh" &
done
wait
# these start many processes and are kept apart, so that none waits long for a processor
for t in tls api slow limits gate looks soak soak-gate; do
	run "check-$t" bash "test/check-$t.sh"
done
passed=$(wc -l <"$out/.passed")
failed=$(wc -l <"$out/.failed")
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
