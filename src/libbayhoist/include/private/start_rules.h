/* SPDX-License-Identifier: BSD-3-Clause */
/* When a waiting ask may start, and how long it may wait: the rules between the queue of asks and the choice
 * of engines. The queue applies them to the ledger as it is, the forecast to the ledger as it will be. */
#ifndef BAYHOIST_PRIVATE_START_RULES_H
#define BAYHOIST_PRIVATE_START_RULES_H

#include "placement.h"

/* Recent prefill work of long prompts, in milliseconds on one engine, decaying exponentially. */
typedef struct {
	double work_ms;
	uint64_t updated_us;
} BH__LongWork;

uint64_t bh__start_rules_first_event_target_us(const BH__Ask *ask);
uint64_t bh__start_rules_max_wait_us(const BH__Ask *ask);
bool bh__start_rules_is_late(const BH__EngineModel *m, const BH__Ask *ask, uint64_t waited_us);
bool bh__start_rules_is_long(const BH__EngineModel *m, uint64_t prompt_tokens, uint64_t event_gap_us);
void bh__long_work_note(BH__LongWork *l, const BH__EngineModel *m, const BH__Ask *ask, uint64_t now_us);
double bh__start_rules_work_ms(const BH__EngineModel *m, const BH__Ask *ask);
bool bh__start_rules_has_room(const BH__EngineModel *m, const GPtrArray *engines, uint64_t now_us);
bool bh__start_rules_find(const BH__EngineModel *m, GPtrArray *engines, const BH__LongWork *long_work,
						  const BH__Ask *ask, bool late, uint64_t waited_us, uint64_t now_us,
						  BH__Placement *placement);

#endif
