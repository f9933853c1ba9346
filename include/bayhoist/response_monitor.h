/* SPDX-License-Identifier: BSD-3-Clause */
/* Detects an unresponsive node from requests that time out. The membership probes take seconds to detect a
 * node that has stalled; timed-out requests show it sooner. */
#ifndef BAYHOIST_RESPONSE_MONITOR_H
#define BAYHOIST_RESPONSE_MONITOR_H

#include <stdbool.h>
#include <stdint.h>
#include "bayhoist/types.h"

/* A node is suspected after this many consecutive requests without a response, but no sooner than this long
 * after the first of them was abandoned: many requests may be sent within one millisecond, and a connection
 * to a node that has just started takes a few round trips. */
#define BH__RESPONSE_MONITOR_REQUESTS 3
#define BH__RESPONSE_MONITOR_MIN_US (200 * BH__MS_US)

/* The recent unanswered requests to one node. */
typedef struct {
	unsigned timeout_count;         /* requests abandoned since the last message from the node */
	uint64_t unresponsive_since_us; /* when the first of them was abandoned; 0: none */
} BH__ResponseMonitor;

void bh__response_monitor_reset(BH__ResponseMonitor *s);
bool bh__response_monitor_record_timeout(BH__ResponseMonitor *s, uint64_t now_us);

#endif
