/* SPDX-License-Identifier: BSD-3-Clause */
/* The asks that wait for engines: who is tried when, what may be made late for whom, and who is refused. The
 * choice of engines is in placement.c. */
#include <math.h>
#include <string.h>
#include "planner_internal.h"

/* A request waits for engines that can take it without making a stream late; from this share of the time to
 * its first event on it may make some late, if they are worth less. */
#define WAIT_SHARE_TIGHT_ 0.05
#define WAIT_SHARE_ 0.6
#define FORCE_LEAD_MS_ 400 /* for the passes under way to end, and for the longer one to come */
/* Callers give a stream up that has not begun after the longest of these. A request that can't be in time any
 * more waits behind all others until shortly before. */
#define PATIENCE_US_ (2 * BH__SECOND_US)
#define PATIENCE_TARGETS_ 4
#define PATIENCE_GAPS_ 8
#define PATIENCE_SHARE_ 0.75
#define DEADLINE_SHARE_ 0.45
/* Share of the time to its first event in which a prompt is to have been read, as long as others would delay
 * it: the rest is for what the reckoning misses. */
#define DUE_SHARE_ 0.8
#define DEFAULT_FIRST_EVENT_US_ BH__SECOND_US
/* A long prompt that is late is read at length on engines that answer nothing, where prompts of the last
 * seconds that could be in time took less than this share of the engines: for this share of the time that its
 * caller waits, the rest being for the answer. That cut the worth of requests refused a second time
 * from 0.0133 to 0.0117 of all (96 days of the users' mix). */
#define LONG_WORK_US_ (3.0 * BH__SECOND_US)
#define CALM_SHARE_ 0.3
#define LATE_READ_SHARE_ 0.33
#define LOOKS_PER_PUMP_ 12 /* waiting asks that are tried each time */
#define RETRY_AFTER_MIN_MS_ 150
#define RETRY_AFTER_MAX_MS_ 2000

static uint64_t first_event_us_(const BH__Ask *ask);
static BH__WaitingAsk *find_waiting_(const BH__Planner *p, uint64_t ask_id);
static void push_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
static bool try_place_(BH__Planner *p, const BH__Ask *ask, bool late, uint64_t arrived_us, uint64_t now_us);
static bool has_engine_(const BH__Planner *p, const BH__Ask *ask);
static uint64_t limited_wait_us_(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
static uint64_t aside_wait_us_(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
static void note_long_work_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us);
static double idle_read_ms_(const BH__Planner *p, const BH__Ask *left, uint64_t now_us);
static bool may_force_(const BH__Planner *p, const BH__Ask *ask, uint64_t waited_us);
static bool force_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place);
static bool may_force_late_(const BH__Ask *ask, uint64_t waited_us);
static bool force_late_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place);
static uint64_t patience_us_(const BH__Ask *ask);
static bool is_late_(const BH__Planner *p, const BH__WaitingAsk *w, uint64_t now_us);
static void pump_some_(BH__Planner *p, bool late, uint64_t now_us);
static uint64_t soonest_free_us_(const BH__Planner *p);
static void refuse_(BH__Planner *p, const BH__Ask *ask, BH__Reason reason, uint64_t now_us);

static uint64_t first_event_us_(const BH__Ask *ask)
{
	return ask->first_event_us ? ask->first_event_us : DEFAULT_FIRST_EVENT_US_;
}

static BH__WaitingAsk *find_waiting_(const BH__Planner *p, uint64_t ask_id)
{
	for (guint i = 0; i < p->waiting->len; i++) {
		BH__WaitingAsk *w = g_ptr_array_index(p->waiting, i);
		if (w->ask.ask_id == ask_id)
			return w;
	}
	return NULL;
}

/* Takes an ask. One that comes a second time is told again what became of it. */
void bh__planner_process_ask(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	BH__PlacedRequest *known = g_hash_table_lookup(p->by_ask, &ask->ask_id);
	BH__WaitingAsk *waiting = find_waiting_(p, ask->ask_id);

	if (known) {
		p->port->grant(p->port, &known->grant);
		return;
	}
	if (waiting) { /* other engines may have asked for backoff by now */
		waiting->ask.backoff_count = ask->backoff_count;
		memcpy(waiting->ask.backoff, ask->backoff, sizeof ask->backoff);
		p->port->queued(p->port, ask);
		return;
	}
	if (ask->first_event_us > 1)
		note_long_work_(p, ask, now_us);
	if (try_place_(p, ask, false, now_us, now_us))
		return;
	push_(p, ask, now_us);
	p->counters.queued++;
	p->port->queued(p->port, ask);
}

static void push_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	BH__WaitingAsk *w = g_new0(BH__WaitingAsk, 1);
	guint at = 0;

	w->ask = *ask;
	w->arrived_us = now_us;
	while (at < p->waiting->len &&
		   ((BH__WaitingAsk *)g_ptr_array_index(p->waiting, at))->ask.prompt_tokens <= ask->prompt_tokens)
		at++;
	g_ptr_array_insert(p->waiting, (gint)at, w);
}

/* Drops an ask that waits. */
void bh__planner_process_withdraw(BH__Planner *p, uint64_t ask_id)
{
	BH__WaitingAsk *w = find_waiting_(p, ask_id);

	if (w)
		g_ptr_array_remove(p->waiting, w);
}

/* Grants or refuses an ask, or returns false if it is to wait. With `late` an ask that can't be in time any
 * more is looked at, otherwise one that can. */
static bool try_place_(BH__Planner *p, const BH__Ask *ask, bool late, uint64_t arrived_us, uint64_t now_us)
{
	BH__Placement place;
	BH__Ask left = *ask; /* with the times that are left now */
	uint64_t waited_us = now_us - arrived_us;
	uint64_t aim_us = first_event_us_(ask);
	bool found;

	if (waited_us >= ask->deadline_us) {
		refuse_(p, ask, BH__REASON_DEADLINE, now_us);
		return true;
	}
	left.deadline_us = ask->deadline_us - waited_us;
	left.first_event_us = late || waited_us >= aim_us ? 0 : aim_us - waited_us;
	found = bh__placement_find(&p->model, p->engines, &left, late ? idle_read_ms_(p, &left, now_us) : 0,
							   now_us, &place) ||
			(late ? may_force_late_(ask, waited_us) && force_late_(p, &left, now_us, &place)
				  : may_force_(p, ask, waited_us) && force_(p, &left, now_us, &place));
	if (found) {
		p->counters.late += place.read_end_us > arrived_us + aim_us;
		bh__planner_grant(p, ask, &place, arrived_us + (uint64_t)((double)aim_us * DUE_SHARE_),
						  arrived_us + aim_us, now_us);
		return true;
	}
	if (!has_engine_(p, ask))
		refuse_(p, ask, BH__REASON_NO_ENDPOINT, now_us);
	else if (waited_us + MAX(limited_wait_us_(p, ask, now_us), aside_wait_us_(p, ask, now_us)) >=
			 patience_us_(ask))
		refuse_(p, ask, BH__REASON_OVERLOAD, now_us);
	else
		return false;
	return true;
}

/* Returns true if there is an engine that is not leaving, and has not asked the ask's node for backoff. */
static bool has_engine_(const BH__Planner *p, const BH__Ask *ask)
{
	for (guint i = 0; i < p->engines->len; i++) {
		const BH__PassEngine *e = g_ptr_array_index(p->engines, i);
		if (!e->leaving && !bh__ask_backs_off_from(ask, e->endpoint_id))
			return true;
	}
	return false;
}

/* Returns how long an ask has to wait for engines that are all limited, after those that wait before it; 0 if
 * any engine is not. */
static uint64_t limited_wait_us_(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	double ahead = 1;
	double per_s = 0;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__PassEngine *e = g_ptr_array_index(p->engines, i);
		if (e->leaving)
			continue;
		if (!bh__endpoint_rate_is_limited(&e->rate, now_us))
			return 0;
		per_s += e->rate.requests.rate_per_s;
		ahead -= bh__bucket_get_level(&e->rate.requests, now_us);
	}
	for (guint i = 0; i < p->waiting->len; i++) {
		const BH__WaitingAsk *w = g_ptr_array_index(p->waiting, i);
		if (w->ask.ask_id == ask->ask_id || w->ask.prompt_tokens > ask->prompt_tokens)
			break;
		ahead++;
	}
	if (ahead <= 0 || per_s <= 0)
		return 0;
	return (uint64_t)(ahead / per_s * BH__SECOND_US);
}

/* Returns how long an ask has to wait for engines that are all set aside, those aside that want nothing of
 * its node; 0 if any engine is not. */
static uint64_t aside_wait_us_(const BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	uint64_t least_us = UINT64_MAX;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__PassEngine *e = g_ptr_array_index(p->engines, i);
		if (!e->leaving && !bh__ask_backs_off_from(ask, e->endpoint_id))
			least_us = MIN(least_us, e->set_aside_until_us);
	}
	return least_us != UINT64_MAX && least_us > now_us ? least_us - now_us : 0;
}

/* Notes a prompt that is to be in time, of which the long ones need many engines. */
static void note_long_work_(BH__Planner *p, const BH__Ask *ask, uint64_t now_us)
{
	p->long_work_ms *= exp(-(double)(now_us - p->long_work_us) / LONG_WORK_US_);
	p->long_work_us = now_us;
	if (!bh__placement_is_tight(ask->event_gap_us))
		p->long_work_ms += bh__engine_model_read_ms(&p->model, ask->prompt_tokens, 1);
}

/* Returns how long a prompt that is late may be read on an engine that answers nothing else: 0 while long
 * prompts that can be in time need the engines. */
static double idle_read_ms_(const BH__Planner *p, const BH__Ask *left, uint64_t now_us)
{
	double work_ms = p->long_work_ms * exp(-(double)(now_us - p->long_work_us) / LONG_WORK_US_);
	double engines_ms = LONG_WORK_US_ / 1000 * p->engines->len;

	return work_ms < engines_ms * CALM_SHARE_ ? (double)left->deadline_us / 1000 * LATE_READ_SHARE_ : 0;
}

/* Returns true if a request has waited so long that it may make others late: the longer it takes to read, the
 * sooner. */
static bool may_force_(const BH__Planner *p, const BH__Ask *ask, uint64_t waited_us)
{
	bool tight = bh__placement_is_tight(ask->event_gap_us);
	double read_ms = bh__engine_model_read_ms(&p->model, ask->prompt_tokens, BH__GRANT_MEMBERS_MAX);
	double aim_us = (double)first_event_us_(ask);
	double latest_us = tight ? aim_us : aim_us - (read_ms + FORCE_LEAD_MS_) * 1000;

	return (double)waited_us >= MIN(latest_us, aim_us * (tight ? WAIT_SHARE_TIGHT_ : WAIT_SHARE_));
}

/* Finds a place where a request is in time and makes less late than it is worth. */
static bool force_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place)
{
	double gain = bh__placement_value(left->prompt_tokens) * BH__LATE_LOSS;

	return bh__placement_force(&p->model, p->engines, left, now_us, place) &&
		   place->read_end_us <= now_us + left->first_event_us && place->damage < gain;
}

/* Returns true if a request that is late has waited for half as long as it may, and is a short one: engine
 * time is worth more to those that are in time, and late prompts of all lengths cost 0.03 of the worth (96
 * days of the users' mix). */
static bool may_force_late_(const BH__Ask *ask, uint64_t waited_us)
{
	return bh__placement_is_tight(ask->event_gap_us) && waited_us * 2 >= patience_us_(ask);
}

/* Finds a place where a request that is late makes less late than what it is still worth. */
static bool force_late_(BH__Planner *p, const BH__Ask *left, uint64_t now_us, BH__Placement *place)
{
	double gain = bh__placement_value(left->prompt_tokens) * (1 - BH__LATE_LOSS);

	return bh__placement_force(&p->model, p->engines, left, now_us, place) && place->damage < gain;
}

/* Returns how long a request that is late may wait for a place. */
static uint64_t patience_us_(const BH__Ask *ask)
{
	uint64_t us =
		MAX(PATIENCE_US_, MAX(first_event_us_(ask) * PATIENCE_TARGETS_, ask->event_gap_us * PATIENCE_GAPS_));

	return MIN((uint64_t)((double)us * PATIENCE_SHARE_),
			   (uint64_t)((double)ask->deadline_us * DEADLINE_SHARE_));
}

/* Returns when the first engine that does not leave may take a request, as far as is known; UINT64_MAX: there
 * is none. */
static uint64_t soonest_free_us_(const BH__Planner *p)
{
	uint64_t soonest_us = UINT64_MAX;

	for (guint i = 0; i < p->engines->len; i++) {
		const BH__PassEngine *e = g_ptr_array_index(p->engines, i);
		if (!e->leaving)
			soonest_us = MIN(soonest_us, MAX(e->clock.pass_end_us, e->set_aside_until_us));
	}
	return soonest_us;
}

static void refuse_(BH__Planner *p, const BH__Ask *ask, BH__Reason reason, uint64_t now_us)
{
	uint64_t soonest_us = soonest_free_us_(p);
	uint64_t known_us = MAX(limited_wait_us_(p, ask, now_us), aside_wait_us_(p, ask, now_us));
	uint64_t retry_after_ms;

	if (soonest_us == UINT64_MAX)
		retry_after_ms = RETRY_AFTER_MAX_MS_ / 4;
	else
		retry_after_ms = soonest_us > now_us ? (soonest_us - now_us) / BH__MS_US : 0;
	retry_after_ms = CLAMP(retry_after_ms, RETRY_AFTER_MIN_MS_, RETRY_AFTER_MAX_MS_);
	p->counters.refusals++;
	p->port->refuse(p->port, ask, reason, MAX(retry_after_ms, known_us / BH__MS_US));
}

/* Tries the asks that wait, after something has changed: first those that can be in time. */
void bh__planner_pump(BH__Planner *p, uint64_t now_us)
{
	if (p->pumping) /* a grant's receiver may call back */
		return;
	p->pumping = true;
	pump_some_(p, false, now_us);
	pump_some_(p, true, now_us);
	p->pumping = false;
}

static void pump_some_(BH__Planner *p, bool late, uint64_t now_us)
{
	unsigned looks = 0;
	guint i = 0;

	while (i < p->waiting->len && looks < LOOKS_PER_PUMP_) {
		BH__WaitingAsk w = *(BH__WaitingAsk *)g_ptr_array_index(p->waiting, i);
		if (is_late_(p, &w, now_us) != late) {
			i++;
			continue;
		}
		looks++;
		if (try_place_(p, &w.ask, late, w.arrived_us, now_us))
			bh__planner_process_withdraw(p, w.ask.ask_id);
		else
			i++;
	}
}

/* Returns true if the first event can't be in time any more, wherever the request goes. */
static bool is_late_(const BH__Planner *p, const BH__WaitingAsk *w, uint64_t now_us)
{
	double least_ms = bh__engine_model_read_ms(&p->model, w->ask.prompt_tokens, BH__GRANT_MEMBERS_MAX);

	return now_us + (uint64_t)(least_ms * 1000) >= w->arrived_us + first_event_us_(&w->ask);
}

/* Grants what time has made possible and refuses what it has made impossible. To be called often while
 * bh__planner_is_waiting(). */
void bh__planner_process_tick(BH__Planner *p, uint64_t now_us)
{
	bh__planner_pump(p, now_us);
}

/* Refuses all that waits. */
void bh__planner_refuse_all(BH__Planner *p, BH__Reason reason)
{
	while (p->waiting->len) {
		BH__Ask ask = ((BH__WaitingAsk *)g_ptr_array_index(p->waiting, 0))->ask;
		g_ptr_array_remove_index(p->waiting, 0);
		p->port->refuse(p->port, &ask, reason, RETRY_AFTER_MIN_MS_);
	}
}

bool bh__planner_is_waiting(const BH__Planner *p)
{
	return p->waiting->len > 0;
}

/* Drops the asks of a node that is gone. */
void bh__planner_drop_asks(BH__Planner *p, uint64_t node_id)
{
	for (guint i = p->waiting->len; i-- > 0;)
		if (((BH__WaitingAsk *)g_ptr_array_index(p->waiting, i))->ask.node_id == node_id)
			g_ptr_array_remove_index(p->waiting, i);
}
