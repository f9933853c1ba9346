/* SPDX-License-Identifier: BSD-3-Clause */
/* Which engines of a service are set aside for tight streams. The others read long prompts. */
#ifndef BAYHOIST_PRIVATE_PREFILL_SET_H
#define BAYHOIST_PRIVATE_PREFILL_SET_H

#include "placement.h"

typedef struct {
	uint64_t decided_us;   /* time of the last decision; 0: none yet */
	unsigned engine_count; /* usable engines */
	unsigned tight_count;  /* tight requests, running and waiting */
	unsigned set_aside;    /* engines set aside for tight streams, those that have some included */
	unsigned reading;      /* engines that prefill for other engines */
} BH__PrefillSet;

unsigned bh__prefill_set_get_wanted(const BH__PrefillSet *s, const BH__EngineModel *m);
void bh__prefill_set_decide(BH__PrefillSet *s, const BH__EngineModel *m, GPtrArray *engines,
							unsigned waiting_tight, uint64_t now_us);

#endif
