#!/usr/bin/env bash
# Files that call each other in a circle can't be read or changed one by one. By the symbols of the objects in $B: the largest circle stays small, and the layer that reaches endpoints calls nothing above it (reach.h).
set -u
BOUND=14 # files
LAYER="answer_buffer answer_parser direct_channel hall_paths link_probe links outbound relay_channel relay_server signals"

objects=()
for source in src/bayhoist-gate/*.c; do
	objects+=("${B:-build}/${source%.c}.o")
done
nm -A "${objects[@]}" | awk -v bound="$BOUND" -v layer="$LAYER" '
function reach(from, at, to) { # marks what can be called from a file, directly or through others
	for (to in file)
		if ((at, to) in calls && !((from, to) in reached)) {
			reached[from, to] = 1
			reach(from, to)
		}
}
{
	name = $1
	sub(/:.*/, "", name)
	sub(/.*\//, "", name)
	sub(/\.o$/, "", name)
	file[name] = 1
	if ($(NF - 1) == "U")
		needs[name, $NF] = 1
	else if ($(NF - 1) ~ /^[TDBRVW]$/)
		defined[$NF] = name
}
END {
	for (key in needs) {
		split(key, part, SUBSEP)
		if (part[2] in defined && defined[part[2]] != part[1])
			calls[part[1], defined[part[2]]] = part[2]
	}
	n = split(layer, names, " ")
	for (i = 1; i <= n; i++) {
		in_layer[names[i]] = 1
		if (!(names[i] in file)) {
			print "FAILED: the layer names " names[i] ", which is no file"
			failed = 1
		}
	}
	for (key in calls) {
		split(key, part, SUBSEP)
		if (part[1] in in_layer && !(part[2] in in_layer)) {
			print "FAILED: " part[1] " calls " calls[key] "() of " part[2] ", above its layer"
			failed = 1
		}
	}
	for (a in file)
		reach(a, a)
	for (a in file) {
		size = 0
		circle = ""
		for (b in file)
			if ((a, b) in reached && (b, a) in reached) {
				size++
				circle = circle " " b
			}
		if (size > largest) {
			largest = size
			largest_circle = circle
		}
	}
	print "largest circle of files that call each other: " largest " of at most " bound ":" largest_circle
	if (!length(file) || largest > bound) {
		print "FAILED: the circle is too large"
		failed = 1
	}
	exit failed
}'
[ "${PIPESTATUS[0]} ${PIPESTATUS[1]}" = "0 0" ]
