#!/usr/bin/env bash
# Two short seeds of the soak of the gateways, and the seeds that once failed.
exec bash "$(dirname "$0")/soak-gate.sh" 1 2 5
