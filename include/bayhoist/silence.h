/* SPDX-License-Identifier: BSD-3-Clause */
/* Detects an unresponsive node from requests that time out. The membership probes take seconds to detect a
 * node that has stalled; timed-out requests show it sooner. */
#ifndef BAYHOIST_SILENCE_H
#define BAYHOIST_SILENCE_H

#include <stdbool.h>
#include <stdint.h>
#include "bayhoist/types.h"

/* A node is suspected after this many consecutive requests without a response, but no sooner than this long
 * after the first of them was abandoned: many requests may be sent within one millisecond, and a connection
 * to a node that has just started takes a few round trips. */
#define BH__SILENCE_QUESTIONS 3
#define BH__SILENCE_US (200 * BH__MS_US)

/* The recent unanswered requests to one node. */
typedef struct {
	unsigned unanswered;     /* requests abandoned since the last message from the node */
	uint64_t quiet_since_us; /* when the first of them was abandoned; 0: none */
} BH__Silence;

void bh__silence_hear(BH__Silence *s);
bool bh__silence_note_unanswered(BH__Silence *s, uint64_t now_us);

#endif
