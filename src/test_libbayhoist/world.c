/* SPDX-License-Identifier: BSD-3-Clause */
/* The fakes at the ports of the nodes under test. */
#include "world.h"

#include <stdlib.h>
#include <string.h>
#include "bayhoist/hash.h"

#define ENGINE_TOKENS_PER_US 0.2
#define ENGINE_TOKEN_US (20 * BH__MS_US)
#define CRASH_US (10 * BH__MS_US)    /* after a request that crashes its engine began to run there */
#define RESTART_US (600 * BH__MS_US) /* of an engine that such a request crashed */
#define ANSWER_TOKENS 8
#define CUT_AFTER 3

/* Something that happens later. */
typedef struct Event {
	uint64_t at_us;
	void (*run)(World *w, struct Event *e);
	unsigned node;
	uint64_t life;
	char *data; /* an encoded message */
	size_t len;
	unsigned from;
	WorldEngine *engine;
	uint64_t engine_boot;
	BH__AttemptCall call;
	BH__StoreReply reply;
	BH__AttemptEnd end;
	uint64_t number;
} Event;

typedef struct {
	char *value;
	uint64_t mod_revision;
	int64_t lease_id;
} StoreEntry;

/* What a fake engine holds of one attempt. */
typedef struct {
	uint64_t id;
	unsigned node;
	uint64_t life;
	uint64_t owner_node;
	uint64_t owner_boot;
	BH__AttemptCall call;
	uint64_t kv_bytes;
	uint64_t ready_us; /* end of prefill */
	uint64_t sent;
	uint64_t next_us;
	bool listening;
	bool is_segment;
	bool done;
	bool cut;
	uint64_t tag_id;
} Attempt;

static WorldNode *node_of_(BH__NodePorts *ports)
{
	return (WorldNode *)ports;
}

static void push_(World *w, Event *e, uint64_t delay_us)
{
	GList *at = w->events.tail;

	e->at_us = w->now_us + delay_us;
	while (at && ((Event *)at->data)->at_us > e->at_us)
		at = at->prev;
	if (at)
		g_queue_insert_after(&w->events, at, e);
	else
		g_queue_push_head(&w->events, e);
}

static Event *event_(void (*run)(World *, Event *), const WorldNode *n)
{
	Event *e = g_new0(Event, 1);
	e->run = run;
	e->node = n->index;
	e->life = n->lives;
	return e;
}

static BH__Node *target_(World *w, const Event *e)
{
	WorldNode *n = &w->node[e->node];
	return n->node && n->lives == e->life ? n->node : NULL;
}

/* Puts an event off while its node is paused. */
static bool put_off_(World *w, Event *e)
{
	if (!w->node[e->node].paused)
		return false;
	Event *copy = g_memdup2(e, sizeof *e);
	e->data = NULL;
	push_(w, copy, WORLD_TICK_US);
	return true;
}

static void restart_(World *w, Event *e);
static WorldEngine *engine_by_id_(World *w, uint64_t id);

/* Peers. */

static void deliver_(World *w, Event *e)
{
	BH__Node *node = w->node[e->node].node;
	BH__Message m;

	if (!node || w->cut[e->from][e->node] || put_off_(w, e))
		return;
	if (bh__message_decode(&m, e->data, e->len, NULL))
		bh__node_process_message(node, &m, w->now_us);
	bh__message_finish(&m);
}

static void refused_(World *w, Event *e)
{
	BH__Node *node = target_(w, e);
	char address[BH__ADDRESS_LEN];

	g_snprintf(address, sizeof address, "peer:%u", e->from + 1);
	if (node && !put_off_(w, e))
		bh__node_process_unreachable(node, address, w->now_us);
}

static void on_send_(BH__NodePorts *ports, const char *address, const BH__Message *m)
{
	WorldNode *n = node_of_(ports);
	World *w = n->world;
	unsigned to = (unsigned)atoi(address + strlen("peer:")) - 1;
	bool refused = to >= w->node_count || !w->node[to].node;
	Event *e = event_(refused ? refused_ : deliver_, n);

	if (to >= w->node_count || n->dying) {
		g_free(e);
		return;
	}
	e->from = refused ? to : n->index;
	if (!refused) {
		e->node = to;
		e->data = bh__message_encode(m, &e->len);
	}
	push_(w, e, w->latency_us);
}

/* Engines. */

static void tell_end_(World *w, Event *e)
{
	BH__Node *node = target_(w, e);
	if (node && !put_off_(w, e))
		bh__node_process_attempt_end(node, e->call.attempt_id, e->call.segment, e->end, NULL, w->now_us);
}

static void end_later_(World *w, unsigned node, uint64_t life, const BH__AttemptCall *call,
					   BH__AttemptEnd end)
{
	Event *e = event_(tell_end_, &w->node[node]);
	e->life = life;
	e->call = *call;
	e->end = end;
	push_(w, e, w->latency_us);
}

static const char *tag_of_(World *w, uint64_t request_id)
{
	for (guint i = 0; i < w->requests->len; i++) {
		const WorldRequest *r = g_ptr_array_index(w->requests, i);
		if (r->id == request_id)
			return r->prompt_tag;
	}
	return "";
}

static void crash_(World *w, Event *e)
{
	if (!e->engine->dead) {
		Event *back = event_(restart_, &w->node[e->node]);
		back->engine = e->engine;
		push_(w, back, RESTART_US);
		world_kill_engine(w, e->engine);
	}
}

static void restart_(World *w, Event *e)
{
	world_start_engine(w, e->engine);
}

static void tell_look_(World *w, Event *e)
{
	BH__Node *node = target_(w, e);

	if (node && !put_off_(w, e))
		bh__node_process_endpoint_probe(
			node, e->engine->id, e->engine->dead ? BH__CRASH_CONFIRMED : BH__CRASH_DISPROVEN, w->now_us);
}

static void on_look_(BH__NodePorts *ports, uint64_t endpoint_id)
{
	WorldNode *n = node_of_(ports);
	Event *e = event_(tell_look_, n);

	e->engine = engine_by_id_(n->world, endpoint_id);
	push_(n->world, e, n->world->latency_us);
}

static void begin_attempt_(World *w, Event *e)
{
	WorldEngine *en = e->engine;
	Attempt *a;
	uint64_t tokens = e->call.token_count;
	uint64_t kv = tokens + (e->call.kind == BH__CALL_SEGMENT ? 0 : ANSWER_TOKENS);

	if (en->dead) {
		end_later_(w, e->node, e->life, &e->call, BH__ATTEMPT_UNREACHABLE);
		return;
	}
	if (e->call.kind == BH__CALL_RESUME) {
		a = g_hash_table_lookup(en->attempts, &e->call.attempt_id);
		if (!a) {
			end_later_(w, e->node, e->life, &e->call, BH__ATTEMPT_UNKNOWN);
			return;
		}
		a->listening = true;
		a->call = e->call;
		a->sent = e->call.answer_chunk_offset;
		return;
	}
	if (en->refuse || world_get_held(en) + kv > en->kv_bytes) {
		en->refuse -= en->refuse > 0;
		end_later_(w, e->node, e->life, &e->call, BH__ATTEMPT_REFUSED);
		return;
	}
	a = g_new0(Attempt, 1);
	a->id = e->call.attempt_id;
	a->node = e->node;
	a->life = e->life;
	a->owner_node = bh__hash_name(w->node[e->node].name);
	a->owner_boot = e->number;
	a->call = e->call;
	a->kv_bytes = kv;
	a->ready_us = w->now_us + (uint64_t)((double)tokens / ENGINE_TOKENS_PER_US);
	a->next_us = a->ready_us;
	a->sent = e->call.answer_chunk_offset;
	a->listening = true;
	a->is_segment = e->call.kind == BH__CALL_SEGMENT;
	if (!a->is_segment) {
		const char *tag = tag_of_(w, e->call.request_id);
		g_hash_table_insert(w->runs, g_strdup(tag), GUINT_TO_POINTER(world_get_runs(w, tag) + 1));
		a->cut = en->cut > 0;
		en->cut -= en->cut > 0;
		en->new_work++;
		if (w->crash_tag[0] && !strcmp(tag, w->crash_tag)) {
			Event *crash = event_(crash_, &w->node[e->node]);
			crash->engine = en;
			push_(w, crash, CRASH_US);
		}
	}
	g_hash_table_insert(en->attempts, &a->id, a);
}

static WorldEngine *engine_by_id_(World *w, uint64_t id)
{
	for (unsigned i = 0; i < w->engine_count; i++)
		if (w->engine[i].id == id)
			return &w->engine[i];
	return NULL;
}

static void on_attempt_start_(BH__NodePorts *ports, const BH__AttemptCall *call)
{
	WorldNode *n = node_of_(ports);
	Event *e = event_(begin_attempt_, n);

	e->engine = engine_by_id_(n->world, call->endpoint_id);
	e->call = *call;
	e->number = bh__members_get_self(bh__node_get_members(n->node))->boot_id;
	push_(n->world, e, n->world->latency_us);
}

static void cancel_attempt_(World *w, Event *e)
{
	(void)w;
	if (!e->engine->dead)
		g_hash_table_remove(e->engine->attempts, &e->number);
}

static void on_attempt_cancel_(BH__NodePorts *ports, uint64_t attempt_id, uint64_t endpoint_id)
{
	WorldNode *n = node_of_(ports);
	World *w = n->world;

	if (n->dying)
		return;
	for (unsigned i = 0; i < w->engine_count; i++) { /* stop listening */
		Attempt *a = g_hash_table_lookup(w->engine[i].attempts, &attempt_id);
		if (a && a->node == n->index)
			a->listening = false;
	}
	if (endpoint_id != BH__NO_ENDPOINT) {
		Event *e = event_(cancel_attempt_, n);
		e->engine = engine_by_id_(w, endpoint_id);
		e->number = attempt_id;
		push_(w, e, w->latency_us);
	}
}

static void tell_piece_(World *w, Event *e)
{
	BH__Node *node = target_(w, e);
	char text[64];

	if (!node || put_off_(w, e))
		return;
	g_snprintf(text, sizeof text, "%s.%u", tag_of_(w, e->call.request_id), (unsigned)e->number);
	bh__node_process_answer_chunk(node, e->call.attempt_id, e->number, text, strlen(text), w->now_us);
}

static void send_piece_(World *w, const Attempt *a, uint64_t attempt_id, uint64_t offset)
{
	Event *e = event_(tell_piece_, &w->node[a->node]);
	e->life = a->life;
	e->call = a->call;
	e->call.attempt_id = attempt_id;
	e->number = offset;
	push_(w, e, w->latency_us);
}

/* Moves one attempt on. Returns true if it is over. */
static bool step_attempt_(World *w, WorldEngine *en, Attempt *a)
{
	if (w->now_us < a->ready_us || a->done)
		return false;
	if (a->is_segment) {
		a->done = true;
		end_later_(w, a->node, a->life, &a->call, BH__ATTEMPT_DONE);
		return false; /* held until cancelled */
	}
	while (a->sent < ANSWER_TOKENS && w->now_us >= a->next_us && a->listening) {
		if (en->cross) {
			en->cross--;
			send_piece_(w, a, a->id ^ 1, a->sent);
			send_piece_(w, a, a->id, a->sent);
		}
		send_piece_(w, a, a->id, a->sent);
		a->sent++;
		a->next_us += ENGINE_TOKEN_US;
		if (a->cut && a->sent == CUT_AFTER) {
			a->cut = false;
			a->listening = false;
			end_later_(w, a->node, a->life, &a->call, BH__ATTEMPT_BROKEN);
			return false;
		}
	}
	if (a->sent < ANSWER_TOKENS || !a->listening)
		return false;
	end_later_(w, a->node, a->life, &a->call, BH__ATTEMPT_DONE);
	return true;
}

static void step_engine_(World *w, WorldEngine *en)
{
	GList *all = g_hash_table_get_values(en->attempts);
	for (GList *it = all; it; it = it->next) {
		Attempt *a = it->data;
		if (step_attempt_(w, en, a))
			g_hash_table_remove(en->attempts, &a->id);
	}
	g_list_free(all);
}

uint64_t world_get_held(const WorldEngine *en)
{
	uint64_t sum = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, en->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		sum += ((const Attempt *)value)->kv_bytes;
	return sum;
}

static void fill_report_(WorldEngine *en)
{
	GHashTableIter it;
	gpointer value;

	g_array_set_size(en->last_attempts, 0);
	g_hash_table_iter_init(&it, en->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Attempt *a = value;
		BH__ReportedAttempt r = {a->id, a->owner_node, a->owner_boot, a->kv_bytes};
		g_array_append_val(en->last_attempts, r);
	}
	en->last_report = (BH__LoadReport){.endpoint_id = en->id,
									   .reachable = true,
									   .boot_id = en->boot_id,
									   .kv_total_bytes = en->kv_bytes,
									   .kv_used_bytes = world_get_held(en),
									   .prefill_tokens_per_s = (uint64_t)(ENGINE_TOKENS_PER_US * 1e6),
									   .token_us = ENGINE_TOKEN_US};
}

static void answer_poll_(World *w, Event *e)
{
	BH__Node *node = target_(w, e);
	WorldEngine *en = e->engine;
	const char *loaded[] = {en->loaded[0] ? en->loaded : NULL, NULL};
	BH__LoadReport r = {.endpoint_id = en->id};
	BH__CacheEvent cache = {BH__CACHE_ADDED, 77};

	if (!node || put_off_(w, e))
		return;
	if (!en->dead) {
		if (!en->stale_reports)
			fill_report_(en);
		r = en->last_report;
		r.has_attempts = e->number;
		r.attempt = (const BH__ReportedAttempt *)(void *)en->last_attempts->data;
		r.attempt_count = r.has_attempts ? en->last_attempts->len : 0;
		if (en->gap) { /* an event far ahead of the last one */
			en->gap = false;
			en->cache_sequence += 1000;
			r.cache_first_sequence = en->cache_sequence;
			r.cache_event_count = 1;
			r.cache_event = &cache;
		}
	}
	bh__node_process_report(node, &r, loaded, w->now_us);
}

static void on_poll_(BH__NodePorts *ports, uint64_t endpoint_id, uint64_t cache_sequence, bool with_attempts)
{
	WorldNode *n = node_of_(ports);
	Event *e = event_(answer_poll_, n);

	(void)cache_sequence;
	e->engine = engine_by_id_(n->world, endpoint_id);
	e->number = with_attempts;
	push_(n->world, e, 2 * n->world->latency_us);
}

static void carry_out_(World *w, Event *e)
{
	WorldEngine *en = e->engine;

	(void)w;
	if (en->dead)
		return;
	if (e->number < en->highest_fence) {
		if (!en->unfenced)
			return;
		en->stale_orders++;
	}
	en->highest_fence = MAX(en->highest_fence, e->number);
	en->orders++;
	g_strlcpy(en->loaded, e->data, sizeof en->loaded);
}

static void on_order_(BH__NodePorts *ports, const BH__Order *order)
{
	WorldNode *n = node_of_(ports);
	Event *e = event_(carry_out_, n);

	e->engine = engine_by_id_(n->world, order->endpoint_id);
	e->number = order->fence;
	e->data = strdup(order->target);
	push_(n->world, e, n->world->latency_us);
}

/* Callers. */

static WorldRequest *request_by_id_(World *w, uint64_t id)
{
	for (guint i = 0; i < w->requests->len; i++) {
		WorldRequest *r = g_ptr_array_index(w->requests, i);
		if (r->id == id)
			return r;
	}
	return NULL;
}

static void on_piece_(BH__NodePorts *ports, uint64_t request_id, const char *data, size_t len)
{
	World *w = node_of_(ports)->world;
	WorldRequest *r = request_by_id_(w, request_id);
	char expected[64];

	g_snprintf(expected, sizeof expected, "%s.%u", r->prompt_tag, (unsigned)r->pieces);
	r->wrong |= strlen(expected) != len || memcmp(expected, data, len) != 0;
	if (!r->pieces)
		r->first_us = w->now_us;
	r->pieces++;
}

static void on_end_(BH__NodePorts *ports, uint64_t request_id, const BH__Outcome *outcome)
{
	World *w = node_of_(ports)->world;
	WorldRequest *r = request_by_id_(w, request_id);

	if (node_of_(ports)->dying)
		return;
	g_assert(!r->ended); /* exactly one verdict */
	r->ended = true;
	r->ended_us = w->now_us;
	r->runs = world_get_runs(w, r->prompt_tag);
	r->outcome = *outcome;
	r->outcome.message = NULL;
	r->wrong |= outcome->verdict == BH__VERDICT_RAN && r->pieces != ANSWER_TOKENS;
}

static void on_event_(BH__NodePorts *ports, const BH__Event *event)
{
	WorldNode *n = node_of_(ports);

	if (n->dying)
		return;
	if (event->type == BH__EVENT_CONFIG && !strcmp(event->what, "installed")) {
		n->went_back |= event->value <= n->highest_revision;
		n->highest_revision = event->value;
	}
	if (getenv("WORLD_TRACE"))
		g_printerr("%8.3f %s %s %s %s request=%" G_GINT64_MODIFIER "x attempt=%" G_GINT64_MODIFIER
				   "x value=%" G_GUINT64_FORMAT "\n",
				   (double)n->world->now_us / 1e6, n->name, BH__EventTypeString[event->type], event->what,
				   event->subject ? event->subject : "", event->request_id, event->attempt_id, event->value);
}

/* The store. */

static void free_entry_(gpointer entry)
{
	g_free(((StoreEntry *)entry)->value);
	g_free(entry);
}

static void answer_store_(World *w, Event *e)
{
	BH__Node *node = target_(w, e);

	e->reply.value = e->data;
	e->reply.value_len = e->len;
	if (node && !put_off_(w, e))
		bh__node_process_store_reply(node, &e->reply, w->now_us);
}

static void put_(World *w, const BH__StoreCall *call)
{
	StoreEntry *entry = g_new0(StoreEntry, 1);
	entry->value = g_strndup(call->value, call->value_len);
	entry->mod_revision = ++w->store_revision;
	entry->lease_id = call->lease_id;
	g_hash_table_replace(w->store, g_strdup(call->key), entry);
}

static void carry_out_store_call_(World *w, const BH__StoreCall *call, Event *e)
{
	StoreEntry *entry = call->key ? g_hash_table_lookup(w->store, call->key) : NULL;
	int64_t lease = call->lease_id;
	uint64_t *expiry;

	e->reply.status = BH__STORE_OK;
	switch (call->op) {
	case BH__STORE_GET:
		if (!entry) {
			e->reply.status = BH__STORE_NOT_FOUND;
			break;
		}
		e->reply.mod_revision = entry->mod_revision;
		e->data = strdup(entry->value);
		e->len = strlen(entry->value);
		break;
	case BH__STORE_PUT:
		put_(w, call);
		break;
	case BH__STORE_CAS:
		if ((entry ? entry->mod_revision : 0) != call->expect_revision) {
			e->reply.status = BH__STORE_CONFLICT;
			break;
		}
		put_(w, call);
		e->reply.mod_revision = w->store_revision;
		break;
	case BH__STORE_LEASE_GRANT:
		e->reply.lease_id = ++w->next_lease;
		expiry = g_new(uint64_t, 2);
		expiry[0] = (uint64_t)w->next_lease;
		expiry[1] = w->now_us + call->ttl_s * BH__SECOND_US;
		g_hash_table_insert(w->leases, expiry, expiry);
		break;
	case BH__STORE_LEASE_RENEW:
		expiry = g_hash_table_lookup(w->leases, &lease);
		if (expiry)
			expiry[1] = w->now_us + 10 * BH__SECOND_US;
		else
			e->reply.status = BH__STORE_NOT_FOUND;
		break;
	}
}

static void on_store_call_(BH__StorePort *port, const BH__StoreCall *call)
{
	WorldNode *n = (WorldNode *)(void *)((char *)port - offsetof(WorldNode, store_port));
	World *w = n->world;
	Event *e = event_(answer_store_, n);

	w->store_calls++;
	e->reply.call_id = call->call_id;
	if (w->store_down) {
		e->reply.status = BH__STORE_UNKNOWN;
	}
	else {
		carry_out_store_call_(w, call, e);
		if (w->store_lose) {
			w->store_lose--;
			e->reply.status = BH__STORE_UNKNOWN;
		}
	}
	push_(w, e, w->latency_us + w->store_slow_us);
}

static gboolean lease_is_over_(gpointer key, gpointer value, gpointer world)
{
	World *w = world;
	const uint64_t *expiry = value;
	GHashTableIter it;
	gpointer entry;

	(void)key;
	if (w->now_us < expiry[1])
		return FALSE;
	g_hash_table_iter_init(&it, w->store);
	while (g_hash_table_iter_next(&it, NULL, &entry))
		if (((StoreEntry *)entry)->lease_id == (int64_t)expiry[0])
			g_hash_table_iter_remove(&it);
	return TRUE;
}

/* The world. */

static void free_event_(gpointer event)
{
	free(((Event *)event)->data);
	g_free(event);
}

World *world_new(unsigned nodes)
{
	World *w = g_new0(World, 1);

	w->now_us = BH__SECOND_US;
	w->latency_us = 1 * BH__MS_US;
	w->node_count = nodes;
	w->requests = g_ptr_array_new_with_free_func(g_free);
	w->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry_);
	w->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (unsigned i = 0; i < nodes; i++) {
		WorldNode *n = &w->node[i];
		n->world = w;
		n->index = i;
		g_snprintf(n->name, sizeof n->name, "n%u", i + 1);
		g_snprintf(n->hall, sizeof n->hall, "h%u", i + 1);
		n->ports = (BH__NodePorts){.send = on_send_,
								   .attempt_start = on_attempt_start_,
								   .attempt_cancel = on_attempt_cancel_,
								   .endpoint_poll = on_poll_,
								   .endpoint_probe = on_look_,
								   .endpoint_order = on_order_,
								   .answer_chunk = on_piece_,
								   .answer_end = on_end_,
								   .event = on_event_};
		n->store_port.call = on_store_call_;
	}
	return w;
}

void world_delete(World *w)
{
	for (unsigned i = 0; i < w->node_count; i++)
		world_kill_node(w, i);
	for (unsigned i = 0; i < w->engine_count; i++) {
		g_hash_table_unref(w->engine[i].attempts);
		g_array_unref(w->engine[i].last_attempts);
	}
	g_queue_clear_full(&w->events, free_event_);
	g_ptr_array_unref(w->requests);
	g_hash_table_unref(w->runs);
	g_hash_table_unref(w->store);
	g_hash_table_unref(w->leases);
	g_free(w);
}

WorldEngine *world_add_engine(World *w, const char *name, const char *hall, uint64_t kv_bytes)
{
	WorldEngine *e = &w->engine[w->engine_count++];

	g_assert(w->engine_count <= WORLD_ENGINES_MAX);
	g_strlcpy(e->name, name, sizeof e->name);
	g_strlcpy(e->hall, hall, sizeof e->hall);
	g_strlcpy(e->loaded, "v1", sizeof e->loaded);
	e->id = bh__hash_name(name);
	e->kv_bytes = kv_bytes;
	e->boot_id = 1;
	e->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	e->last_attempts = g_array_new(FALSE, FALSE, sizeof(BH__ReportedAttempt));
	return e;
}

/* Starts a node, in a new life if it was dead. */
void world_start_node(World *w, unsigned index)
{
	WorldNode *n = &w->node[index];
	BH__NodeOptions o = {.seed = index + 1,
						 .store_reads_per_s = 50,
						 .store_writes_per_s = 50,
						 .max_requests = 1000,
						 .once_entries = 4,
						 .once_answer_bytes = 1 << 20};

	n->lives++;
	n->paused = false;
	n->highest_revision = 0;
	o.self.boot_id = (w->now_us << 8) + index + 1;
	g_strlcpy(o.self.name, n->name, sizeof o.self.name);
	g_strlcpy(o.self.hall, n->hall, sizeof o.self.hall);
	g_snprintf(o.self.peer_address, sizeof o.self.peer_address, "peer:%u", index + 1);
	g_snprintf(o.self.caller_address, sizeof o.self.caller_address, "caller:%u", index + 1);
	n->node = bh__node_new(&n->ports, &n->store_port, &o);
	for (unsigned i = 0; i < w->node_count; i++) {
		char address[BH__ADDRESS_LEN];
		g_snprintf(address, sizeof address, "peer:%u", i + 1);
		bh__members_add_seed((BH__Members *)bh__node_get_members(n->node), address);
	}
}

static void break_streams_(World *w, unsigned node)
{
	for (unsigned i = 0; i < w->engine_count; i++) {
		GHashTableIter it;
		gpointer value;
		g_hash_table_iter_init(&it, w->engine[i].attempts);
		while (g_hash_table_iter_next(&it, NULL, &value))
			if (((Attempt *)value)->node == node)
				((Attempt *)value)->listening = false; /* the engine goes on holding its memory */
	}
}

/* Kills a node: its callers' connections break, and so do its streams. */
void world_kill_node(World *w, unsigned index)
{
	WorldNode *n = &w->node[index];

	if (!n->node)
		return;
	for (guint i = 0; i < w->requests->len; i++) {
		WorldRequest *r = g_ptr_array_index(w->requests, i);
		if (r->node == index && !r->ended && r->admission == BH__ADMIT_ACCEPTED) {
			r->ended = true; /* the caller sees its connection break: it knows nothing */
			r->outcome.verdict = BH__VERDICT_MAY_HAVE_RUN;
			r->outcome.reason = BH__REASON_COUNT;
		}
	}
	break_streams_(w, index);
	n->dying = true; /* nothing of what its clean-up does reaches anybody */
	bh__node_delete(n->node);
	n->dying = false;
	n->node = NULL;
	n->lives++;
	for (guint i = 0; i < w->requests->len; i++) {
		WorldRequest *r = g_ptr_array_index(w->requests, i);
		if (r->node == index)
			r->id = 0;
	}
}

WorldEngine *world_find_engine(World *w, const char *name)
{
	return engine_by_id_(w, bh__hash_name(name));
}

/* Kills an engine: its memory and its streams are gone. */
void world_kill_engine(World *w, WorldEngine *en)
{
	GHashTableIter it;
	gpointer value;

	en->dead = true;
	g_hash_table_iter_init(&it, en->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Attempt *a = value;
		if (a->listening && !a->done)
			end_later_(w, a->node, a->life, &a->call, BH__ATTEMPT_BROKEN);
	}
	g_hash_table_remove_all(en->attempts);
}

void world_start_engine(World *w, WorldEngine *en)
{
	(void)w;
	en->dead = false;
	en->boot_id++;
}

void world_run(World *w, uint64_t until_us)
{
	while (w->now_us < until_us) {
		uint64_t next_us = w->now_us + WORLD_TICK_US;
		Event *e;
		while ((e = g_queue_peek_head(&w->events)) && e->at_us <= next_us) {
			g_queue_pop_head(&w->events);
			w->now_us = MAX(w->now_us, e->at_us);
			e->run(w, e);
			free_event_(e);
		}
		w->now_us = next_us;
		g_hash_table_foreach_remove(w->leases, lease_is_over_, w);
		for (unsigned i = 0; i < w->engine_count; i++)
			if (!w->engine[i].dead && !w->engine[i].paused)
				step_engine_(w, &w->engine[i]);
		for (unsigned i = 0; i < w->node_count; i++)
			if (w->node[i].node && !w->node[i].paused)
				bh__node_process_tick(w->node[i].node, w->now_us);
	}
}

static void on_applied_(void *ctx, const BH__ApplyResult *result)
{
	*(BH__ApplyStatus *)ctx = result->status;
}

/* Applies a change through a node. Returns its number; its status comes into `apply_status`. */
unsigned world_apply(World *w, unsigned node, const char *change)
{
	unsigned number = w->apply_count++;
	char id[32];

	g_snprintf(id, sizeof id, "change-%u", number);
	w->apply_status[number] = BH__APPLY_UNKNOWN;
	bh__config_apply(bh__node_get_config(w->node[node].node), change, strlen(change), id, w->node[node].name,
					 w->now_us + 8 * BH__SECOND_US, on_applied_, &w->apply_status[number], w->now_us);
	return number;
}

WorldRequest *world_find_request(World *w, const char *name)
{
	for (guint i = 0; i < w->requests->len; i++) {
		WorldRequest *r = g_ptr_array_index(w->requests, i);
		if (!strcmp(r->name, name))
			return r;
	}
	return NULL;
}

/* Sends a request; with a stamp it must not be repeated, and its tag is its key. */
WorldRequest *world_request(World *w, unsigned node, const char *name, const char *tag, uint64_t tokens,
							uint64_t deadline_ms, const char *stamp, const char *account)
{
	WorldRequest *r = g_new0(WorldRequest, 1);
	BH__Request q = {.model = "m",
					 .prompt_bytes = tokens * 4,
					 .max_tokens = ANSWER_TOKENS,
					 .repeatable = !stamp,
					 .key = stamp ? tag : NULL,
					 .stamp = stamp,
					 .account_id = bh__hash_name(account),
					 .body_hash = bh__hash_name(tag),
					 .fingerprint = {.high = bh__hash_name(tag), .low = bh__hash_name(account)},
					 .deadline_us = deadline_ms * BH__MS_US};
	BH__AdmissionResult admitted;

	g_strlcpy(r->name, name, sizeof r->name);
	g_strlcpy(r->prompt_tag, tag, sizeof r->prompt_tag);
	r->node = node;
	r->once = stamp != NULL;
	q.request_id = bh__node_new_request_id(w->node[node].node);
	r->id = q.request_id;
	r->admission = BH__ADMIT_ACCEPTED;
	g_ptr_array_add(w->requests, r);
	bh__node_request(w->node[node].node, &q, &admitted, w->now_us);
	r->admission = admitted.admission;
	if (admitted.admission != BH__ADMIT_ACCEPTED) {
		r->ended = true;
		r->ended_us = w->now_us;
		r->outcome = admitted.outcome;
	}
	return r;
}

unsigned world_get_runs(World *w, const char *tag)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(w->runs, tag));
}
