#!/usr/bin/env bash
# A short seed of the soak of the gateways, and those that once failed:
# 19: a gateway that was killed was started again before its ports were free, and ended without a word.
cd "$(dirname "$0")/.."
for seed in 1 19; do
	bash test/soak-gate.sh $seed 1 5 || exit 1
done
HISTORY=1 bash test/soak-gate.sh 3001 1 8 || exit 1
CULPRITS=1 bash test/soak-gate.sh 2001 1 5 || exit 1
CUTS=1 bash test/soak-gate.sh 4001 1 8 || exit 1
ODD=1 bash test/soak-gate.sh 6001 1 6 || exit 1
PAUSES=1 bash test/soak-gate.sh 9022 1 8 || exit 1
CONFIGS=1 bash test/soak-gate.sh 8001 1 10 || exit 1
PATHS=1 HANGS=1 READERS=1 bash test/soak-gate.sh 5003 1 4
