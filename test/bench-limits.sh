#!/usr/bin/env bash
# Ways for many nodes to keep a limit that an endpoint names.
exec "$B/bench_limits"
