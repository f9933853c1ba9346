/* SPDX-License-Identifier: BSD-3-Clause */
/* Start of a duty that this node takes over, while it collects from the other nodes the grants that they
 * hold. */
#ifndef BAYHOIST_TAKEOVER_H
#define BAYHOIST_TAKEOVER_H

#include <glib.h>
#include "bayhoist/members.h"

/* Longest wait for the other nodes' reports: a third of the shortest first-token target among the users. */
#define BH__TAKEOVER_MAX_US (100 * BH__MS_US)

typedef struct {
	uint64_t begun_us; /* when this node took the duty; 0: another node has it */
	bool received_all; /* the report of the node that had the duty before has arrived: it names all grants */
	GHashTable *report_us; /* time of each node's latest report of its grants, in microseconds, by node id */
} BH__Takeover;

void bh__takeover_init(BH__Takeover *t);
void bh__takeover_clear(BH__Takeover *t);
void bh__takeover_begin(BH__Takeover *t, uint64_t now_us);
void bh__takeover_end(BH__Takeover *t);
void bh__takeover_note_report(BH__Takeover *t, uint64_t node_id, bool all, uint64_t now_us);
bool bh__takeover_is_done(const BH__Takeover *t, const BH__Members *members, uint64_t now_us);

#endif
