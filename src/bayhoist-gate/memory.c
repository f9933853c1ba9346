/* SPDX-License-Identifier: BSD-3-Clause */
/* Memory that is set aside on the engines which help hold a long prompt. It is held for a short time and
 * renewed while the request lives, so that what a lost node held comes free by itself; and it is freed as
 * soon as it is not needed, also where the answer to setting it aside comes late. It is not renewed while
 * nothing shows that the engine which answers lives: one that fell silent, with all bytes acknowledged, had
 * 407,595 tokens held for it on another for 8.1 s, to its caller's time limit. */
#include "gate.h"

#include <string.h>
#include "clock.h"
#include "dial.h"
#include "log.h"

#define HOLD_MS 3500  /* that an engine keeps memory without a renewal */
#define RENEW_MS 1200 /* between renewals: two may be lost */
/* An engine that was heard so lately is not looked at: memory then comes free 3.9 s after its last word,
 * within the 4 s that the users allow. */
#define HEARD_MS 400
#define PATIENCE_MS 500 /* for an engine's answer */
#define ID_LEN 64

/* Memory on one engine. It outlives its hold while an answer is awaited. */
typedef struct {
	Gate *gate;
	MemoryHold *hold; /* NULL: not wanted any more */
	uint64_t endpoint_id;
	uint64_t incarnation; /* of the endpoint */
	char address[BH__ADDRESS_LEN];
	char id[ID_LEN];
	uint64_t tokens;
	unsigned awaited; /* answers that are still to come */
	bool held;
} Part;

struct MemoryHold {
	Gate *gate;
	unsigned count;
	Part *part[BH__GRANT_MEMBERS_MAX];
	uint64_t home; /* endpoint that answers */
	uint64_t received_us;
	bool home_is_silent; /* a look at it was in vain, and it was not heard since */
	Dial *dial;          /* to it; NULL: none */
	struct event *timer;
	bool told;
	MemoryDone done;
	void *ctx;
};

static void write_id_(char out[ID_LEN], const BH__Grant *grant, unsigned index);
static EndpointRef ref_(const Part *p);
static void reserve_(Part *p);
static void on_reserved_(void *part, bool held);
static void free_(const Part *p);
static void renew_(MemoryHold *h);
static void look_at_home_(MemoryHold *h);
static void on_dialled_(void *hold, DialEnd end);
static bool is_there_(const Part *p);
static void check_(MemoryHold *h, bool failed);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void set_timer_(MemoryHold *h, uint64_t ms);

/* The id names grant and place, and through the grant the node's life. */
static void write_id_(char out[ID_LEN], const BH__Grant *grant, unsigned index)
{
	g_snprintf(out, ID_LEN, "bh-%016" G_GINT64_MODIFIER "x-%u", grant->grant_id, index);
}

/* Sets aside what a grant takes on its helpers. `done` is called once, from the loop. */
MemoryHold *memory_hold_new(Gate *g, const BH__Grant *grant, MemoryDone done, void *ctx)
{
	MemoryHold *h = g_new0(MemoryHold, 1);

	h->gate = g;
	h->done = done;
	h->ctx = ctx;
	h->home = grant->member[0].endpoint_id;
	h->received_us = clock_now_us();
	h->timer = evtimer_new(g->base, on_timer_, h);
	for (unsigned i = 1; i < grant->member_count; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, grant->member[i].endpoint_id);
		Part *p;
		if (!grant->member[i].kv_bytes || !e)
			continue;
		p = g_new0(Part, 1);
		p->gate = g;
		p->hold = h;
		p->endpoint_id = e->endpoint_id;
		p->incarnation = e->incarnation;
		p->tokens = grant->member[i].kv_bytes;
		g_strlcpy(p->address, e->entry.address, sizeof p->address);
		write_id_(p->id, grant, i);
		h->part[h->count++] = p;
	}
	for (unsigned i = 0; i < h->count; i++)
		reserve_(h->part[i]);
	set_timer_(h, PATIENCE_MS);
	return h;
}

/* Returns the name under which an engine holds memory, or NULL. */
const char *memory_hold_get_id(const MemoryHold *h, uint64_t endpoint_id)
{
	for (unsigned i = 0; i < h->count; i++)
		if (h->part[i]->endpoint_id == endpoint_id)
			return h->part[i]->id;
	return NULL;
}

static EndpointRef ref_(const Part *p)
{
	return (EndpointRef){.address = p->address, .endpoint_id = p->endpoint_id, .incarnation = p->incarnation};
}

static void reserve_(Part *p)
{
	EndpointRef to = ref_(p);

	p->awaited++;
	p->gate->port->reserve(p->gate, &to, p->id, p->tokens, HOLD_MS, on_reserved_, p);
}

static void on_reserved_(void *part, bool held)
{
	Part *p = part;

	p->awaited--;
	p->held |= held;
	if (p->hold) {
		check_(p->hold, !held && !p->held);
		return;
	}
	free_(p); /* it may have been set aside after it was freed */
	if (!p->awaited)
		g_free(p);
}

static void free_(const Part *p)
{
	EndpointRef to = ref_(p);

	p->gate->port->free_memory(p->gate, &to, p->id);
}

/* Tells the owner once all is held or something is not to be had. */
static void check_(MemoryHold *h, bool failed)
{
	bool all = true;

	for (unsigned i = 0; i < h->count; i++)
		all &= h->part[i]->held;
	if (h->told || (!all && !failed))
		return;
	h->told = true;
	set_timer_(h, RENEW_MS);
	h->done(h->ctx, all);
}

static void set_timer_(MemoryHold *h, uint64_t ms)
{
	struct timeval tv = {(time_t)(ms / 1000), (suseconds_t)(ms % 1000 * 1000)};

	evtimer_add(h->timer, &tv);
}

static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	MemoryHold *h = arg;

	(void)fd;
	(void)what;
	if (!h->told) {
		log_event("memory", "what=not-held cause=\"no answer in %u ms\" id=%s", PATIENCE_MS,
				  h->count ? h->part[0]->id : "");
		check_(h, true);
		return;
	}
	if (clock_now_us() < h->received_us + HEARD_MS * BH__MS_US)
		renew_(h);
	else
		look_at_home_(h);
	set_timer_(h, RENEW_MS);
}

static void renew_(MemoryHold *h)
{
	for (unsigned i = 0; i < h->count; i++)
		if (is_there_(h->part[i]))
			reserve_(h->part[i]);
}

/* Looks whether the engine that answers still listens: before its first event it may say nothing for long.
 * After a look in vain only its own word counts: its address may be another endpoint's by the next look,
 * which held 203,717 tokens for 7.0 s. */
static void look_at_home_(MemoryHold *h)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(h->gate->registry, h->home);

	if (h->dial || h->home_is_silent || !h->count)
		return;
	if (e)
		h->dial = dial_start(h->gate->base, e->entry.address, on_dialled_, h);
	else
		log_event("memory", "what=not-renewed cause=\"its engine is gone\" id=%s", h->part[0]->id);
}

static void on_dialled_(void *hold, DialEnd end)
{
	MemoryHold *h = hold;

	h->dial = NULL;
	h->home_is_silent = end != DIAL_CONNECTED;
	if (end == DIAL_CONNECTED)
		renew_(h);
	else
		log_event("memory", "what=not-renewed cause=\"its engine does not answer\" id=%s", h->part[0]->id);
}

/* The engine that answers has sent something. */
void memory_hold_note_heard(MemoryHold *h)
{
	if (!h)
		return;
	h->received_us = clock_now_us();
	h->home_is_silent = false;
}

/* Returns false if the engine has started again: it has forgotten the memory, and to renew that would set
 * aside what nobody uses. */
static bool is_there_(const Part *p)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(p->gate->registry, p->endpoint_id);

	return !e || e->incarnation == p->incarnation;
}

/* Frees the memory everywhere. `h` may be NULL. */
void memory_hold_delete(MemoryHold *h)
{
	if (!h)
		return;
	for (unsigned i = 0; i < h->count; i++) {
		Part *p = h->part[i];
		p->hold = NULL;
		free_(p);
		if (!p->awaited)
			g_free(p);
	}
	if (h->dial)
		dial_cancel(h->dial);
	event_free(h->timer);
	g_free(h);
}

/* Frees what a lost node held under a grant. */
void memory_free_abandoned(Gate *g, const BH__Grant *grant)
{
	for (unsigned i = 1; i < grant->member_count; i++) {
		const BH__RegisteredEndpoint *e = bh__registry_find(g->registry, grant->member[i].endpoint_id);
		EndpointRef to;
		char id[ID_LEN];
		if (!grant->member[i].kv_bytes || !e)
			continue;
		to = (EndpointRef){
			.address = e->entry.address, .endpoint_id = e->endpoint_id, .incarnation = e->incarnation};
		write_id_(id, grant, i);
		log_event("memory", "what=freed cause=\"its node is gone\" endpoint=%s id=%s", e->entry.id, id);
		g->port->free_memory(g, &to, id);
	}
}
