/* SPDX-License-Identifier: BSD-3-Clause */
#include "ejection.h"

#include <glib.h>
#include <string.h>

/* Duration of an engine's first ejection after a failure; it doubles with each consecutive failure up to the
 * maximum. */
#define FIRST_US_ (600 * BH__MS_US)
#define MAX_US_ (4 * BH__SECOND_US)
#define DOUBLINGS_MAX_ 8u

static BH__EjectionReport *find_report_(BH__Ejection *e, uint64_t node_id);
static void update_(BH__Ejection *e);

/* Records a failure that a node reports. The ejection that it justifies ends at `max_until_us` at the latest;
 * 0: no such bound. */
void bh__ejection_add(BH__Ejection *e, uint64_t node_id, uint64_t max_until_us, uint64_t now_us)
{
	BH__EjectionReport *r = find_report_(e, node_id);
	unsigned failures = 0;

	for (unsigned i = 0; i < e->count; i++)
		failures += e->report[i].failures;
	r->failures++;
	r->until_us = now_us + MIN(FIRST_US_ << MIN(failures, DOUBLINGS_MAX_), MAX_US_);
	if (max_until_us)
		r->until_us = MIN(r->until_us, max_until_us);
	update_(e);
}

/* Takes back what a node has reported. Returns true if it had reported anything. */
bool bh__ejection_withdraw(BH__Ejection *e, uint64_t node_id)
{
	for (unsigned i = 0; i < e->count; i++) {
		if (e->report[i].node_id != node_id)
			continue;
		e->report[i] = e->report[--e->count];
		update_(e);
		return true;
	}
	return false;
}

/* Records that the engine has served a request: the next failure counts as the first one. An ejection in
 * force goes on, since an engine may serve some requests and fail others. */
void bh__ejection_note_success(BH__Ejection *e)
{
	for (unsigned i = 0; i < e->count; i++)
		e->report[i].failures = 0;
}

/* Returns the report of a node, a new one if there is none; the one that ends first makes room for it. */
static BH__EjectionReport *find_report_(BH__Ejection *e, uint64_t node_id)
{
	unsigned first = 0;

	for (unsigned i = 0; i < e->count; i++) {
		if (e->report[i].node_id == node_id)
			return &e->report[i];
		if (e->report[i].until_us < e->report[first].until_us)
			first = i;
	}
	if (e->count < BH__EJECTION_REPORTS_MAX)
		first = e->count++;
	e->report[first] = (BH__EjectionReport){.node_id = node_id};
	return &e->report[first];
}

/* Sets the end of the ejection to the last one that a report justifies. */
static void update_(BH__Ejection *e)
{
	e->until_us = 0;
	for (unsigned i = 0; i < e->count; i++)
		e->until_us = MAX(e->until_us, e->report[i].until_us);
}
