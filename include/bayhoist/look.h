/* SPDX-License-Identifier: BSD-3-Clause */
/* When to look at a store again that may be away: a period after the last look, or where that was not
 * answered, a time that doubles with each. */
#ifndef BAYHOIST_LOOK_H
#define BAYHOIST_LOOK_H

#include "bayhoist/types.h"

#define BH__LOOK_BACKOFF_MAX_US                                                                              \
	(3 * BH__SECOND_US) /* nodes that are left without the store hear of it from others */

/* Looks of one kind. */
typedef struct {
	uint64_t sent_us;    /* the last one; 0: none */
	uint64_t backoff_us; /* until the next, if it is not answered */
} BH__Look;

uint64_t bh__look_get_old_us(uint64_t bound_us, uint64_t period_us, bool reads_itself);
bool bh__look_process(BH__Look *l, uint64_t period_us, uint64_t answered_us, bool steady, uint64_t now_us);

#endif
