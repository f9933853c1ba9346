/* SPDX-License-Identifier: BSD-3-Clause */
/* Which engines of a service are reserved for tight streams. The others prefill long prompts. */
#ifndef BAYHOIST_PRIVATE_ENGINE_DIVISION_H
#define BAYHOIST_PRIVATE_ENGINE_DIVISION_H

#include "placement.h"

typedef struct {
	uint64_t decided_us;   /* time of the last decision; 0: none yet */
	unsigned engine_count; /* usable engines */
	unsigned tight_count;  /* tight requests, running and waiting */
	unsigned reserved;     /* engines reserved for tight streams, those that have some included */
	unsigned helping;      /* engines that prefill for other engines */
} BH__EngineDivision;

unsigned bh__engine_division_get_wanted(const BH__EngineDivision *s, const BH__EngineModel *m);
void bh__engine_division_update(BH__EngineDivision *s, const BH__EngineModel *m, GPtrArray *engines,
								unsigned waiting_tight, uint64_t now_us);

#endif
