/* SPDX-License-Identifier: BSD-3-Clause */
/* The first moments of a node that takes over a duty, in which it learns what the others hold. */
#ifndef BAYHOIST_TAKEOVER_H
#define BAYHOIST_TAKEOVER_H

#include <glib.h>
#include "bayhoist/members.h"

/* That others are waited for, at most: a third of the shortest aim of a first event that the users have. */
#define BH__TAKEOVER_MAX_US (100 * BH__MS_US)

typedef struct {
	uint64_t begun_us; /* 0: the duty is another node's */
	bool told_all;     /* by the node that had the duty before */
	GHashTable *told;  /* when each node last told what it holds, in us, by node id */
} BH__Takeover;

void bh__takeover_init(BH__Takeover *t);
void bh__takeover_clear(BH__Takeover *t);
void bh__takeover_begin(BH__Takeover *t, uint64_t now_us);
void bh__takeover_end(BH__Takeover *t);
void bh__takeover_note_told(BH__Takeover *t, uint64_t node_id, bool all, uint64_t now_us);
bool bh__takeover_is_done(const BH__Takeover *t, const BH__Members *members, uint64_t now_us);

#endif
