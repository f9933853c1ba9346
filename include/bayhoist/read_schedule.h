/* SPDX-License-Identifier: BSD-3-Clause */
/* Schedules reads of the platform's store, which may be unavailable. The next read is due one period after
 * the last one, or after a delay that doubles with each read that was not answered. */
#ifndef BAYHOIST_READ_SCHEDULE_H
#define BAYHOIST_READ_SCHEDULE_H

#include "bayhoist/types.h"

/* Upper bound of the delay between unanswered reads. Nodes without access to the store receive its state from
 * other nodes meanwhile. */
#define BH__READ_SCHEDULE_BACKOFF_MAX_US (3 * BH__SECOND_US)

/* Schedule of one kind of platform read. */
typedef struct {
	uint64_t sent_us;    /* time of the last read; 0: none was sent */
	uint64_t backoff_us; /* delay until the next read if the last one is not answered */
} BH__ReadSchedule;

uint64_t bh__read_schedule_get_max_age_us(uint64_t bound_us, uint64_t period_us, bool reads_itself);
bool bh__read_schedule_process(BH__ReadSchedule *s, uint64_t period_us, uint64_t answered_us, bool steady,
							   uint64_t now_us);

#endif
