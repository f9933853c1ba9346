#!/bin/sh
# Builds every stand-in that the cases start: the project's own store, and the review's replicas and clients.
# Needs no network. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make B=target -j"$(nproc)" target/bh-fake-site
mkdir -p target/review
for name in replica client; do
	${CC:-cc} -D_GNU_SOURCE -std=gnu11 -O2 -Wall -Wextra -Werror -pthread -o "target/review/review-$name" "review/standin/$name.c"
done
