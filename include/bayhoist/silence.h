/* SPDX-License-Identifier: BSD-3-Clause */
/* The belief that an endpoint has fallen silent: requests that reached it are overdue and nothing is heard
 * from it. A single overdue request proves nothing, since it may run for longer than others do. Each node
 * reports its overdue requests to the endpoint's home node, which declares the endpoint silent after several;
 * any node that has heard from the endpoint meanwhile takes that back. One state an endpoint; no I/O, no
 * clock. */
#ifndef BAYHOIST_SILENCE_H
#define BAYHOIST_SILENCE_H

#include "bayhoist/types.h"

typedef struct {
	uint64_t heard_us;          /* when this node last received something from the endpoint; 0: never */
	uint64_t sent_reports_us;   /* when this node last began to count the reports that it sends */
	uint64_t sent_reports;      /* reports since then */
	uint64_t contradicted_us;   /* when this node last contradicted a declaration */
	uint64_t refuted_us;        /* latest time at which some node is known to have heard from it */
	uint64_t first_sent_us;     /* when the earliest request reported overdue was sent */
	uint64_t reported_us;       /* when the first of these reports arrived; 0: there is none */
	uint64_t since_us;          /* the endpoint is silent since then; 0: it counts as alive */
	uint64_t declared_until_us; /* first node's end of the latest declaration; a few nodes try it then */
	uint64_t until_us;          /* this node avoids it until then */
	uint64_t once_until_us;     /* it gets no request that may run only once until then */
	uint64_t hold_us;           /* duration of the latest declaration; it doubles while the silence lasts */
} BH__Silence;

bool bh__silence_note_heard(BH__Silence *s, uint64_t heard_us);
bool bh__silence_may_send_report(BH__Silence *s, uint64_t sent_us, uint64_t now_us);
bool bh__silence_add_report(BH__Silence *s, uint64_t sent_us, uint64_t now_us);
bool bh__silence_declare(BH__Silence *s, uint64_t since_us, uint64_t hold_us, double stretch,
						 uint64_t now_us);
bool bh__silence_contradicts(BH__Silence *s, uint64_t since_us, uint64_t now_us);
bool bh__silence_withdraw(BH__Silence *s, uint64_t heard_us);
uint64_t bh__silence_get_overdue_us(uint64_t usual_us, uint64_t target_us);

#endif
