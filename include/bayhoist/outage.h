/* SPDX-License-Identifier: BSD-3-Clause */
/* Detects outages of the platform's store, during which the entries of live endpoints may expire. These
 * endpoints write their entries again after the outage. Old local state is not evidence of an outage by
 * itself, because this node may have been suspended. */
#ifndef BAYHOIST_OUTAGE_H
#define BAYHOIST_OUTAGE_H

#include "bayhoist/types.h"

/* Grace period after the store has come back, in which endpoints whose entries expired may write them again.
 * The platform promises that this takes about two seconds. */
#define BH__OUTAGE_GRACE_US (2200 * BH__MS_US)

typedef struct {
	uint64_t seen_us; /* time of this node's latest evidence that the store answers no node; 0: none */
} BH__Outage;

void bh__outage_note_read_failed(BH__Outage *o, uint64_t sent_us, uint64_t timeout_us, uint64_t now_us);
void bh__outage_note_others_out_of_sync(BH__Outage *o, uint64_t now_us);
uint64_t bh__outage_get_gone_at_us(const BH__Outage *o, uint64_t as_of_us, uint64_t now_us);

#endif
