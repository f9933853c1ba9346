/* SPDX-License-Identifier: BSD-3-Clause */
/* The inference of how long a caller has waited. It is trusted while most callers of the route begin with the
 * same time. */
#include "bayhoist/caller_time.h"

#include <glib.h>
#include <string.h>

#define ABOUT_ 0.99    /* of the whole time: the network takes some */
#define RECENT_ 64     /* callers after which the counts are halved */
#define ENOUGH_ 16     /* callers after which a time that few begin with is given up */
#define TRUST_SHARE_ 2 /* one caller in so many at least begins with the whole time */

static void judge_(BH__CallerTime *t);

/* Begins with the longest time that the route allows, which is what callers mostly wait. */
void bh__caller_time_init(BH__CallerTime *t, uint64_t timeout_us)
{
	memset(t, 0, sizeof *t);
	t->whole_us = timeout_us;
	t->trusted = true;
}

/* Takes the next largest time for the whole where few callers begin with it, and forgets old callers. */
static void judge_(BH__CallerTime *t)
{
	t->trusted = t->whole * TRUST_SHARE_ >= t->all;
	if (!t->trusted) {
		t->whole_us = t->largest_us;
		t->largest_us = 0;
		t->whole = t->all = 0;
	}
	else if (t->all >= RECENT_) {
		t->whole /= 2;
		t->all /= 2;
	}
}

/* Notes a request whose caller will wait `left_us` longer. Returns how long it has waited before; 0: it has
 * not, or that cannot be told. */
uint64_t bh__caller_time_note(BH__CallerTime *t, uint64_t left_us)
{
	bool whole;

	if (left_us > t->whole_us) {
		t->whole_us = left_us;
		t->largest_us = 0;
		t->whole = 0;
		t->all = 0;
	}
	whole = (double)left_us >= (double)t->whole_us * ABOUT_;
	t->whole += whole;
	t->all++;
	if (!whole && left_us > t->largest_us)
		t->largest_us = left_us;
	if (t->all >= ENOUGH_)
		judge_(t);
	return whole || !t->trusted ? 0 : t->whole_us - MIN(left_us, t->whole_us);
}
