/* SPDX-License-Identifier: BSD-3-Clause */
/* Whether a node that leaves questions unanswered is to be suspected. The probes of membership take seconds
 * to notice a node that stands still; its unanswered questions tell sooner. */
#ifndef BAYHOIST_SILENCE_H
#define BAYHOIST_SILENCE_H

#include <stdbool.h>
#include <stdint.h>
#include "bayhoist/types.h"

/* So many questions must stay unanswered, and so long must have passed since the first was given up: many may
 * go out in one millisecond, and a connection to a node that has just started takes a few round trips. */
#define BH__SILENCE_QUESTIONS 3
#define BH__SILENCE_US (200 * BH__MS_US)

typedef struct {
	unsigned unanswered;     /* questions since the node was last heard */
	uint64_t quiet_since_us; /* when the first of them was given up */
} BH__Silence;

void bh__silence_hear(BH__Silence *s);
bool bh__silence_note_unanswered(BH__Silence *s, uint64_t now_us);

#endif
