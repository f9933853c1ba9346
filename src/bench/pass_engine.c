/* SPDX-License-Identifier: BSD-3-Clause */
/* The model engines. A pass plays `steps_per_iteration` token steps if a stream is written, else one; beside
 * each step at most `tokens_per_step` prompt tokens are read: parts for other engines' requests first, and of
 * those the one that came last; then the engine's own, in the order in which they came (measured on the
 * users' engines, see docs/MEASUREMENTS.md). What a pass has read, and the events that it has written, come
 * out at its end. */
#include "pass_engine.h"

#include <string.h>

/* A part of a prompt that an engine has to read. */
typedef struct {
	PassRequest *request;
	double tokens;
	double pairs_ms; /* on top of the time for the tokens */
	bool own;        /* of a request that this engine answers */
	bool done;
} Part;

typedef struct {
	GPtrArray *parts;   /* Part, in the order of arrival */
	GPtrArray *streams; /* PassRequest */
	uint64_t end_us;    /* of the pass under way; 0: idle */
} PassEngine;

struct PassFleet {
	BH__EngineModel model;
	unsigned count;
	PassEngine *engine;
	PassEvent first;
	PassEvent done;
	void *ctx;
};

static void begin_pass_(PassFleet *f, PassEngine *e, uint64_t now_us);
static double read_(PassFleet *f, PassEngine *e, unsigned steps);
static void end_pass_(PassFleet *f, PassEngine *e, uint64_t now_us);
static void write_(PassFleet *f, PassEngine *e, uint64_t now_us);
static void finish_parts_(PassFleet *f, PassEngine *e, uint64_t now_us);

/* Returns idle engines. `first` and `done` tell of requests' first and last events. */
PassFleet *pass_fleet_new(const BH__EngineModel *model, unsigned engines, PassEvent first, PassEvent done,
						  void *ctx)
{
	PassFleet *f = g_new0(PassFleet, 1);

	f->model = *model;
	f->count = engines;
	f->engine = g_new0(PassEngine, engines);
	f->first = first;
	f->done = done;
	f->ctx = ctx;
	for (unsigned i = 0; i < engines; i++) {
		f->engine[i].parts = g_ptr_array_new_with_free_func(g_free);
		f->engine[i].streams = g_ptr_array_new();
	}
	return f;
}

void pass_fleet_delete(PassFleet *f)
{
	for (unsigned i = 0; i < f->count; i++) {
		g_ptr_array_unref(f->engine[i].parts);
		g_ptr_array_unref(f->engine[i].streams);
	}
	g_free(f->engine);
	g_free(f);
}

/* Gives a request to engines, of which the first is to answer. */
void pass_fleet_start(PassFleet *f, PassRequest *r, const unsigned *engine, unsigned count, uint64_t now_us)
{
	double pairs_ms = bh__engine_model_prefill_ms(&f->model, r->prompt_tokens, count) -
					  (double)r->prompt_tokens / f->model.prefill_tokens_per_ms / count;

	r->home = engine[0];
	r->parts = count;
	r->parts_left = count;
	r->events_left = r->events;
	for (unsigned i = 0; i < count; i++) {
		Part *p = g_new0(Part, 1);
		PassEngine *e = &f->engine[engine[i]];
		p->request = r;
		p->tokens = (double)r->prompt_tokens / count;
		p->pairs_ms = pairs_ms;
		p->own = i == 0;
		g_ptr_array_add(e->parts, p);
		if (!e->end_us)
			begin_pass_(f, e, now_us);
	}
}

static void begin_pass_(PassFleet *f, PassEngine *e, uint64_t now_us)
{
	unsigned streams = e->streams->len;
	unsigned steps = streams ? f->model.steps_per_iteration : 1;
	uint64_t context = 0;
	double ms;

	e->end_us = 0;
	if (!streams && !e->parts->len)
		return;
	for (unsigned i = 0; i < streams; i++) {
		const PassRequest *r = g_ptr_array_index(e->streams, i);
		context += r->prompt_tokens / r->parts;
	}
	ms = steps * bh__engine_model_step_ms(&f->model, streams, context) + read_(f, e, steps);
	e->end_us = now_us + (uint64_t)(ms * 1000) + 1;
}

/* Reads in a pass what its steps allow. Returns the time that takes, in ms. */
static double read_(PassFleet *f, PassEngine *e, unsigned steps)
{
	double budget = (double)steps * f->model.tokens_per_step;
	double ms = 0;

	for (int own = 0; own <= 1; own++) {
		for (guint i = 0; i < e->parts->len && budget > 0; i++) {
			Part *p = g_ptr_array_index(e->parts, own ? i : e->parts->len - 1 - i);
			double take = MIN(budget, p->tokens);
			double pairs_ms;
			if (p->own != (own == 1) || p->done)
				continue;
			pairs_ms = p->pairs_ms * take / p->tokens;
			ms += take / f->model.prefill_tokens_per_ms + pairs_ms;
			budget -= take;
			p->pairs_ms -= pairs_ms;
			p->tokens -= take;
			p->done = p->tokens < 1;
		}
	}
	return ms;
}

/* Returns when the next pass ends; UINT64_MAX: all engines are idle. */
uint64_t pass_fleet_get_next_us(const PassFleet *f)
{
	uint64_t next_us = UINT64_MAX;

	for (unsigned i = 0; i < f->count; i++)
		if (f->engine[i].end_us)
			next_us = MIN(next_us, f->engine[i].end_us);
	return next_us;
}

/* Ends the passes that are over by `now_us`, and begins the next. */
void pass_fleet_process(PassFleet *f, uint64_t now_us)
{
	for (unsigned i = 0; i < f->count; i++)
		if (f->engine[i].end_us && f->engine[i].end_us <= now_us)
			end_pass_(f, &f->engine[i], now_us);
}

static void end_pass_(PassFleet *f, PassEngine *e, uint64_t now_us)
{
	write_(f, e, now_us);
	finish_parts_(f, e, now_us);
	begin_pass_(f, e, now_us);
}

static void write_(PassFleet *f, PassEngine *e, uint64_t now_us)
{
	for (guint i = e->streams->len; i-- > 0;) {
		PassRequest *r = g_ptr_array_index(e->streams, i);
		r->pause_us = MAX(r->pause_us, now_us - r->last_us);
		r->last_us = now_us;
		if (--r->events_left)
			continue;
		r->done_us = now_us;
		g_ptr_array_remove_index_fast(e->streams, i);
		f->done(f->ctx, r, now_us);
	}
}

/* Prompts of which the last part has been read give their first event. */
static void finish_parts_(PassFleet *f, PassEngine *e, uint64_t now_us)
{
	for (guint i = e->parts->len; i-- > 0;) {
		Part *p = g_ptr_array_index(e->parts, i);
		PassRequest *r = p->request;
		PassEngine *home = &f->engine[r->home];
		if (!p->done)
			continue;
		g_ptr_array_remove_index(e->parts, i);
		if (--r->parts_left)
			continue;
		r->first_us = now_us;
		r->last_us = now_us;
		g_ptr_array_add(home->streams, r);
		f->first(f->ctx, r, now_us);
		if (!home->end_us && home != e)
			begin_pass_(f, home, now_us);
	}
}

/* Returns the requests that an engine reads or writes. */
unsigned pass_fleet_get_load(const PassFleet *f, unsigned engine)
{
	return f->engine[engine].streams->len + f->engine[engine].parts->len;
}

/* Returns how long an engine has to read, in ms. */
double pass_fleet_get_backlog_ms(const PassFleet *f, unsigned engine)
{
	const PassEngine *e = &f->engine[engine];
	double ms = 0;

	for (guint i = 0; i < e->parts->len; i++) {
		const Part *p = g_ptr_array_index(e->parts, i);
		ms += p->tokens / f->model.prefill_tokens_per_ms + p->pairs_ms;
	}
	return ms;
}
