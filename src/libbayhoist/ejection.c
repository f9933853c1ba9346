/* SPDX-License-Identifier: BSD-3-Clause */
#include "ejection.h"

#include <glib.h>
#include <string.h>

/* Duration of an engine's first ejection after a failure; it doubles with each consecutive failure up to the
 * maximum. */
#define FIRST_US_ (600 * BH__MS_US)
#define MAX_US_ (4 * BH__SECOND_US)
#define DOUBLINGS_MAX_ 8u
/* Failures within this time after a request for the engine's report belong to the one that the request was
 * for: nodes report the same event one after another, and streams that break together one by one. */
#define SAME_EVENT_US_ (50 * BH__MS_US)
/* Time in which an engine that lives answers. A connection that is set up at the second attempt, a second
 * later, may reach a process that has been started since the failure. */
#define ANSWER_WAIT_US_ (200 * BH__MS_US)

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
	e->failed_us = now_us;
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

/* Returns true if the engine has answered the request for its report that followed its last failure. It lives
 * then, though it may fail further requests. */
bool bh__ejection_is_alive(const BH__Ejection *e)
{
	return e->heard_us && e->failed_us <= e->heard_us + SAME_EVENT_US_;
}

/* Returns true if the engine should be asked for its report now, at a failure, in order to learn whether it
 * lives, and records that it is asked. It is asked once: an engine that does not answer has ended, and what
 * answers later has been started since, to which the failure may happen again. */
bool bh__ejection_take_ask(BH__Ejection *e, uint64_t now_us)
{
	if (e->asked_us && e->failed_us <= e->asked_us + SAME_EVENT_US_)
		return false;
	e->asked_us = now_us;
	return true;
}

/* Returns for how long it is worth to wait for evidence that the engine lives; 0: there is some, there will
 * be none, or none came in time. */
uint64_t bh__ejection_get_answer_wait_us(const BH__Ejection *e, uint64_t now_us)
{
	bool is_pending = e->asked_us && e->failed_us <= e->asked_us + SAME_EVENT_US_ &&
					  MAX(e->heard_us, e->unheard_us) < e->asked_us;
	uint64_t until_us = e->asked_us + ANSWER_WAIT_US_;

	return is_pending && now_us < until_us ? until_us - now_us : 0;
}

/* Records whether the engine has answered a request for its report that was sent at `asked_us`. Requests for
 * other reasons than the last failure, and answers that took long, do not count. */
void bh__ejection_note_answer(BH__Ejection *e, uint64_t asked_us, bool answered, uint64_t now_us)
{
	if (asked_us > e->asked_us + SAME_EVENT_US_ || now_us > asked_us + ANSWER_WAIT_US_)
		return;
	if (answered)
		e->heard_us = MAX(e->heard_us, asked_us);
	else
		e->unheard_us = MAX(e->unheard_us, asked_us);
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
