/* SPDX-License-Identifier: BSD-3-Clause */
/* Booked starts of long prompts. A long prompt needs many engines at a time; when these will be free is
 * forecast from the ledger and from the starts booked before it, so that its caller is either held for a
 * known time or sent away at once.
 *
 * All of a booking but the caller's absence follows from the ledger and the waiting asks. A new scheduler,
 * which receives both, therefore books the same starts again, and no booking is transferred. */
#ifndef BAYHOIST_PRIVATE_BOOKING_H
#define BAYHOIST_PRIVATE_BOOKING_H

#include "bayhoist/planner.h"
#include "start_rules.h"

/* Start of an ask that has no place within the time that its caller waits. */
#define BH__START_NEVER UINT64_MAX

/* An ask that waits in the planner's queue. */
typedef struct {
	BH__Ask ask;
	uint64_t arrived_us;
	bool has_returned; /* its caller has come back at a booked time */
} BH__WaitingAsk;

bool bh__waiting_ask_comes_before(const BH__WaitingAsk *a, const BH__WaitingAsk *b, const BH__EngineModel *m);

typedef struct BH__BookingTable BH__BookingTable;

BH__BookingTable *bh__booking_table_new(void);
void bh__booking_table_delete(BH__BookingTable *t);
void bh__booking_table_note_stream(BH__BookingTable *t, uint64_t duration_us);
void bh__booking_table_request_update(BH__BookingTable *t);
bool bh__booking_table_update(BH__BookingTable *t, const BH__EngineModel *m, const GPtrArray *engines,
							  const BH__LongWork *long_work, const GPtrArray *waiting, BH__PlannerPort *port,
							  uint64_t now_us);
bool bh__booking_table_has_no_start(const BH__BookingTable *t, uint64_t ask_id);
uint64_t bh__booking_table_get_start(const BH__BookingTable *t, uint64_t ask_id);
void bh__booking_table_process_start(BH__BookingTable *t, uint64_t ask_id, BH__PlannerPort *port,
									 uint64_t now_us);
void bh__booking_table_withdraw(BH__BookingTable *t, uint64_t ask_id, uint64_t return_us,
								BH__PlannerPort *port, uint64_t now_us);
void bh__booking_table_remove(BH__BookingTable *t, uint64_t ask_id);
bool bh__booking_table_process_return(BH__BookingTable *t, const BH__Ask *ask, uint64_t now_us);
bool bh__booking_table_get(const BH__BookingTable *t, unsigned index, BH__BookingInfo *out);
unsigned bh__booking_table_get_count(const BH__BookingTable *t);
const BH__BookingCounters *bh__booking_table_get_counters(const BH__BookingTable *t);

#endif
