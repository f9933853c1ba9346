/* SPDX-License-Identifier: BSD-3-Clause */
/* The time for which an engine gets no grants after failures. It keeps which nodes reported them, so that
 * what a node reported before it knew that its own links were cut can be withdrawn, and whether the engine
 * has answered a request for its report since the last failure. */
#ifndef BAYHOIST_PRIVATE_EJECTION_H
#define BAYHOIST_PRIVATE_EJECTION_H

#include "bayhoist/types.h"

#define BH__EJECTION_REPORTS_MAX 8 /* nodes whose reports are kept apart */

/* The failures that one node reported since the engine's last success. */
typedef struct {
	uint64_t node_id;
	unsigned failures;
	uint64_t until_us; /* end of the ejection that they justify */
} BH__EjectionReport;

typedef struct {
	uint64_t until_us;   /* no grants before this time */
	uint64_t failed_us;  /* time of the last failure; 0: none */
	uint64_t asked_us;   /* time of the last request for the engine's report because of a failure; 0: none */
	uint64_t heard_us;   /* time of the last such request that the engine has answered; 0: none */
	uint64_t unheard_us; /* time of the last such request that failed; 0: none */
	unsigned count;
	BH__EjectionReport report[BH__EJECTION_REPORTS_MAX];
} BH__Ejection;

void bh__ejection_add(BH__Ejection *e, uint64_t node_id, uint64_t max_until_us, uint64_t now_us);
bool bh__ejection_withdraw(BH__Ejection *e, uint64_t node_id);
void bh__ejection_note_success(BH__Ejection *e);
bool bh__ejection_is_alive(const BH__Ejection *e);
bool bh__ejection_take_ask(BH__Ejection *e, uint64_t now_us);
uint64_t bh__ejection_get_answer_wait_us(const BH__Ejection *e, uint64_t now_us);
void bh__ejection_note_answer(BH__Ejection *e, uint64_t asked_us, bool answered, uint64_t now_us);

#endif
