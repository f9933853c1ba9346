#!/bin/sh
# Builds all stand-ins that the cases of review 2 start, the project's own too. Run in the project's folder, after the build of the
# deploy file.
set -e
make -s B=target target/bh-fake-site target/bh-fault-proxy
mkdir -p target/review-2
FLAGS=$(pkg-config --cflags --libs libevent)
for program in replica caller load; do
	cc -std=gnu11 -O2 -Wall -Wextra -o "target/review-2/$program" "review/standin-2/$program.c" $FLAGS
done
