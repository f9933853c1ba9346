/* SPDX-License-Identifier: BSD-3-Clause */
/* Estimates how long callers have waited. The estimate is trusted while at least one of TRUST_SHARE_ recent
 * requests of the route carries the time that callers start with. */
#include "bayhoist/caller_time.h"

#include <glib.h>
#include <string.h>

/* Least share of the initial time that a first try has left on arrival: its transit takes some. */
#define INITIAL_FRACTION_ 0.99
#define HALVING_REQUESTS_ 64 /* requests after which the counts are halved */
#define MIN_REQUESTS_ 16     /* requests before an initial time that few of them carry is replaced */
#define TRUST_SHARE_ 2       /* at least one request in this many carries the initial time */

static void evaluate_(BH__CallerTime *t);

/* Sets the initial time to `timeout_us`, the longest that the route allows, since most callers wait that
 * long. */
void bh__caller_time_init(BH__CallerTime *t, uint64_t timeout_us)
{
	memset(t, 0, sizeof *t);
	t->initial_us = timeout_us;
	t->trusted = true;
}

/* Replaces an initial time that too few requests carry by the next lower one that was seen, and halves the
 * counts so that recent requests weigh more. */
static void evaluate_(BH__CallerTime *t)
{
	t->trusted = t->initial_count * TRUST_SHARE_ >= t->request_count;
	if (!t->trusted) {
		t->initial_us = t->next_lower_us;
		t->next_lower_us = 0;
		t->initial_count = t->request_count = 0;
	}
	else if (t->request_count >= HALVING_REQUESTS_) {
		t->initial_count /= 2;
		t->request_count /= 2;
	}
}

/* Records a request whose caller will wait `left_us` longer. Returns how long it has waited already, in
 * microseconds, or 0 if this is its first try or the time that callers start with is not known well enough.
 */
uint64_t bh__caller_time_record(BH__CallerTime *t, uint64_t left_us)
{
	bool is_initial;

	if (left_us > t->initial_us) {
		t->initial_us = left_us;
		t->next_lower_us = 0;
		t->initial_count = 0;
		t->request_count = 0;
	}
	is_initial = (double)left_us >= (double)t->initial_us * INITIAL_FRACTION_;
	t->initial_count += is_initial;
	t->request_count++;
	if (!is_initial && left_us > t->next_lower_us)
		t->next_lower_us = left_us;
	if (t->request_count >= MIN_REQUESTS_)
		evaluate_(t);
	return is_initial || !t->trusted ? 0 : t->initial_us - MIN(left_us, t->initial_us);
}
